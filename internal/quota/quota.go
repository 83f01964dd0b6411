// Package quota keeps client accounts within a rate quota that all instances
// share.
//
// Every instance keeps a token bucket for each account and takes charges of its
// own requests from it without waiting for others (Limiter). The use at other
// instances arrives as cumulative totals (OwnUsage, ApplyUsage); the difference
// to the previous total is deducted from the bucket, so that lost, late and
// repeated messages do no harm. Where there are many instances, some aggregate
// the totals of all for the others (AggregateUsage, ApplyAggregate).
//
// While a known instance is silent, it is assumed to use its even share of the
// rate and of the accumulated level. An instance that is cut off from all others
// therefore limits itself to that share, and the sum stays within the quota.
//
// An instance that has just started does not know what others have taken
// (IsStarting). All instances then ask one of them, the same for an account, which
// takes the charges from its own bucket (TakeForAll). An even share is a fallback
// for instances that reach none: split over hundreds of instances, it is less than
// one request for each, while the callers of an account are connected to a few.
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
	// silenceTimeout is how long an instance may send no report before its use is
	// assumed instead: several report periods.
	silenceTimeout = 400 * time.Millisecond
	// peerExpiry is how long a silent instance counts as one that may still
	// serve; after that it is taken to have left. It is longer than the usual
	// network partitions, during which both sides serve.
	peerExpiry = 20 * time.Second
	// restartBurstShare is the part of the burst in a new bucket of an instance
	// that joins a running system and has not received the levels of others yet.
	restartBurstShare = 0.5
	// startupPeriod is how long after its start an instance lowers its levels to
	// the lowest one reported, and limits itself to its even share of the initial
	// level and of the rate: all instances may have started at the same time
	// without any reports yet.
	startupPeriod = 1500 * time.Millisecond
	// defaultInstanceCount is the number of instances that a restarted instance
	// assumes while the number is not known.
	defaultInstanceCount = 8
)

// Tolerance is how far the operator allows accounts to exceed their quota within
// a window, because instances learn of each other's use with a delay.
type Tolerance struct {
	Window time.Duration
	// Overrun is relative to what the quota allows in a window; Slack is a fixed
	// number of units for accounts that count tokens.
	Overrun, Slack float64
}

// toleranceBurstShare is the part of the tolerance that is added to the burst, so
// that an account that stays within its rate over a window is not refused in
// short peaks. The rest covers the use that instances do not know of yet.
const toleranceBurstShare = 0.4

// burstWithTolerance returns the capacity of an account's bucket.
func (t *Tolerance) burstWithTolerance(account *catalog.Account) float64 {
	allowed := account.Rate*t.Window.Seconds() + account.Burst
	extra := t.Overrun * allowed
	if account.CountsTokens {
		extra += t.Slack
	}
	return account.Burst + toleranceBurstShare*extra
}

// Limiter keeps the token buckets of all accounts. It is safe for concurrent use.
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
	// reportCount counts the reports of this instance.
	reportCount uint64
	// instanceCount is the number of instances that may serve, including this
	// one; 0 if not known.
	instanceCount int
}

// bucket is the token bucket of one account, guarded by Limiter.mu. While its
// rate is 0 it only records what other instances report; that changes with the
// account's first request here.
type bucket struct {
	rate, burst float64
	level       float64
	filledAt    time.Time
	// taken is what this instance has taken since its start, takenByPeers what
	// other instances have reported, and changedAt when either last changed.
	taken, takenByPeers float64
	changedAt           time.Time
	// roundingThreshold is uniform in [0, 1); see withinStartupShare.
	roundingThreshold float64
	// reportedLevel is the level that another instance reported last, at reportedAt; zero
	// if none has.
	reportedLevel float64
	reportedAt    time.Time
}

// maxReportedLevelAge is the age up to which a reported level is used for an account's
// first request at this instance: more than a cycle of reports takes.
const maxReportedLevelAge = 4 * time.Second

// initialLevel returns the level at an account's first request at this instance.
func (b *bucket) initialLevel(firstStart bool, now time.Time) float64 {
	switch {
	case !b.reportedAt.IsZero() && now.Sub(b.reportedAt) <= maxReportedLevelAge:
		return math.Min(b.burst, b.reportedLevel+b.rate*now.Sub(b.reportedAt).Seconds())
	case firstStart:
		return b.burst
	}
	return restartBurstShare * b.burst
}

// recordReport records the level that another instance reports; unknownLevel if it
// knows none.
func (b *bucket) recordReport(level float64, now time.Time) {
	if level < unknownLevel {
		b.reportedLevel, b.reportedAt = level, now
	}
}

