package admission

import (
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// shunFor is how long a target that said it leaves takes nothing, if it stays
// in the table.
const shunFor = 10 * time.Second

// Grant is the right to run one request on one target. The holder must call
// Finish exactly when the request no longer runs there; further calls have no
// effect.
type Grant struct {
	controller *Controller
	pool       *pool
	target     *target
	info       *tables.Target
	ticket     *ticket
	preempted  chan struct{}
	output     atomic.Int64
	// reuse is the number of prefix blocks expected to be cached.
	reuse int

	// The fields below are guarded by the target's lock.

	stopped     bool
	held        credit.Tokens
	outstanding int64
	// sampled and sampledAt are the output and time up to which the target's
	// speed was observed; sampledAt is zero before the first token.
	sampled   int
	sampledAt time.Time
}

// sampleTokens is how many tokens make one observation of a target's speed.
const sampleTokens = 16

// Target returns the target as it was when the request was admitted.
func (g *Grant) Target() tables.Target { return *g.info }

// Preempted is closed when the request must be cancelled since a higher tier
// needs its place.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// FirstToken tells that the first token came: the prompt has been computed.
func (g *Grant) FirstToken() {
	now := g.controller.clock.Now()
	g.whileRunning(func() {
		g.settle(int64(g.ticket.output))
		g.sampledAt = now
	})
}

// Progress tells how many output tokens came so far. An answer that outgrows
// its estimate takes a larger reservation.
func (g *Grant) Progress(outputTokens int) {
	now := g.controller.clock.Now()
	g.output.Store(int64(outputTokens))
	expected := estimate.CorrectLength(g.ticket.output, outputTokens)
	prompt := g.ticket.request.PromptTokens
	g.whileRunning(func() {
		g.settle(int64(expected - outputTokens))
		g.sample(outputTokens, now)
		if credit.Tokens(prompt+outputTokens) > g.ticket.need {
			g.grow(credit.Tokens(prompt + expected))
		}
	})
}

// Finish ends the request and records what it showed.
func (g *Grant) Finish(o Outcome) {
	c := g.controller
	now := c.clock.Now()
	g.target.mu.Lock()
	first := g.target.release(g)
	if first {
		g.learn(o, now)
		g.evaluate(o, now)
	}
	g.target.mu.Unlock()
	if !first {
		return
	}
	if o.Kind == Complete {
		c.lengths.Observe(g.ticket.request.Route, g.ticket.account, o.OutputTokens)
		g.pool.finished.Add(int64(g.ticket.work))
	}
	c.counters.finished(g, o)
	if o.Kind != Complete && o.Kind != Cancelled {
		g.pool.refreshEjections(now)
	}
	g.pool.pumpIfWaiting(now)
	if g.pool.waiting.Load() > 0 || g.target.openTier.Load() < tables.TierCount-1 {
		c.wake()
	}
}

// whileRunning calls f under the target's lock, unless the request has ended.
func (g *Grant) whileRunning(f func()) {
	g.target.mu.Lock()
	defer g.target.mu.Unlock()
	if _, ok := g.target.grants[g]; ok {
		f()
	}
}

// settle sets the number of tokens yet to be computed. The target's lock is
// held.
func (g *Grant) settle(outstanding int64) {
	g.target.outstanding.Add(outstanding - g.outstanding)
	g.outstanding = outstanding
}

// sample observes the target's speed from the tokens since the last sample. The
// target's lock is held.
func (g *Grant) sample(output int, now time.Time) {
	if g.sampledAt.IsZero() || output-g.sampled < sampleTokens {
		return
	}
	g.target.speed.ObserveDecode(output-g.sampled, now.Sub(g.sampledAt))
	g.target.observed(now)
	g.target.decodeSeen = true
	g.sampled, g.sampledAt = output, now
}

// grow enlarges the reservation. The target's lock is held.
func (g *Grant) grow(held credit.Tokens) {
	extra := credit.Amount{Tokens: held - g.held}
	if extra.Tokens <= 0 {
		return
	}
	g.target.add(g.ticket.tier, extra)
	if g.stopped {
		g.target.stopping[g.ticket.tier] = g.target.stopping[g.ticket.tier].Plus(extra)
	}
	g.held = held
}

// loss is the work that a cancellation would waste, in tokens. The prompt counts
// from the first token on.
func (g *Grant) loss() int64 {
	if g.sampledAt.IsZero() {
		return 0
	}
	return int64(g.ticket.request.PromptTokens) + g.output.Load()
}

// learn takes the target's speed from a complete answer. The target's lock is
// held.
func (g *Grant) learn(o Outcome, now time.Time) {
	if o.Kind != Complete {
		return
	}
	g.target.observed(now)
	if o.PromptTokens > 0 {
		g.target.prefix.AdjustBound(g.reuse, len(g.ticket.request.Prefix)*o.CachedTokens/o.PromptTokens)
	}
	if o.OutputTokens == 0 {
		g.target.speed.ObserveDuration(o.Duration)
		return
	}
	g.target.speed.ObserveFirstToken(max(0, o.PromptTokens-o.CachedTokens), o.FirstToken)
	if g.sampled == 0 && o.OutputTokens >= sampleTokens {
		g.target.speed.ObserveDecode(o.OutputTokens, o.Duration-o.FirstToken)
		g.target.decodeSeen = true
	}
}

// evaluate lets the outcome speak for or against the target. The target's lock is
// held.
func (g *Grant) evaluate(o Outcome, now time.Time) {
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
		t.shunned = now.Add(shunFor)
	case Cancelled:
	}
	t.reentry.Store(int64(t.ejector.ConcurrencyLimit()))
}
