package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// maxPrefixBlocks bounds the cached blocks tracked for each target.
	maxPrefixBlocks = 16384
	// maxLoadAge is the age from which a load report is ignored.
	maxLoadAge = 2 * time.Second
	// maxSpeedAge is the age from which the observed speed of an idle target is
	// ignored.
	maxSpeedAge = 5 * time.Second
	// tokensPerQueuedRequest is the assumed work of a request in a target's own
	// queue.
	tokensPerQueuedRequest = estimate.DefaultLength
)

// target is this entry's state of one target.
type target struct {
	info        atomic.Pointer[tables.Target]
	prefixIndex *routing.PrefixIndex
	speed       estimate.Speed
	load        atomic.Pointer[LoadReport]

	// The atomics below mirror state guarded by mu, so that candidates are read
	// without locks; start decides under mu.

	runningSlots, runningTokens atomic.Int64
	allowedSlots, allowedTokens atomic.Int64
	// outstandingTokens is the expected number of tokens yet to be computed.
	outstandingTokens  atomic.Int64
	lowestAdmittedTier atomic.Int32
	// reentryLimit bounds concurrent requests after an ejection; negative means
	// no bound.
	reentryLimit atomic.Int64
	// ejected is set while the target receives no requests because of an ejection
	// or the leaving backoff.
	ejected atomic.Bool
	// speedObservedAt is when the speed was last observed, in Unix nanoseconds; 0
	// means never.
	speedObservedAt atomic.Int64

	// mu guards the fields below.
	mu         sync.Mutex
	holder     *credit.Holder
	grants     map[*Grant]struct{}
	running    credit.PerTier
	cancelling credit.PerTier
	ejector    routing.Ejector
	// leavingUntil is when the backoff ends that began when the target refused a
	// request because it is leaving.
	leavingUntil time.Time
	// allowanceExpiry is when the allowance ends.
	allowanceExpiry time.Time
	overloads       uint32
	// lastReport is the last report sent to the coordinator, at lastReportAt.
	lastReport     credit.Report
	lastReportAt   time.Time
	decodeObserved bool
}

func newTarget(info *tables.Target, now time.Time) *target {
	t := &target{
		prefixIndex: routing.NewPrefixIndex(maxPrefixBlocks),
		holder:      credit.NewHolder(now), grants: make(map[*Grant]struct{}),
	}
	t.info.Store(info)
	t.reentryLimit.Store(-1)
	t.lowestAdmittedTier.Store(tables.TierCount - 1)
	return t
}

// configuredCapacity returns the target's capacity in the targets table.
func configuredCapacity(info *tables.Target) credit.Amount {
	tokens := credit.Unbounded
	if info.KVTokens > 0 {
		tokens = credit.Tokens(info.KVTokens)
	}
	return credit.Amount{Slots: credit.Slots(max(1, info.Slots)), Tokens: tokens}
}

// reservation returns what the request reserves on the target: one slot, and no more
// tokens than the target's configured capacity.
func (t *target) reservation(job *job) credit.Amount {
	return credit.Amount{Slots: 1, Tokens: min(job.reserveTokens, configuredCapacity(t.info.Load()).Tokens)}
}

// fit is whether a request fits on a target.
type fit uint8

const (
	// fits means that the request may start.
	fits fit = iota
	// lacksTokens means that the request fits but for KV tokens.
	lacksTokens
	// doesNotFit means that the request may not start for another reason.
	doesNotFit
)

// checkFit reports whether the request fits, without taking locks.
func (t *target) checkFit(job *job) fit {
	if t.ejected.Load() || int32(job.tier) > t.lowestAdmittedTier.Load() {
		return doesNotFit
	}
	running := t.runningSlots.Load()
	if running >= t.allowedSlots.Load() {
		return doesNotFit
	}
	if reentry := t.reentryLimit.Load(); reentry >= 0 && running >= reentry {
		return doesNotFit
	}
	if t.runningTokens.Load()+int64(t.reservation(job).Tokens) > t.allowedTokens.Load() {
		return lacksTokens
	}
	return fits
}

// start starts the request on the target if it still fits.
func (t *target) start(g *Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.leavingUntil) || !now.Before(t.allowanceExpiry) || t.checkFit(g.job) != fits {
		return false
	}
	g.reservedTokens = t.reservation(g.job).Tokens
	g.outstandingTokens = int64(g.job.cost)
	t.grants[g] = struct{}{}
	t.addRunning(g.job.tier, credit.Amount{Slots: 1, Tokens: g.reservedTokens})
	t.outstandingTokens.Add(g.outstandingTokens)
	return true
}

func (t *target) addRunning(tier tables.Tier, a credit.Amount) {
	t.running[tier] = t.running[tier].Plus(a)
	t.runningSlots.Add(int64(a.Slots))
	t.runningTokens.Add(int64(a.Tokens))
}

