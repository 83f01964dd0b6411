// Package backoff spaces out repeated attempts so that many instances that
// lost the same service at the same moment do not come back to it as a herd.
//
// A Backoff gives each caller jittered, growing waits. A Budget is a token
// bucket that bounds how many writes an instance sends a second, whatever has
// piled up while the service was down.
package backoff

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// growthFactor is the factor by which the bound of a wait grows.
const growthFactor = 3

// Policy bounds the waits of a Backoff.
type Policy struct {
	// Base is the shortest wait.
	Base time.Duration
	// Max is the longest one.
	Max time.Duration
}

// Backoff is a sequence of waits, each drawn between Base and three times the
// wait before (decorrelated jitter). It is used by one goroutine at a time.
type Backoff struct {
	policy    Policy
	rng       *rand.Rand
	lastDelay time.Duration
}

// New returns a sequence that starts at the shortest wait.
func New(policy Policy, rng *rand.Rand) *Backoff {
	return &Backoff{policy: policy, rng: rng}
}

// Next returns the next wait.
func (b *Backoff) Next() time.Duration {
	upperBound := max(growthFactor*b.lastDelay, growthFactor*b.policy.Base)
	delay := b.policy.Base + time.Duration(b.rng.Int64N(int64(upperBound-b.policy.Base)+1))
	b.lastDelay = min(delay, b.policy.Max)
	return b.lastDelay
}

// Reset starts over after a success.
func (b *Backoff) Reset() { b.lastDelay = 0 }

// Sleep waits on the clock until d has passed or ctx ends.
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

// ErrExhausted means that a Budget has nothing left at present.
var ErrExhausted = errors.New("backoff: the budget is used up")

// TokenBucket is a token bucket.
type TokenBucket struct {
	clock clockwork.Clock
	burst float64

	// mu guards the fields below.
	mu              sync.Mutex
	tokensPerSecond float64
	tokens          float64
	refilledAt      time.Time
}

// NewTokenBucket returns a full bucket of burst tokens that gains rate a second.
func NewTokenBucket(clock clockwork.Clock, rate, burst float64) *TokenBucket {
	return &TokenBucket{clock: clock, burst: burst, tokensPerSecond: rate, tokens: burst, refilledAt: clock.Now()}
}

// SetRate changes the tokens gained a second, as when the number of instances
// that share a service changes.
func (b *TokenBucket) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokensPerSecond = rate
}

// refill adds the tokens gained since the last time; b.mu is held.
func (b *TokenBucket) refill() {
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// Take uses n tokens, or returns ErrExhausted and uses none.
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

// Wait uses n tokens as soon as it has them, or returns when ctx ends. A
// request for more than the burst is let through once the bucket is full.
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

// timeUntil estimates when n tokens will be there.
func (b *TokenBucket) timeUntil(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokensPerSecond <= 0 {
		return time.Second
	}
	missing := float64(n) - b.tokens
	return max(time.Millisecond, time.Duration(missing/b.tokensPerSecond*float64(time.Second)))
}
