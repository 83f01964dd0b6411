package executor

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// executeClaimed runs a request that is not idempotent. It waits for a target first,
// so that the claim is taken just before the request is sent. The run ends at
// the deadline by itself; the context tells only that the caller has gone.
func (e *Executor) executeClaimed(ctx context.Context, j *job) (*Execution, error) {
	key := once.Key{Account: j.call.Account, Key: j.call.IdempotencyKey}
	claim := &claimPermit{
		executor: e, key: key, deadline: j.deadline,
		hash:        once.HashBody(j.call.Method, j.call.URI(), j.call.Body),
		settledChan: make(chan struct{}),
	}
	a := e.claimedAnswers.New(0)
	// Twins may follow the answer from the moment at which the claim is granted,
	// so it is recorded before, under an id of this attempt.
	e.claimedAnswers.Put(j.requestID, a)
	runCtx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	e.runs.Go(func() {
		defer cancel()
		e.runToAnswer(runCtx, j, a, claim)
		claim.finish(a)
	})
	select {
	case <-claim.settledChan:
		return claim.result(ctx, a)
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

	// settledChan is closed once the fields below are set.
	settledChan chan struct{}
	settled     bool
	existing    once.ClaimResult
	claim       *once.Claim
}

// errClaimHeldElsewhere stands for a claim that another attempt holds.
var errClaimHeldElsewhere = &fault.Refusal{
	Run: fault.Unknown, Step: fault.StepClaim, Status: statusUnavailable,
	Reason: "another attempt with this key is answered in its place",
}

func (p *claimPermit) acquire(ctx context.Context, location once.Dispatched) error {
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

// downgradeClaimError turns the refusal of a claim that could not be read into unknown:
// this attempt was not sent, but an earlier one with the key may have run.
func downgradeClaimError(err error) error {
	refusal, ok := fault.AsRefusal(err)
	if !ok || refusal.Status != statusUnavailable {
		return err
	}
	downgraded := *refusal
	downgraded.Run = downgradeNotRun(refusal.Run)
	return &downgraded
}

// markSettled lets result return; only the run's goroutine calls it.
func (p *claimPermit) markSettled() {
	if !p.settled {
		p.settled = true
		close(p.settledChan)
	}
}

// finish records how the request ended.
func (p *claimPermit) finish(a *answer.Answer) {
	defer p.markSettled()
	if p.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if stored, ok := a.Snapshot(); ok {
		_ = p.claim.Complete(ctx, stored)
		return
	}
	run := fault.Unknown
	if refusal := a.Refusal(); refusal != nil {
		run = refusal.Run
	}
	_ = p.claim.Fail(ctx, run)
}

// result returns what the caller is to follow.
func (p *claimPermit) result(ctx context.Context, a *answer.Answer) (*Execution, error) {
	switch p.existing.Kind {
	case once.ClaimStored:
		p.executor.Metrics.Add(metrics.Joined, 1)
		return &Execution{Answer: answer.Restore(p.existing.Stored, answer.Options{}), Abandon: ignoreAbandon}, nil
	case once.ClaimJoin:
		p.executor.Metrics.Add(metrics.Joined, 1)
		return p.executor.followRequest(ctx, once.Dispatched{Instance: p.existing.Instance.Name, Handle: p.existing.Handle}, 0, bodyForm)
	default:
		return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
	}
}
