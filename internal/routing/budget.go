package routing

import "sync/atomic"

const (
	// retryShare is the number of retries that each first attempt pays for.
	retryShare = 0.1
	// retryBurst is the most retries saved up.
	retryBurst = 10
	// budgetUnit is the fixed-point scale of a Budget.
	budgetUnit = 1000
)

// RetryBudget bounds retries to a share of first attempts, so that an outage does
// not multiply load. It is safe for concurrent use, without locks.
type RetryBudget struct{ saved atomic.Int64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.saved.Store(retryBurst * budgetUnit)
	return b
}

// RecordRequest records a first attempt.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.saved.Load()
		next := min(old+retryShare*budgetUnit, retryBurst*budgetUnit)
		if old == next || b.saved.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeRetry takes one retry; it reports false when none is left.
func (b *RetryBudget) TakeRetry() bool {
	for {
		old := b.saved.Load()
		if old < budgetUnit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
