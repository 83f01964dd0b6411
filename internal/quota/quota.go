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
	// silenceTimeout is how long an instance may be unheard before its use is assumed
	// instead: several periods of the reports.
	silenceTimeout = 400 * time.Millisecond
	// peerExpiry is how long a silent instance counts as one that may still serve;
	// after that it is taken to be gone. It is longer than the network's usual
	// partitions, during which both sides serve.
	peerExpiry = 20 * time.Second
	// restartBurstShare is the part of the burst with which an instance starts that
	// joins a running system and has not heard the others' levels yet.
	restartBurstShare = 0.25
	// startupPeriod is how long after its start an instance takes over the lowest
	// level that it hears, and keeps to its even part of what it starts with and
	// of the rate: all may have started at once and not have heard each other.
	startupPeriod = 1500 * time.Millisecond
	// defaultInstanceCount is the number of instances that a restarted one assumes
	// while it knows of none.
	defaultInstanceCount = 8
)

// Tolerance is how far the operator lets accounts exceed their quota within a
// window, for what instances cannot know of each other.
type Tolerance struct {
	Window time.Duration
	// Overrun is relative to what the quota allows in a window, Slack a fixed
	// number of units for accounts that count tokens.
	Overrun, Slack float64
}

// toleranceBurstShare is the part of the tolerance that is added to the burst, so that
// an account that stays within its rate over a window is not refused in its
// short peaks; the rest is left to what instances cannot know of each other.
const toleranceBurstShare = 0.4

// burstWithTolerance returns how much an account may save up.
func (t *Tolerance) burstWithTolerance(account *catalog.Account) float64 {
	allowed := account.Rate*t.Window.Seconds() + account.Burst
	extra := t.Overrun * allowed
	if account.CountsTokens {
		extra += t.Slack
	}
	return account.Burst + toleranceBurstShare*extra
}

// Limiter keeps the buckets. Its methods may be called from any goroutine.
type Limiter struct {
	clock     clockwork.Clock
	startedAt time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	tolerance  Tolerance
	random     *rand.Rand
	firstStart bool
	buckets    map[string]*bucket
	peers      map[string]*peerState
	// reportCount counts the reports.
	reportCount uint64
	// instanceCount is how many instances may serve, with this one; 0 if not known.
	instanceCount int
}

// bucket is one account's quota; Ledger.mu guards it. One whose rate is 0 only
// keeps what others report, until the account's first request here.
type bucket struct {
	rate, burst float64
	level       float64
	filledAt    time.Time
	// taken is what this instance has taken since its start, takenByPeers what it has
	// takenByPeers that others took; changed is when either last did.
	taken, takenByPeers float64
	changedAt           time.Time
	// roundingThreshold is uniform in [0, 1).
	roundingThreshold float64
}

// peerState is another instance; Ledger.mu guards it.
type peerState struct {
	// incarnation tells a restarted instance, whose totals begin at 0.
	incarnation int64
	// reportedAt is when it was heard last.
	reportedAt time.Time
	totals     map[string]float64
	// counted is what has been taken off for what it reported.
	counted map[string]float64
	// assumedUse is what has been taken off for it while it was silent.
	assumedUse   map[string]float64
	assumedUntil time.Time
	silent       bool
	// instances is the number of instances that it instances for.
	instances int
}

// New returns a ledger. First tells that the whole system starts for the first
// time, so that no other instance can have taken anything yet.
func New(clock clockwork.Clock, random *rand.Rand, tolerance Tolerance, firstStart bool) *Limiter {
	return &Limiter{
		clock: clock, random: random, startedAt: clock.Now(), tolerance: tolerance, firstStart: firstStart,
		buckets: make(map[string]*bucket), peers: make(map[string]*peerState),
	}
}

// SetInstanceCount tells how many instances may serve, with this one, whether or not they
// have been heard.
func (l *Limiter) SetInstanceCount(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceCount = instances
}

// withinStartupShare reports whether a bucket may be used beyond this instance's even part
// by a charge; if not, wait is the time until it may. The lock is held.
func (l *Limiter) withinStartupShare(b *bucket, charge float64, now time.Time) (ok bool, wait time.Duration) {
	age := now.Sub(l.startedAt)
	if l.firstStart || age >= startupPeriod {
		return true, 0
	}
	instances := float64(l.instanceCount)
	if instances == 0 {
		instances = defaultInstanceCount
	}
	share := (restartBurstShare*b.burst + b.rate*age.Seconds()) / instances
	// A part that is less than a charge is rounded at random, so that the parts of
	// all add up.
	if b.taken+charge <= share+b.roundingThreshold*charge {
		return true, 0
	}
	return false, startupPeriod - age
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
	b := l.bucketFor(account, now)
	l.deductAssumedUse(now)
	b.fill(now)
	needed := math.Min(charge+reserveShare(priority)*b.burst, b.burst)
	if b.level < needed {
		missing := needed - b.level
		return false, time.Duration(missing / b.rate * float64(time.Second))
	}
	if ok, wait := l.withinStartupShare(b, charge, now); !ok {
		return false, wait
	}
	b.level -= charge
	b.taken += charge
	b.changedAt = now
	return true, 0
}

const (
	// reserveStep is the part of the burst that each priority leaves to the one
	// above it; maxReserve bounds the sum.
	reserveStep = 0.15
	maxReserve  = 0.45
)

func reserveShare(priority int) float64 {
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
		b.changedAt = l.clock.Now()
	}
}

// bucketFor returns the account's bucketFor, adapted to its present quota.
func (l *Limiter) bucketFor(account *catalog.Account, now time.Time) *bucket {
	burst := l.tolerance.burstWithTolerance(account)
	b := l.buckets[account.Name]
	if b == nil {
		b = &bucket{roundingThreshold: l.random.Float64()}
		l.buckets[account.Name] = b
	}
	if b.rate == 0 {
		b.rate, b.burst, b.level, b.filledAt = account.Rate, burst, burst, now
		if !l.firstStart {
			b.level = restartBurstShare * burst
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
	b.level = math.Min(b.burst, b.level+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

// deduct takes off what others have taken; a debt beyond the burst is dropped,
// since it could only have come from an instance that had not heard of it.
func (b *bucket) deduct(amount float64, now time.Time) {
	b.fill(now)
	b.level = math.Max(-b.burst, math.Min(b.burst, b.level-amount))
}

// deductAssumedUse takes off an even share for each instance that is silent.
func (l *Limiter) deductAssumedUse(now time.Time) {
	instances := 1.0
	for _, p := range l.peers {
		instances += float64(p.instances)
	}
	for name, p := range l.peers {
		silentFor := now.Sub(p.reportedAt)
		if silentFor > peerExpiry {
			delete(l.peers, name)
			continue
		}
		if silentFor < silenceTimeout {
			continue
		}
		elapsed := now.Sub(p.assumedUntil).Seconds()
		p.assumedUntil = now
		for account, b := range l.buckets {
			if b.rate == 0 {
				continue
			}
			b.fill(now)
			share := b.rate * elapsed
			if !p.silent {
				share += math.Max(0, b.level)
			}
			share *= float64(p.instances) / instances
			p.assumedUse[account] += share
			b.deduct(share, now)
		}
		p.silent = true
	}
}
