package routing

import "sync/atomic"

const (
	// retryRatio is the number of retries allowed per first attempt.
	retryRatio = 0.1
	// retryBurst is the largest balance, in retries.
	retryBurst = 10
	// fixedPointScale is the value of one retry in a balance.
	fixedPointScale = 1000
)

// RetryBudget bounds retries to a share of first attempts, so that an outage
// does not multiply the load. It is safe for concurrent use and lock-free.
type RetryBudget struct{ balance atomic.Int64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.balance.Store(retryBurst * fixedPointScale)
	return b
}

// RecordRequest records a first attempt.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.balance.Load()
		next := min(old+retryRatio*fixedPointScale, retryBurst*fixedPointScale)
		if old == next || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeRetry takes one retry; it returns false if none is left.
func (b *RetryBudget) TakeRetry() bool {
	for {
		old := b.balance.Load()
		if old < fixedPointScale {
			return false
		}
		if b.balance.CompareAndSwap(old, old-fixedPointScale) {
			return true
		}
	}
}
