package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// keyedPause is the least wait before a key is asked for again.
const keyedPause = 100 * time.Millisecond

// nobody is the Abandon of answers that go on without this caller.
func nobody() {}

// keyed runs a request at the owner of its key, or joins it there. The key owner
// may change meanwhile, so the question is asked again until the deadline. Once
// a key owner may have dispatched it, it can no longer be called not run here.
func (e *Executor) keyed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.Key}
	hash := once.HashBody(j.call.Method, j.call.URI(), j.call.Body)
	j.id = key.ID()
	maybe := false
	for {
		execution, refusal := e.decide(ctx, j, key, hash)
		if refusal == nil {
			return execution, nil
		}
		if j.call.Forwarder != "" && refusal.Peer != "" {
			return nil, refusal // the forwarder asks the key owner itself
		}
		maybe = maybe || refusal.Execution != fault.NotRun
		if maybe || isPassing(refusal) {
			refusal.Execution = doubt(refusal.Execution)
		}
		if !isPassing(refusal) {
			e.count(refusal)
			return nil, refusal
		}
		select {
		case <-ctx.Done():
			if j.call.Forwarder == "" {
				refusal.Status = statusUnavailable
			}
			e.count(refusal)
			return nil, refusal
		case <-time.After(keyedPause):
		}
	}
}

// doubt turns not_run into unknown, where another attempt with the same key may
// have run and its key owner or claim could not be asked.
func doubt(run fault.ExecutionState) fault.ExecutionState {
	if run == fault.NotRun {
		return fault.ExecutionUnknown
	}
	return run
}

// isPassing tells whether a refusal may pass while the caller waits: the key's
// key owner changes, or has just started and takes no work yet.
func isPassing(refusal *fault.Refusal) bool {
	return refusal.Status == statusMisdirected || refusal.Step == fault.StepAccept
}

// decide asks the ledger once and acts on its decision.
func (e *Executor) decide(ctx context.Context, j *job, key once.Key, hash once.BodyHash) (*Execution, *fault.Refusal) {
	decision := e.Ledger.Begin(key, hash, j.call.Forwarder)
	switch decision.Kind {
	case once.DecideRun:
		return e.keep(j, decision.Ticket), nil
	case once.DecideJoin:
		e.Metrics.Add(metrics.RequestsJoined, 1)
		return &Execution{Answer: decision.Answer, Abandon: nobody}, nil
	case once.DecideResume:
		execution, err := e.follow(ctx, decision.Dispatched, 0, formOf(j.call))
		if err != nil {
			return nil, decision.Refusal
		}
		return execution, nil
	case once.DecideForward:
		if j.call.Forwarder != "" {
			return nil, misdirected(decision.KeyOwner.Name)
		}
		return e.forwardKeyed(ctx, j, key, hash, decision.KeyOwner)
	case once.DecideWait:
		refusal := misdirected("")
		refusal.Execution = decision.Refusal.Execution
		return nil, refusal
	default:
		return nil, decision.Refusal
	}
}

// misdirected refuses a request that another instance, or nobody yet, keeps.
func misdirected(keyOwner string) *fault.Refusal {
	reason := "no instance keeps this key now"
	if keyOwner != "" {
		reason = "the key is kept by " + keyOwner
	}
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepForward, Status: statusMisdirected, RetryAfter: retryAfter,
		Reason: reason, Peer: keyOwner,
	}
}

// keep runs a request at its key owner. The run goes on without its caller, since
// others may join it and the caller may send it again.
func (e *Executor) keep(j *job, ticket *once.Ticket) *Execution {
	ctx, cancel := context.WithDeadline(e.base, j.deadline)
	ticket.Queued(e.waitingHere(j))
	e.running.Go(func() {
		defer cancel()
		e.carryOut(ctx, j, ticket.Answer(), keyedPermit{ticket})
		if refusal := ticket.Answer().Refusal(); refusal != nil && refusal.Execution == fault.NotRun {
			ticket.NotRun(refusal)
			return
		}
		ticket.Finish()
	})
	return &Execution{Answer: ticket.Answer(), Abandon: nobody}
}

// waitingHere tells where a request without a target can be followed.
func (e *Executor) waitingHere(j *job) once.Dispatched {
	self := e.Viewer.View().Self.Name
	text, err := handle.Handle{
		Instance: self, RequestID: j.id, Account: j.call.Account, Pool: j.route.Pool,
		CreatedMillis: j.call.Received.UnixMilli(),
	}.Encode(e.Secret)
	if err != nil {
		return once.Dispatched{Instance: self}
	}
	return once.Dispatched{Instance: self, Handle: text, RequestID: j.id}
}

// keyedPermit is the right to dispatch of a key owner.
type keyedPermit struct{ ticket *once.Ticket }

func (p keyedPermit) dispatch(ctx context.Context, at once.Dispatched) error {
	return p.ticket.Dispatch(ctx, at)
}
