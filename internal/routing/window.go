package routing

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// windowParts is the number of parts into which a window is divided; the
	// oldest is dropped whole, so that the window errs on the long side.
	windowParts = 10
	// keepBack is the part of the bound that is left unused, for what other
	// instances count differently.
	keepBack = 0.25
)

// WindowRetryBudget bounds the repeats of requests in any window to a share of the
// requests plus a fixed number, which all instances divide evenly. It answers
// failures of many targets at once, in which each request would otherwise be
// sent as often as its route allows.
type WindowRetryBudget struct {
	clock clockwork.Clock
	// started is the origin of positions, so that jumps of the time of day do not
	// matter.
	started time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	sharers  int
	counts   [windowParts + 1]windowCount
	position int64
}

type windowCount struct{ requests, repeats int }

// NewWindowRetryBudget returns a budget for one instance.
func NewWindowRetryBudget(clock clockwork.Clock, ratio, slack float64, window time.Duration) *WindowRetryBudget {
	return &WindowRetryBudget{clock: clock, started: clock.Now(), ratio: ratio, slack: slack, window: window, sharers: 1}
}

// SetInstances divides the fixed number among so many instances.
func (b *WindowRetryBudget) SetInstances(sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = max(1, sharers)
}

// SetLimits replaces the bounds; what has been counted stays.
func (b *WindowRetryBudget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// RecordRequest records a request that is sent for the first time.
func (b *WindowRetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// TakeRetry takes one repeat; it reports false when none is left.
func (b *WindowRetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	var sum windowCount
	for _, c := range b.counts {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	bound := (b.ratio*float64(sum.requests) + b.slack/float64(b.sharers)) * (1 - keepBack)
	if float64(sum.repeats+1) > bound {
		return false
	}
	b.current().repeats++
	return true
}

// current returns the present part and clears those that have passed.
func (b *WindowRetryBudget) current() *windowCount {
	length := b.window / windowParts
	now := int64(b.clock.Since(b.started) / length)
	for passed := 0; b.position < now && passed < len(b.counts); passed++ {
		b.position++
		b.counts[b.position%int64(len(b.counts))] = windowCount{}
	}
	b.position = now
	return &b.counts[now%int64(len(b.counts))]
}
