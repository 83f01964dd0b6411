package backoff

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestWaitsGrowWithinBoundsAndDiffer(t *testing.T) {
	policy := Policy{Base: 100 * time.Millisecond, Max: 5 * time.Second}
	firsts := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		b := New(policy, rand.New(rand.NewPCG(seed, 1)))
		firsts[b.Next()] = true
		for range 30 {
			wait := b.Next()
			assert.Check(t, wait >= policy.Base && wait <= policy.Max, "%s", wait)
		}
		b.Reset()
		assert.Check(t, b.Next() <= growth*policy.Base)
	}
	assert.Check(t, len(firsts) > 15, "instances start apart")
}

func TestBudgetBoundsWritesAfterAnOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	budget := NewTokenBucket(clock, 10, 5)
	clock.Advance(time.Hour)
	granted := 0
	for range 100 {
		for budget.Take(1) == nil {
			granted++
		}
		clock.Advance(10 * time.Millisecond)
	}
	assert.Check(t, granted <= 15, "%d in one second", granted)
	assert.Check(t, granted >= 14, "%d in one second", granted)
}

func TestBudgetWaitEndsWithItsContext(t *testing.T) {
	budget := NewTokenBucket(clockwork.NewFakeClock(), 0, 1)
	assert.NilError(t, budget.Wait(context.Background(), 5))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, errors.Is(budget.Wait(ctx, 1), context.Canceled))
}
