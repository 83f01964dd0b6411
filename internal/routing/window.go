package routing

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// windowBuckets is the number of parts into which a window is divided; the
	// oldest is dropped whole, so that the window errs on the long side.
	windowBuckets = 10
	// reservedShare is the part of the bound that is left unused, for what other
	// instances count differently.
	reservedShare = 0.25
)

// WindowRetryBudget bounds the repeats of requests in any window to a share of the
// requests plus a fixed number, which all instances divide evenly. It answers
// failures of many targets at once, in which each request would otherwise be
// sent as often as its route allows.
type WindowRetryBudget struct {
	clock clockwork.Clock
	// origin is the origin of positions, so that jumps of the time of day do not
	// matter.
	origin time.Time

	// mu guards the fields below.
	mu          sync.Mutex
	ratio       float64
	slack       float64
	window      time.Duration
	instances   int
	buckets     [windowBuckets + 1]windowBucket
	bucketIndex int64
}

type windowBucket struct{ requests, retries int }

// NewWindowRetryBudget returns a budget for one instance.
func NewWindowRetryBudget(clock clockwork.Clock, ratio, slack float64, window time.Duration) *WindowRetryBudget {
	return &WindowRetryBudget{clock: clock, origin: clock.Now(), ratio: ratio, slack: slack, window: window, instances: 1}
}

// SetInstances divides the fixed number among so many instances.
func (b *WindowRetryBudget) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, instances)
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
	b.currentBucket().requests++
}

// TakeRetry takes one repeat; it reports false when none is left.
func (b *WindowRetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket()
	var sum windowBucket
	for _, c := range b.buckets {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	limit := (b.ratio*float64(sum.requests) + b.slack/float64(b.instances)) * (1 - reservedShare)
	if float64(sum.retries+1) > limit {
		return false
	}
	b.currentBucket().retries++
	return true
}

// currentBucket returns the present part and clears those that have passed.
func (b *WindowRetryBudget) currentBucket() *windowBucket {
	bucketLength := b.window / windowBuckets
	index := int64(b.clock.Since(b.origin) / bucketLength)
	for passed := 0; b.bucketIndex < index && passed < len(b.buckets); passed++ {
		b.bucketIndex++
		b.buckets[b.bucketIndex%int64(len(b.buckets))] = windowBucket{}
	}
	b.bucketIndex = index
	return &b.buckets[index%int64(len(b.buckets))]
}
