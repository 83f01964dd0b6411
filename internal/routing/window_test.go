package routing

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestWindowBudgetBoundsRepeatsAndRecovers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewWindowRetryBudget(clock, 0.2, 40, 10*time.Second)
	b.SetInstances(4)
	for range 100 {
		b.RecordRequest()
	}
	spent := 0
	for b.TakeRetry() {
		spent++
	}
	assert.Equal(t, spent, 22)
	clock.Advance(5 * time.Second)
	assert.Assert(t, !b.TakeRetry())
	clock.Advance(7 * time.Second)
	assert.Assert(t, b.TakeRetry())
}

// A window of a few nanoseconds in the settings ended the instance with its first request.
func TestWindowOfNanosecondsDoesNotEndInstances(t *testing.T) {
	for _, window := range []time.Duration{0, 1, 9, 10} {
		clock := clockwork.NewFakeClock()
		b := NewWindowRetryBudget(clock, 0, 50, window)
		clock.Advance(time.Second)
		b.RecordRequest()
		assert.Assert(t, b.TakeRetry(), "window %v", window)
	}
}
