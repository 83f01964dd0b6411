package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// executeClaimed runs a request on a non-idempotent route. It waits for a target
// first, so that the key is claimed immediately before the request is sent. The
// run ends at the deadline of the request; the context, which is the caller's,
// ends only the wait for the claim.
func (e *Executor) executeClaimed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.IdempotencyKey}
	claim := &claimPermit{
		executor: e, key: key, deadline: j.deadline,
		hash:        once.HashRequest(j.call.Method, j.call.URI(), j.call.Body),
		settledChan: make(chan struct{}),
	}
	a := e.claimedAnswers.New(0)
	// Duplicates of the request may follow the response as soon as the claim is
	// granted, so it is stored before, under the request ID of this attempt.
	e.claimedAnswers.Put(j.requestID, a)
	runCtx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	e.runs.Go(func() {
		defer cancel()
		e.runJob(runCtx, j, a, claim)
		claim.finish(a)
	})
	select {
	case <-claim.settledChan:
		return claim.result(ctx, a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// claimPermit claims the key of a request immediately before the request is first
// sent.
type claimPermit struct {
	executor *Executor
	key      once.Key
	hash     once.RequestHash
	deadline time.Time

	// settledChan is closed once the fields below are final.
	settledChan chan struct{}
	settled     bool
	existing    once.ClaimResult
	claim       *once.Claim
}

// errClaimHeldElsewhere means that another attempt has claimed the key. The caller
// gets the response of that attempt.
var errClaimHeldElsewhere = &fault.Refusal{
	Execution: fault.ExecutionUnknown, Step: fault.StepClaim, Status: statusUnavailable,
	Reason: "another attempt with this key is answered in its place",
}

func (p *claimPermit) acquire(ctx context.Context, location once.Location) error {
	if p.claim != nil {
		return p.claim.Dispatch()
	}
	result, err := p.executor.Claims.Claim(ctx, p.key, p.hash, location.Handle, p.deadline)
	if err != nil {
		return downgradeClaimError(err)
	}
	if result.Kind != once.ClaimGranted {
		p.existing = result
		return errClaimHeldElsewhere
	}
	p.claim = result.Claim
	if err := p.claim.Dispatch(); err != nil {
		return err
	}
	p.markSettled()
	return nil
}

// downgradeClaimError turns not_run into unknown in the refusal for a claim that
// could not be read: this attempt was not sent, but an earlier one with the key
// may have run.
func downgradeClaimError(err error) error {
	refusal, ok := fault.AsRefusal(err)
	if !ok || refusal.Status != statusUnavailable {
		return err
	}
	downgraded := *refusal
	downgraded.Execution = downgradeNotRun(refusal.Execution)
	return &downgraded
}

// markSettled closes settledChan. Only the goroutine of the run calls it.
func (p *claimPermit) markSettled() {
	if !p.settled {
		p.settled = true
		close(p.settledChan)
	}
}

// finish records the outcome of the request in the claim.
func (p *claimPermit) finish(a *answer.Answer) {
	defer p.markSettled()
	if p.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if snapshot, ok := a.Snapshot(); ok {
		_ = p.claim.Complete(ctx, snapshot)
		return
	}
	state := fault.ExecutionUnknown
	if refusal := a.Refusal(); refusal != nil {
		state = refusal.Execution
	}
	_ = p.claim.Fail(ctx, state)
}

// result returns the execution for the caller to follow: that of an earlier
// attempt with the key, or this one.
func (p *claimPermit) result(ctx context.Context, a *answer.Answer) (*Execution, error) {
	switch p.existing.Kind {
	case once.ClaimStored:
		p.executor.Metrics.Add(metrics.RequestsJoined, 1)
		return &Execution{Answer: answer.Restore(p.existing.Stored, answer.Options{}), Abandon: ignoreAbandon}, nil
	case once.ClaimJoin:
		p.executor.Metrics.Add(metrics.RequestsJoined, 1)
		return p.executor.followRequest(ctx, once.Location{Instance: p.existing.Instance.Name, Handle: p.existing.Handle}, 0, bodyForm)
	default:
		return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
	}
}