// peerState is the state of another instance, guarded by Limiter.mu.
type peerState struct {
	// incarnation changes when the instance restarts; its totals then begin at 0.
	incarnation int64
	// reportedAt is when the last report arrived.
	reportedAt time.Time
	totals     map[string]float64
	// counted is the part of its totals that is included in takenByPeers, by
	// account.
	counted map[string]float64
	// assumedUse is what has been deducted for it while it was silent, by
	// account, up to assumedUntil.
	assumedUse   map[string]float64
	assumedUntil time.Time
	silent       bool
	// instances is the number of instances whose use it reports.
	instances int
}

// New returns a limiter. firstStart means that the whole system starts for the
// first time, so that no other instance can have taken anything yet.
func New(clock clockwork.Clock, random *rand.Rand, tolerance Tolerance, firstStart bool) *Limiter {
	return &Limiter{
		clock: clock, random: random, startedAt: clock.Now(), tolerance: tolerance, firstStart: firstStart,
		buckets: make(map[string]*bucket), peers: make(map[string]*peerState),
	}
}

// SetInstanceCount sets the number of instances that may serve, including this
// one, whether or not they have sent a report.
func (l *Limiter) SetInstanceCount(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceCount = instances
}

// withinStartupShare reports whether a charge keeps an account within this
// instance's even share of the quota. The limit applies during startupPeriod
// only, and not on a first start; if it is exceeded, wait is the time until that
// period ends. The caller holds l.mu.
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
	// A share smaller than a charge is rounded up or down at random, so that the
	// shares of all instances add up.
	if b.taken+charge <= share+b.roundingThreshold*charge {
		return true, 0
	}
	return false, startupPeriod - age
}

// IsStarting reports whether this instance has started so recently that it may not
// know what others have taken from an account. It never is on a first start.
func (l *Limiter) IsStarting() bool {
	return !l.firstStart && l.clock.Since(l.startedAt) < startupPeriod
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = tolerance
}

// Take takes a charge from the account's quota. If too little is left, it takes
// nothing and returns the time until there is enough. Priority 0 is the highest;
// lower priorities leave a part of the burst to higher ones, which therefore go
// first if an account requests more than its quota.
//
// While the instance is starting, it takes no more than its even share.
func (l *Limiter) Take(account *catalog.Account, priority int, charge float64) (ok bool, wait time.Duration) {
	return l.take(account, priority, charge, l.withinStartupShare)
}

// TakeForAll is like Take, for an instance that all others ask for the account's
// charges: what it knows is complete, and it takes from the whole quota.
func (l *Limiter) TakeForAll(account *catalog.Account, priority int, charge float64) (ok bool, wait time.Duration) {
	return l.take(account, priority, charge, nil)
}

// take takes a charge if the account's level and withinShare, unless nil, allow it.
func (l *Limiter) take(
	account *catalog.Account, priority int, charge float64, withinShare func(*bucket, float64, time.Time) (bool, time.Duration),
) (ok bool, wait time.Duration) {
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
	if withinShare != nil {
		if ok, wait := withinShare(b, charge, now); !ok {
			return false, wait
		}
	}
	b.level -= charge
	b.taken += charge
	b.changedAt = now
	return true, 0
}

const (
	// reserveStep is the part of the burst that each priority leaves to the next
	// higher one; maxReserve limits the sum.
	reserveStep = 0.15
	maxReserve  = 0.45
)

func reserveShare(priority int) float64 {
	return math.Min(maxReserve, reserveStep*float64(max(0, priority)))
}

// Track begins to keep the level of an account whose charges another instance takes,
// so that this instance knows it by the time at which it takes them itself.
func (l *Limiter) Track(account *catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucketFor(account, l.clock.Now())
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

// bucketFor returns the account's bucket, adapted to its current quota.
func (l *Limiter) bucketFor(account *catalog.Account, now time.Time) *bucket {
	burst := l.tolerance.burstWithTolerance(account)
	b := l.buckets[account.Name]
	if b == nil {
		b = &bucket{roundingThreshold: l.random.Float64()}
		l.buckets[account.Name] = b
	}
	if b.rate == 0 {
		b.rate, b.burst, b.filledAt = account.Rate, burst, now
		b.level = b.initialLevel(l.firstStart, now)
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

// deduct deducts the use of other instances. Debt beyond the burst is dropped,
// since it can only come from an instance that had no report of that debt.
func (b *bucket) deduct(amount float64, now time.Time) {
	b.fill(now)
	b.level = math.Max(-b.burst, math.Min(b.burst, b.level-amount))
}

// deductAssumedUse deducts an even share for each silent instance, and removes
// instances that have been silent for peerExpiry.
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
