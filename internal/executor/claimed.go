package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// claimed runs a request that is not idempotent. It waits for a target first,
// so that the claim is taken just before the request is sent. The run ends at
// the deadline by itself; the context tells only that the caller has gone.
func (e *Executor) claimed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.Key}
	permit := &claimPermit{
		executor: e, key: key, deadline: j.deadline,
		hash: once.HashBody(j.call.Method, j.call.URI(), j.call.Body),
		done: make(chan struct{}),
	}
	a := e.stored.New(0)
	// Twins may follow the answer from the moment at which the claim is granted,
	// so it is recorded before, under an id of this attempt.
	e.stored.Put(j.id, a)
	run, cancel := context.WithDeadline(e.base, j.deadline)
	e.running.Go(func() {
		defer cancel()
		e.carryOut(run, j, a, permit)
		permit.finish(a)
	})
	select {
	case <-permit.done:
		return permit.result(ctx, a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// claimPermit takes the claim of a request just before it is first sent.
type claimPermit struct {
	executor *Executor
	key      once.Key
	hash     once.BodyHash
	deadline time.Time

	// done is closed once the fields below are set.
	done   chan struct{}
	closed bool
	other  once.ClaimResult
	claim  *once.Claim
}

// errAnsweredElsewhere stands for a claim that another attempt holds.
var errAnsweredElsewhere = &fault.Refusal{
	Execution: fault.ExecutionUnknown, Step: fault.StepClaim, Status: statusUnavailable,
	Reason: "another attempt with this key is answered in its place",
}

func (p *claimPermit) dispatch(ctx context.Context, at once.Dispatched) error {
	if p.claim != nil {
		return p.claim.Dispatch()
	}
	result, err := p.executor.Claims.Claim(ctx, p.key, p.hash, at.Handle, p.deadline)
	if err != nil {
		return doubtClaim(err)
	}
	if result.Kind != once.ClaimGranted {
		p.other = result
		return errAnsweredElsewhere
	}
	p.claim = result.Claim
	if err := p.claim.Dispatch(); err != nil {
		return err
	}
	p.settle()
	return nil
}

// doubtClaim turns the refusal of a claim that could not be read into unknown:
// this attempt was not sent, but an earlier one with the key may have run.
func doubtClaim(err error) error {
	refusal, ok := fault.AsRefusal(err)
	if !ok || refusal.Status != statusUnavailable {
		return err
	}
	doubted := *refusal
	doubted.Execution = doubt(refusal.Execution)
	return &doubted
}

// settle lets result return; only the run's goroutine calls it.
func (p *claimPermit) settle() {
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

// finish records how the request ended.
func (p *claimPermit) finish(a *answer.Answer) {
	defer p.settle()
	if p.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if stored, ok := a.Snapshot(); ok {
		_ = p.claim.Complete(ctx, stored)
		return
	}
	run := fault.ExecutionUnknown
	if refusal := a.Refusal(); refusal != nil {
		run = refusal.Execution
	}
	_ = p.claim.Fail(ctx, run)
}

// result returns what the caller is to follow.
func (p *claimPermit) result(ctx context.Context, a *answer.Answer) (*Execution, error) {
	switch p.other.Kind {
	case once.ClaimStored:
		p.executor.Metrics.Add(metrics.RequestsJoined, 1)
		return &Execution{Answer: answer.Restore(p.other.Stored, answer.Options{}), Abandon: nobody}, nil
	case once.ClaimJoin:
		p.executor.Metrics.Add(metrics.RequestsJoined, 1)
		return p.executor.follow(ctx, once.Dispatched{Instance: p.other.Instance.Name, Handle: p.other.Handle}, 0, asBody)
	default:
		return &Execution{Answer: a, Abandon: nobody}, nil
	}
}
