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

func TestDelaysGrowWithinBoundsAndDifferBySeed(t *testing.T) {
	policy := Policy{Base: 100 * time.Millisecond, Max: 5 * time.Second}
	firstDelays := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		b := New(policy, rand.New(rand.NewPCG(seed, 1)))
		firstDelays[b.Next()] = true
		for range 30 {
			delay := b.Next()
			assert.Check(t, delay >= policy.Base && delay <= policy.Max, "delay %s is outside of %s to %s", delay, policy.Base, policy.Max)
		}
		b.Reset()
		assert.Check(t, b.Next() <= growthFactor*policy.Base)
	}
	assert.Check(t, len(firstDelays) > 15, "%d distinct first delays among 20 seeds, expected more than 15", len(firstDelays))
}

// An hour without writes must not accumulate more than the burst of 5 tokens.
func TestTokenBucketBoundsWritesAfterAnOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	bucket := NewTokenBucket(clock, 10, 5)
	clock.Advance(time.Hour)
	taken := 0
	for range 100 {
		for bucket.Take(1) == nil {
			taken++
		}
		clock.Advance(10 * time.Millisecond)
	}
	assert.Check(t, taken <= 15, "%d tokens in one second, expected 15 at most", taken)
	assert.Check(t, taken >= 14, "%d tokens in one second, expected 14 at least", taken)
}

func TestTokenBucketWaitStopsWhenContextIsCanceled(t *testing.T) {
	bucket := NewTokenBucket(clockwork.NewFakeClock(), 0, 1)
	assert.NilError(t, bucket.Wait(context.Background(), 5))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, errors.Is(bucket.Wait(ctx, 1), context.Canceled))
}