// release ends the request on the target. It returns false if it had ended before.
func (t *target) release(g *Grant) bool {
	if _, ok := t.grants[g]; !ok {
		return false
	}
	delete(t.grants, g)
	amount := credit.Amount{Slots: 1, Tokens: g.reservedTokens}
	t.running[g.job.tier] = t.running[g.job.tier].Minus(amount)
	t.runningSlots.Add(-1)
	t.runningTokens.Add(-int64(g.reservedTokens))
	t.outstandingTokens.Add(-g.outstandingTokens)
	if g.cancelled {
		t.cancelling[g.job.tier] = t.cancelling[g.job.tier].Minus(amount)
	}
	return true
}

// refreshAllowance updates the allowance from the holder.
func (t *target) refreshAllowance(now time.Time, rank, members int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := t.holder.Allowance(now, configuredCapacity(t.info.Load()), rank, members)
	t.allowedSlots.Store(int64(allowed.Slots))
	t.allowedTokens.Store(int64(allowed.Tokens))
	t.lowestAdmittedTier.Store(int32(t.holder.LowestAdmittedTier(now)))
	t.allowanceExpiry = t.holder.AllowanceExpiry(now)
}

// enforceMaxRunning cancels requests above the coordinator's limits.
func (t *target) enforceMaxRunning(now time.Time) (cancelled int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for tier := range tables.Tier(tables.TierCount) {
		maxRunning := t.holder.MaxRunning(now, tier)
		for maxRunning >= 0 && t.running[tier].Slots-t.cancelling[tier].Slots > maxRunning {
			if _, ok := t.cancelOne(tier); !ok {
				break
			}
			cancelled++
		}
	}
	return cancelled
}

// cancelLowest cancels, in the lowest running tier below the given one, the request
// whose cancellation wastes the least work.
func (t *target) cancelLowest(tier tables.Tier) (credit.Amount, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for lower := tables.Tier(tables.TierCount - 1); lower > tier; lower-- {
		if amount, ok := t.cancelOne(lower); ok {
			return amount, true
		}
	}
	return credit.Amount{}, false
}

// cancelOne cancels the request of the tier whose cancellation wastes the least
// work; of several, the latest.
func (t *target) cancelOne(tier tables.Tier) (credit.Amount, bool) {
	var victim *Grant
	for g := range t.grants {
		if g.cancelled || g.job.tier != tier {
			continue
		}
		if victim == nil || g.preemptionCost() < victim.preemptionCost() ||
			(g.preemptionCost() == victim.preemptionCost() && g.job.seq > victim.job.seq) {
			victim = g
		}
	}
	if victim == nil {
		return credit.Amount{}, false
	}
	victim.cancelled = true
	amount := credit.Amount{Slots: 1, Tokens: victim.reservedTokens}
	t.cancelling[tier] = t.cancelling[tier].Plus(amount)
	close(victim.preempted)
	return amount, true
}

// runningBelow returns how many of this entry's requests of lower tiers run on the
// target, optionally without those being cancelled.
func (t *target) runningBelow(tier tables.Tier, excludeCancelling bool) credit.Slots {
	var sum credit.Slots
	for lower := tier + 1; lower < tables.TierCount; lower++ {
		sum += t.running[lower].Slots
		if excludeCancelling {
			sum -= t.cancelling[lower].Slots
		}
	}
	return sum
}

// candidate describes the target for the routing policy.
func (t *target) candidate(job *job, now time.Time, speed *estimate.Speed) routing.Candidate {
	info := t.info.Load()
	c := routing.Candidate{
		FailureDomain:     info.FailureDomain,
		Slots:             max(1, info.Slots),
		Running:           int(t.runningSlots.Load()),
		OutstandingTokens: int(t.outstandingTokens.Load()) + t.reportedBacklog(now),
		PrefillTime:       speed.TimeToFirstToken(job.request.PromptTokens),
		TimePerToken:      speed.TimePerToken(),
	}
	if n := len(job.request.PrefixHashes); n > 0 {
		c.CachedShare = float64(t.prefixIndex.Match(job.request.PrefixHashes)) / float64(n)
	}
	return c
}

// markSpeedObserved records that the target's speed was observed now.
func (t *target) markSpeedObserved(now time.Time) { t.speedObservedAt.Store(now.UnixNano()) }

// speedKnown reports whether the observed speed is usable. It is while requests run
// on the target, since they keep it up to date.
func (t *target) speedKnown(now time.Time) bool {
	observedAt := t.speedObservedAt.Load()
	if observedAt == 0 {
		return false
	}
	return t.runningSlots.Load() > 0 || now.UnixNano()-observedAt < int64(maxSpeedAge)
}

// reportedBacklog returns the tokens queued at the target itself by its last load
// report, weighted down linearly with the report's age.
func (t *target) reportedBacklog(now time.Time) int {
	report := t.load.Load()
	if report == nil {
		return 0
	}
	age := max(0, now.Sub(report.MeasuredAt))
	if age >= maxLoadAge {
		return 0
	}
	weight := 1 - float64(age)/float64(maxLoadAge)
	return int(weight * float64(report.Queued*tokensPerQueuedRequest))
}
