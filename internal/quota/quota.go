// Package quota keeps client accounts within a quota that all instances share.
//
// Every instance keeps a token bucket for each account and takes its own
// requests from it at once. What the other instances have taken arrives as
// cumulative totals (Totals, Hear) and is taken off as the difference to the
// total heard before, so that lost, late and repeated messages do no harm.
//
// While a known instance is silent, it is assumed to take its even share of
// the rate and of what was saved up, so that an instance that is cut off from
// all others falls back to that share itself, and the sum stays within the
// quota.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// silence is how long an instance may be unheard before its use is assumed
	// instead: several periods of the reports.
	silence = 400 * time.Millisecond
	// forget is how long a silent instance counts as one that may still serve;
	// after that it is taken to be gone. It is longer than the network's usual
	// partitions, during which both sides serve.
	forget = 20 * time.Second
	// restartShare is the part of the burst with which an instance starts that
	// joins a running system and has not heard the others' levels yet.
	restartShare = 0.25
	// settleTime is how long after its start an instance takes over the lowest
	// level that it hears, and keeps to its even part of what it starts with and
	// of the rate: all may have started at once and not have heard each other.
	settleTime = 1500 * time.Millisecond
	// unknownInstances is the number of instances that a restarted one assumes
	// while it knows of none.
	unknownInstances = 8
)

// Tolerance is how far the operator lets accounts exceed their quota within a
// window, for what instances cannot know of each other.
type Tolerance struct {
	Window time.Duration
	// Overrun is relative to what the quota allows in a window, Slack a fixed
	// number of units for accounts that count tokens.
	Overrun, Slack float64
}

// burstShare is the part of the tolerance that is added to the burst, so that
// an account that stays within its rate over a window is not refused in its
// short peaks; the rest is left to what instances cannot know of each other.
const burstShare = 0.4

// burst returns how much an account may save up.
func (t *Tolerance) burst(a *catalog.Account) float64 {
	allowed := a.Rate*t.Window.Seconds() + a.Burst
	extra := t.Overrun * allowed
	if a.CountsTokens {
		extra += t.Slack
	}
	return a.Burst + burstShare*extra
}

// Limiter keeps the buckets. Its methods may be called from any goroutine.
type Limiter struct {
	clock   clockwork.Clock
	started time.Time

	// mu guards the fields below.
	mu        sync.Mutex
	tolerance Tolerance
	random    *rand.Rand
	first     bool
	buckets   map[string]*bucket
	peers     map[string]*member
	// turn counts the reports.
	turn uint64
	// expected is how many instances may serve, with this one; 0 if not known.
	expected int
}

// bucket is one account's quota; Ledger.mu guards it. One whose rate is 0 only
// keeps what others report, until the account's first request here.
type bucket struct {
	rate, burst float64
	level       float64
	filled      time.Time
	// taken is what this instance has taken since its start, heard what it has
	// heard that others took; changed is when either last did.
	taken, heard float64
	changed      time.Time
	// rounding is uniform in [0, 1).
	rounding float64
}

// member is another instance; Ledger.mu guards it.
type member struct {
	// incarnation tells a restarted instance, whose totals begin at 0.
	incarnation int64
	// at is when it was heard last.
	at     time.Time
	totals map[string]float64
	// heard is what has been taken off for what it reported.
	heard map[string]float64
	// assumed is what has been taken off for it while it was silent.
	assumed map[string]float64
	charged time.Time
	silent  bool
	// stands is the number of instances that it stands for.
	stands int
}

// New returns a ledger. First tells that the whole system starts for the first
// time, so that no other instance can have taken anything yet.
func New(clock clockwork.Clock, random *rand.Rand, tolerance Tolerance, first bool) *Limiter {
	return &Limiter{
		clock: clock, random: random, started: clock.Now(), tolerance: tolerance, first: first,
		buckets: make(map[string]*bucket), peers: make(map[string]*member),
	}
}

// SetInstanceCount tells how many instances may serve, with this one, whether or not they
// have been heard.
func (l *Limiter) SetInstanceCount(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = instances
}

