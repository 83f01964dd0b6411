// Package backoff spaces out retries, so that many instances that lose the
// same service at the same time do not overload it when it returns.
//
// A Backoff generates growing delays with jitter. A TokenBucket limits the
// writes of an instance per second, however many are pending after an outage.
package backoff

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// growthFactor is the largest ratio of a delay to the one before.
const growthFactor = 3

// Policy sets the range of the delays of a Backoff.
type Policy struct {
	// Base is the shortest delay.
	Base time.Duration
	// Max is the longest delay.
	Max time.Duration
}

// Backoff is a sequence of delays, each drawn between Base and three times
// the delay before (decorrelated jitter) and limited to Max. It is not safe
// for concurrent use.
type Backoff struct {
	policy    Policy
	rng       *rand.Rand
	lastDelay time.Duration
}

// New returns a sequence whose first delay is between Base and three times
// Base.
func New(policy Policy, rng *rand.Rand) *Backoff {
	return &Backoff{policy: policy, rng: rng}
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	upperBound := max(growthFactor*b.lastDelay, growthFactor*b.policy.Base)
	delay := b.policy.Base + time.Duration(b.rng.Int64N(int64(upperBound-b.policy.Base)+1))
	b.lastDelay = min(delay, b.policy.Max)
	return b.lastDelay
}

// Reset restarts the sequence after a success.
func (b *Backoff) Reset() { b.lastDelay = 0 }

// Sleep waits until d has passed on the clock or ctx ends, and returns the
// error of ctx in that case.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// ErrExhausted means that a TokenBucket does not have enough tokens.
var ErrExhausted = errors.New("backoff: not enough tokens in the bucket")

// TokenBucket is a token bucket for rate limiting. It is safe for concurrent
// use.
type TokenBucket struct {
	clock clockwork.Clock
	burst float64

	// mu guards the fields below.
	mu              sync.Mutex
	tokensPerSecond float64
	tokens          float64
	refilledAt      time.Time
}

// NewTokenBucket returns a full bucket of burst tokens that is refilled at
// rate tokens per second.
func NewTokenBucket(clock clockwork.Clock, rate, burst float64) *TokenBucket {
	return &TokenBucket{clock: clock, burst: burst, tokensPerSecond: rate, tokens: burst, refilledAt: clock.Now()}
}

// SetRate changes the refill rate, for example when the number of instances
// that share a service changes.
func (b *TokenBucket) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokensPerSecond = rate
}

// refill adds the tokens since the last refill; b.mu is held.
func (b *TokenBucket) refill() {
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// Take takes n tokens, or returns ErrExhausted and takes none.
func (b *TokenBucket) Take(n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < float64(n) {
		return ErrExhausted
	}
	b.tokens -= float64(n)
	return nil
}

// Wait waits until n tokens are available and takes them, or returns the
// error of ctx. A request for more than the burst takes the full bucket.
func (b *TokenBucket) Wait(ctx context.Context, n int) error {
	n = min(n, int(b.burst))
	for {
		if b.Take(n) == nil {
			return nil
		}
		if err := Sleep(ctx, b.clock, b.timeUntil(n)); err != nil {
			return err
		}
	}
}

// timeUntil estimates the time until n tokens are available; with a refill
// rate of zero it returns one second, after which Wait checks again.
func (b *TokenBucket) timeUntil(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokensPerSecond <= 0 {
		return time.Second
	}
	missing := float64(n) - b.tokens
	return max(time.Millisecond, time.Duration(missing/b.tokensPerSecond*float64(time.Second)))
}
