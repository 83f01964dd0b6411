package routing

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// windowBuckets is the number of buckets in a window. The oldest is dropped as
	// a whole, so the counted time is somewhat longer than the window.
	windowBuckets = 10
	// reservedShare is the share of the limit that is left unused to allow for
	// differences between the instances' counts.
	reservedShare = 0.25
)

// WindowRetryBudget bounds the retries in any window to a share of the requests
// plus a fixed number that is divided evenly among all instances. It applies
// when many targets fail at once and each request would otherwise be retried as
// often as its route allows.
type WindowRetryBudget struct {
	clock clockwork.Clock
	// origin is the time from which buckets are counted; a monotonic origin makes
	// the budget independent of wall-clock changes.
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

// SetInstances sets the number of instances that share the fixed number.
func (b *WindowRetryBudget) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, instances)
}

// SetLimits replaces the limits; the counts are kept.
func (b *WindowRetryBudget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// RecordRequest records a first attempt.
func (b *WindowRetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().requests++
}

// TakeRetry takes one retry; it returns false if none is left.
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

// currentBucket returns the current bucket and clears the ones that have
// expired.
func (b *WindowRetryBudget) currentBucket() *windowBucket {
	bucketLength := max(1, b.window/windowBuckets)
	index := int64(b.clock.Since(b.origin) / bucketLength)
	for passed := 0; b.bucketIndex < index && passed < len(b.buckets); passed++ {
		b.bucketIndex++
		b.buckets[b.bucketIndex%int64(len(b.buckets))] = windowBucket{}
	}
	b.bucketIndex = index
	return &b.buckets[index%int64(len(b.buckets))]
}
