package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// keyedRetryInterval is the wait before the owner of a key is looked up again.
const keyedRetryInterval = 100 * time.Millisecond

// ignoreAbandon is the Abandon function of requests that continue without the
// caller.
func ignoreAbandon() {}

// executeKeyed runs a request at the owner of its key, or joins the run there. The
// owner of the key may change, so transient refusals are retried until the
// deadline. Once a key owner may have dispatched the request, a refusal can no
// longer state that it has not run.
func (e *Executor) executeKeyed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.IdempotencyKey}
	hash := once.HashRequest(j.call.Method, j.call.URI(), j.call.Body)
	j.requestID = key.ID()
	mayHaveRun := false
	for {
		execution, refusal := e.executeDecision(ctx, j, key, hash)
		if refusal == nil {
			return execution, nil
		}
		if j.call.Forwarder != "" && refusal.Peer != "" {
			return nil, refusal // the forwarder sends the request to the key owner itself
		}
		mayHaveRun = mayHaveRun || refusal.Execution != fault.NotRun
		if mayHaveRun || isTransient(refusal) {
			refusal.Execution = downgradeNotRun(refusal.Execution)
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

// downgradeNotRun turns not_run into unknown. It applies where another attempt with
// the same key may have run and the key owner or the claim could not be read.
func downgradeNotRun(state fault.ExecutionState) fault.ExecutionState {
	if state == fault.NotRun {
		return fault.ExecutionUnknown
	}
	return state
}

// isTransient reports whether a retry may succeed: the owner of the key changes,
// or it has just started and accepts no requests yet.
func isTransient(refusal *fault.Refusal) bool {
	return refusal.Status == statusMisdirectedRequest || refusal.Step == fault.StepAccept
}

// executeDecision gets one decision on the key from the ledger and acts on it.
func (e *Executor) executeDecision(ctx context.Context, j *job, key once.Key, hash once.RequestHash) (*Execution, *fault.Refusal) {
	decision := e.Ledger.Begin(key, hash, j.call.Forwarder)
	switch decision.Kind {
	case once.DecideRun:
		return e.runAsKeyOwner(j, decision.Ticket), nil
	case once.DecideJoin:
		e.Metrics.Add(metrics.RequestsJoined, 1)
		return &Execution{Answer: decision.Answer, Abandon: ignoreAbandon}, nil
	case once.DecideResume:
		execution, err := e.followRequest(ctx, decision.Location, 0, requestedForm(j.call))
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
		refusal.Execution = decision.Refusal.Execution
		return nil, refusal
	default:
		return nil, decision.Refusal
	}
}

// misdirectedRefusal returns a refusal of a request whose key belongs to another
// instance, or to none yet if keyOwner is empty.
func misdirectedRefusal(keyOwner string) *fault.Refusal {
	reason := "no instance keeps this key now"
	if keyOwner != "" {
		reason = "the key is kept by " + keyOwner
	}
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepForward, Status: statusMisdirectedRequest, RetryAfter: defaultRetryAfter,
		Reason: reason, Peer: keyOwner,
	}
}

// runAsKeyOwner runs a request at this instance, the owner of its key. The run
// continues without its caller, since others may join it and the caller may
// retry the request.
func (e *Executor) runAsKeyOwner(j *job, ticket *once.Ticket) *Execution {
	ctx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	ticket.SetQueuedLocation(e.queuedLocation(j))
	e.runs.Go(func() {
		defer cancel()
		e.runJob(ctx, j, ticket.Answer(), keyedPermit{ticket})
		if refusal := ticket.Answer().Refusal(); refusal != nil && refusal.Execution == fault.NotRun {
			ticket.MarkNotRun(refusal)
			return
		}
		ticket.Finish()
	})
	return &Execution{Answer: ticket.Answer(), Abandon: ignoreAbandon}
}

// queuedLocation returns where a request that has no target yet can be followed.
func (e *Executor) queuedLocation(j *job) once.Location {
	self := e.Viewer.View().Self.Name
	handleText, err := handle.Handle{
		Instance: self, RequestID: j.requestID, Account: j.call.Account, Pool: j.route.Pool,
		CreatedUnixMillis: j.call.ReceivedAt.UnixMilli(),
	}.Encode(e.Secret)
	if err != nil {
		return once.Location{Instance: self}
	}
	return once.Location{Instance: self, Handle: handleText, RequestID: j.requestID}
}

// keyedPermit is the dispatchPermit of a key owner.
type keyedPermit struct{ ticket *once.Ticket }

func (p keyedPermit) acquire(ctx context.Context, location once.Location) error {
	return p.ticket.Dispatch(ctx, location)
}
