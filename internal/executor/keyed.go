package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// keyedRetryInterval is the least wait before a key is asked for again.
const keyedRetryInterval = 100 * time.Millisecond

// ignoreAbandon is the Abandon of answers that go on without this caller.
func ignoreAbandon() {}

// executeKeyed runs a request at the owner of its key, or joins it there. The key owner
// may change meanwhile, so the question is asked again until the deadline. Once
// a key owner may have dispatched it, it can no longer be called not run here.
func (e *Executor) executeKeyed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.IdempotencyKey}
	hash := once.HashBody(j.call.Method, j.call.URI(), j.call.Body)
	j.requestID = key.ID()
	mayHaveRun := false
	for {
		execution, refusal := e.executeDecision(ctx, j, key, hash)
		if refusal == nil {
			return execution, nil
		}
		if j.call.Forwarder != "" && refusal.Peer != "" {
			return nil, refusal // the forwarder asks the key owner itself
		}
		mayHaveRun = mayHaveRun || refusal.Run != fault.NotRun
		if mayHaveRun || isTransient(refusal) {
			refusal.Run = downgradeNotRun(refusal.Run)
		}
		if !isTransient(refusal) {
			e.countRefusal(refusal)
			return nil, refusal
		}
		select {
		case <-ctx.Done():
			if j.call.Forwarder == "" {
				refusal.Status = statusUnavailable
			}
			e.countRefusal(refusal)
			return nil, refusal
		case <-time.After(keyedRetryInterval):
		}
	}
}

// downgradeNotRun turns not_run into unknown, where another attempt with the same key may
// have run and its key owner or claim could not be asked.
func downgradeNotRun(run fault.Run) fault.Run {
	if run == fault.NotRun {
		return fault.Unknown
	}
	return run
}

// isTransient tells whether a refusal may pass while the caller waits: the key's
// key owner changes, or has just started and takes no work yet.
func isTransient(refusal *fault.Refusal) bool {
	return refusal.Status == statusMisdirectedRequest || refusal.Step == fault.StepAccept
}

// executeDecision asks the ledger once and acts on its decision.
func (e *Executor) executeDecision(ctx context.Context, j *job, key once.Key, hash once.BodyHash) (*Execution, *fault.Refusal) {
	decision := e.Ledger.Begin(key, hash, j.call.Forwarder)
	switch decision.Kind {
	case once.DecideRun:
		return e.runAsKeyOwner(j, decision.Ticket), nil
	case once.DecideJoin:
		e.Metrics.Add(metrics.Joined, 1)
		return &Execution{Answer: decision.Answer, Abandon: ignoreAbandon}, nil
	case once.DecideResume:
		execution, err := e.followRequest(ctx, decision.Dispatched, 0, requestedForm(j.call))
		if err != nil {
			return nil, decision.Refusal
		}
		return execution, nil
	case once.DecideForward:
		if j.call.Forwarder != "" {
			return nil, misdirectedRefusal(decision.KeyOwner.Name)
		}
		return e.forwardKeyed(ctx, j, key, hash, decision.KeyOwner)
	case once.DecideWait:
		refusal := misdirectedRefusal("")
		refusal.Run = decision.Refusal.Run
		return nil, refusal
	default:
		return nil, decision.Refusal
	}
}

// misdirectedRefusal refuses a request that another instance, or nobody yet, keeps.
func misdirectedRefusal(keyOwner string) *fault.Refusal {
	reason := "no instance keeps this key now"
	if keyOwner != "" {
		reason = "the key is kept by " + keyOwner
	}
	return &fault.Refusal{
		Run: fault.NotRun, Step: fault.StepForward, Status: statusMisdirectedRequest, RetryAfter: defaultRetryAfter,
		Reason: reason, Peer: keyOwner,
	}
}

// runAsKeyOwner runs a request at its key owner. The run goes on without its caller, since
// others may join it and the caller may send it again.
func (e *Executor) runAsKeyOwner(j *job, ticket *once.Ticket) *Execution {
	ctx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	ticket.Queued(e.queuedLocation(j))
	e.runs.Go(func() {
		defer cancel()
		e.runToAnswer(ctx, j, ticket.Answer(), keyedPermit{ticket})
		if refusal := ticket.Answer().Refusal(); refusal != nil && refusal.Run == fault.NotRun {
			ticket.NotRun(refusal)
			return
		}
		ticket.Finish()
	})
	return &Execution{Answer: ticket.Answer(), Abandon: ignoreAbandon}
}

// queuedLocation tells where a request without a target can be followed.
func (e *Executor) queuedLocation(j *job) once.Dispatched {
	self := e.Viewer.View().Self.Name
	handleText, err := handle.Handle{
		Instance: self, RequestID: j.requestID, Account: j.call.Account, Pool: j.route.Pool,
		CreatedMillis: j.call.ReceivedAt.UnixMilli(),
	}.Encode(e.Secret)
	if err != nil {
		return once.Dispatched{Instance: self}
	}
	return once.Dispatched{Instance: self, Handle: handleText, RequestID: j.requestID}
}

// keyedPermit is the right to dispatch of a key owner.
type keyedPermit struct{ ticket *once.Ticket }

func (p keyedPermit) acquire(ctx context.Context, location once.Dispatched) error {
	return p.ticket.Dispatch(ctx, location)
}