// settled reports whether a bucket may be used beyond this instance's even part
// by a charge; if not, wait is the time until it may. The lock is held.
func (l *Limiter) settled(b *bucket, charge float64, now time.Time) (ok bool, wait time.Duration) {
	age := now.Sub(l.started)
	if l.first || age >= settleTime {
		return true, 0
	}
	instances := float64(l.expected)
	if instances == 0 {
		instances = unknownInstances
	}
	part := (restartShare*b.burst + b.rate*age.Seconds()) / instances
	// A part that is less than a charge is rounded at random, so that the parts of
	// all add up.
	if b.taken+charge <= part+b.rounding*charge {
		return true, 0
	}
	return false, settleTime - age
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = tolerance
}

// Take takes a charge from the account's quota. When there is too little left
// it takes nothing and returns the time until there is enough. Priority 0 is
// the highest; lower ones leave a part of the burst to the higher ones, so that
// these go first where an account asks for more than its quota.
func (l *Limiter) Take(account *catalog.Account, priority int, charge float64) (ok bool, wait time.Duration) {
	if account.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b := l.bucket(account, now)
	l.assumeSilent(now)
	b.fill(now)
	needed := math.Min(charge+reserve(priority)*b.burst, b.burst)
	if b.level < needed {
		missing := needed - b.level
		return false, time.Duration(missing / b.rate * float64(time.Second))
	}
	if ok, wait := l.settled(b, charge, now); !ok {
		return false, wait
	}
	b.level -= charge
	b.taken += charge
	b.changed = now
	return true, 0
}

const (
	// reserveStep is the part of the burst that each priority leaves to the one
	// above it; maxReserve bounds the sum.
	reserveStep = 0.15
	maxReserve  = 0.45
)

func reserve(priority int) float64 {
	return math.Min(maxReserve, reserveStep*float64(max(0, priority)))
}

// Refund returns the charge of a request that did not run.
func (l *Limiter) Refund(account *catalog.Account, charge float64) {
	if account.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account.Name]; b != nil && b.rate > 0 {
		b.level = math.Min(b.burst, b.level+charge)
		b.taken -= charge
		b.changed = l.clock.Now()
	}
}

// bucket returns the account's bucket, adapted to its present quota.
func (l *Limiter) bucket(account *catalog.Account, now time.Time) *bucket {
	burst := l.tolerance.burst(account)
	b := l.buckets[account.Name]
	if b == nil {
		b = &bucket{rounding: l.random.Float64()}
		l.buckets[account.Name] = b
	}
	if b.rate == 0 {
		b.rate, b.burst, b.level, b.filled = account.Rate, burst, burst, now
		if !l.first {
			b.level = restartShare * burst
		}
	}
	if b.rate != account.Rate || b.burst != burst {
		b.fill(now)
		b.rate, b.burst = account.Rate, burst
		b.level = math.Min(b.level, b.burst)
	}
	return b
}

func (b *bucket) fill(now time.Time) {
	b.level = math.Min(b.burst, b.level+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

// draw takes off what others have taken; a debt beyond the burst is dropped,
// since it could only have come from an instance that had not heard of it.
func (b *bucket) draw(amount float64, now time.Time) {
	b.fill(now)
	b.level = math.Max(-b.burst, math.Min(b.burst, b.level-amount))
}

// assumeSilent takes off an even share for each instance that is silent.
func (l *Limiter) assumeSilent(now time.Time) {
	members := 1.0
	for _, m := range l.peers {
		members += float64(m.stands)
	}
	for name, m := range l.peers {
		quiet := now.Sub(m.at)
		if quiet > forget {
			delete(l.peers, name)
			continue
		}
		if quiet < silence {
			continue
		}
		span := now.Sub(m.charged).Seconds()
		m.charged = now
		for account, b := range l.buckets {
			if b.rate == 0 {
				continue
			}
			b.fill(now)
			share := b.rate * span
			if !m.silent {
				share += math.Max(0, b.level)
			}
			share *= float64(m.stands) / members
			m.assumed[account] += share
			b.draw(share, now)
		}
		m.silent = true
	}
}
