package admission

import (
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// leavingBackoff is how long a target receives no requests after it refused one
// because it is leaving, if it is still listed.
const leavingBackoff = 10 * time.Second

// Grant permits one request to run on one target. The holder must call Finish
// when the request no longer runs there. Further calls of Finish have no effect.
type Grant struct {
	controller   *Controller
	pool         *pool
	target       *target
	info         *tables.Target
	job          *job
	preempted    chan struct{}
	outputTokens atomic.Int64
	// expectedReuse is the number of prefix blocks expected to be cached.
	expectedReuse int

	// The fields below are guarded by the target's lock.

	cancelled         bool
	reservedTokens    credit.Tokens
	outstandingTokens int64
	// sampledTokens and sampledAt are the output length and the time of the last
	// observation of the target's speed; sampledAt is zero before the first token.
	sampledTokens int
	sampledAt     time.Time
}

// minSpeedSample is the least number of output tokens for one observation of a
// target's speed.
const minSpeedSample = 16

// Target returns the target as listed when the request was admitted.
func (g *Grant) Target() tables.Target { return *g.info }

// Preempted returns a channel that is closed when the request must be cancelled to
// make room for a higher tier.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// ReportFirstToken records that the first output token arrived, so that the prefill
// is complete.
func (g *Grant) ReportFirstToken() {
	now := g.controller.clock.Now()
	g.ifRunning(func() {
		g.setOutstanding(int64(g.job.expectedOutput))
		g.sampledAt = now
	})
}

// ReportProgress records the number of output tokens so far. The reservation grows
// when the output exceeds its estimate.
func (g *Grant) ReportProgress(outputTokens int) {
	now := g.controller.clock.Now()
	g.outputTokens.Store(int64(outputTokens))
	expected := estimate.CorrectLength(g.job.expectedOutput, outputTokens)
	prompt := g.job.request.PromptTokens
	g.ifRunning(func() {
		g.setOutstanding(int64(expected - outputTokens))
		g.sampleSpeed(outputTokens, now)
		if credit.Tokens(prompt+outputTokens) > g.job.reserveTokens {
			g.growReservation(credit.Tokens(prompt + expected))
		}
	})
}

// Finish ends the request and records its outcome.
func (g *Grant) Finish(o Outcome) {
	c := g.controller
	now := c.clock.Now()
	g.target.mu.Lock()
	firstCall := g.target.release(g)
	if firstCall {
		g.recordCompletion(o, now)
		g.recordHealth(o, now)
	}
	g.target.mu.Unlock()
	if !firstCall {
		return
	}
	if o.Kind == Complete {
		c.lengths.Observe(g.job.request.Route, g.job.account, o.OutputTokens)
		g.pool.completedCost.Add(int64(g.job.cost))
	}
	c.counters.recordFinished(g, o)
	if o.Kind != Complete && o.Kind != Cancelled {
		g.pool.refreshEjections(now)
	}
	g.pool.startQueuedIfAny(now)
	if g.pool.waiting.Load() > 0 || g.target.lowestAdmittedTier.Load() < tables.TierCount-1 {
		c.wake()
	}
}

// ifRunning calls f under the target's lock unless the request has ended.
func (g *Grant) ifRunning(f func()) {
	g.target.mu.Lock()
	defer g.target.mu.Unlock()
	if _, ok := g.target.grants[g]; ok {
		f()
	}
}

// setOutstanding sets the expected number of tokens yet to be computed. The
// target's lock must be held.
func (g *Grant) setOutstanding(outstanding int64) {
	g.target.outstandingTokens.Add(outstanding - g.outstandingTokens)
	g.outstandingTokens = outstanding
}

// sampleSpeed observes the target's speed from the tokens since the last sample.
// The target's lock must be held.
func (g *Grant) sampleSpeed(output int, now time.Time) {
	if g.sampledAt.IsZero() || output-g.sampledTokens < minSpeedSample {
		return
	}
	g.target.speed.ObserveDecode(output-g.sampledTokens, now.Sub(g.sampledAt))
	g.target.markSpeedObserved(now)
	g.target.decodeObserved = true
	g.sampledTokens, g.sampledAt = output, now
}

// growReservation raises the reservation to the given number of tokens. The
// target's lock must be held.
func (g *Grant) growReservation(reserved credit.Tokens) {
	extra := credit.Amount{Tokens: reserved - g.reservedTokens}
	if extra.Tokens <= 0 {
		return
	}
	g.target.addRunning(g.job.tier, extra)
	if g.cancelled {
		g.target.cancelling[g.job.tier] = g.target.cancelling[g.job.tier].Plus(extra)
	}
	g.reservedTokens = reserved
}

// preemptionCost returns the work wasted by a cancellation, in tokens. It is 0
// until the first token has arrived.
func (g *Grant) preemptionCost() int64 {
	if g.sampledAt.IsZero() {
		return 0
	}
	return int64(g.job.request.PromptTokens) + g.outputTokens.Load()
}

// recordCompletion observes the target's speed and prefix cache from a complete
// response. The target's lock must be held.
func (g *Grant) recordCompletion(o Outcome, now time.Time) {
	if o.Kind != Complete {
		return
	}
	g.target.markSpeedObserved(now)
	if o.PromptTokens > 0 {
		g.target.prefixIndex.AdjustBound(g.expectedReuse, len(g.job.request.PrefixHashes)*o.CachedTokens/o.PromptTokens)
	}
	if o.OutputTokens == 0 {
		g.target.speed.ObserveDuration(o.Duration)
		return
	}
	g.target.speed.ObserveFirstToken(max(0, o.PromptTokens-o.CachedTokens), o.TimeToFirstToken)
	if g.sampledTokens == 0 && o.OutputTokens >= minSpeedSample {
		g.target.speed.ObserveDecode(o.OutputTokens, o.Duration-o.TimeToFirstToken)
		g.target.decodeObserved = true
	}
}

// recordHealth updates the target's ejector, overload count and backoff from the
// outcome. The target's lock must be held.
func (g *Grant) recordHealth(o Outcome, now time.Time) {
	t := g.target
	switch o.Kind {
	case Complete:
		t.ejector.RecordSuccess()
	case NotSent, Failed:
		if t.ejector.RecordFailure(now) {
			g.controller.counters.ejections.Add(1)
		}
	case Overloaded:
		t.overloads++
	case Leaving:
		t.leavingUntil = now.Add(leavingBackoff)
	case Cancelled:
	}
	t.reentryLimit.Store(int64(t.ejector.ConcurrencyLimit()))
}
