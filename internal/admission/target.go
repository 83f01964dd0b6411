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
	// prefixBlocks bounds the cached blocks remembered for each target.
	prefixBlocks = 16384
	// loadAge is the age at which a load report says nothing any more.
	loadAge = 2 * time.Second
	// speedAge is the age at which the observed speed of an idle target is no
	// longer believed.
	speedAge = 5 * time.Second
	// queuedTokens is the work of a request in a target's own queue.
	queuedTokens = estimate.DefaultLength
)

// target is this entry's state of one target.
type target struct {
	info   atomic.Pointer[tables.Target]
	prefix *routing.PrefixIndex
	speed  estimate.Speed
	load   atomic.Pointer[LoadReport]

	// The atomics below mirror state under mu, for candidates to be read
	// without locks; start decides under mu.

	runningSlots, runningTokens atomic.Int64
	allowedSlots, allowedTokens atomic.Int64
	// outstanding is the expected number of tokens yet to be computed.
	outstanding atomic.Int64
	openTier    atomic.Int32
	// reentry bounds requests at once after an ejection; negative: no bound.
	reentry atomic.Int64
	ejected atomic.Bool
	// observedAt is when speed was last observed, in Unix nanoseconds; 0: never.
	observedAt atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	holder   *credit.Holder
	grants   map[*Grant]struct{}
	running  credit.PerTier
	stopping credit.PerTier
	ejector  routing.Ejector
	// shunned is until when the target takes nothing since it said it leaves.
	shunned time.Time
	// until ends the allowance.
	until     time.Time
	overloads uint32
	// reported and reportedAt are the last report sent to the coordinator.
	reported   credit.Report
	reportedAt time.Time
	decodeSeen bool
}

func newTarget(info *tables.Target, now time.Time) *target {
	t := &target{
		prefix: routing.NewPrefixIndex(prefixBlocks),
		holder: credit.NewHolder(now), grants: make(map[*Grant]struct{}),
	}
	t.info.Store(info)
	t.reentry.Store(-1)
	t.openTier.Store(tables.TierCount - 1)
	return t
}

// capacity returns the numbers of the table.
func capacity(info *tables.Target) credit.Amount {
	tokens := credit.Unbounded
	if info.KVTokens > 0 {
		tokens = credit.Tokens(info.KVTokens)
	}
	return credit.Amount{Slots: credit.Slots(max(1, info.Slots)), Tokens: tokens}
}

// size returns what the request takes of the target: never more than all.
func (t *target) size(ticket *ticket) credit.Amount {
	return credit.Amount{Slots: 1, Tokens: min(ticket.need, capacity(t.info.Load()).Tokens)}
}

// room tells how a request fits at a target.
type room uint8

const (
	// fits means that the request may start.
	fits room = iota
	// lacksTokens means that only KV tokens are missing.
	lacksTokens
	// full means that it may not start for another reason.
	full
)

// roomFor reads whether the request would fit, without locks.
func (t *target) roomFor(ticket *ticket) room {
	if t.ejected.Load() || int32(ticket.tier) > t.openTier.Load() {
		return full
	}
	running := t.runningSlots.Load()
	if running >= t.allowedSlots.Load() {
		return full
	}
	if reentry := t.reentry.Load(); reentry >= 0 && running >= reentry {
		return full
	}
	if t.runningTokens.Load()+int64(t.size(ticket).Tokens) > t.allowedTokens.Load() {
		return lacksTokens
	}
	return fits
}

// start runs the request on the target if it still fits.
func (t *target) start(g *Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.shunned) || !now.Before(t.until) || t.roomFor(g.ticket) != fits {
		return false
	}
	g.held = t.size(g.ticket).Tokens
	g.outstanding = int64(g.ticket.work)
	t.grants[g] = struct{}{}
	t.add(g.ticket.tier, credit.Amount{Slots: 1, Tokens: g.held})
	t.outstanding.Add(g.outstanding)
	return true
}

func (t *target) add(tier tables.Tier, a credit.Amount) {
	t.running[tier] = t.running[tier].Plus(a)
	t.runningSlots.Add(int64(a.Slots))
	t.runningTokens.Add(int64(a.Tokens))
}

// release ends the request on the target; it reports false when it had ended.
func (t *target) release(g *Grant) bool {
	if _, ok := t.grants[g]; !ok {
		return false
	}
	delete(t.grants, g)
	amount := credit.Amount{Slots: 1, Tokens: g.held}
	t.running[g.ticket.tier] = t.running[g.ticket.tier].Minus(amount)
	t.runningSlots.Add(-1)
	t.runningTokens.Add(-int64(g.held))
	t.outstanding.Add(-g.outstanding)
	if g.stopped {
		t.stopping[g.ticket.tier] = t.stopping[g.ticket.tier].Minus(amount)
	}
	return true
}

// setAllowance reads the holder's present allowance.
func (t *target) setAllowance(now time.Time, rank, members int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := t.holder.Allowed(now, capacity(t.info.Load()), rank, members)
	t.allowedSlots.Store(int64(allowed.Slots))
	t.allowedTokens.Store(int64(allowed.Tokens))
	t.openTier.Store(int32(t.holder.Open(now)))
	t.until = t.holder.Until(now)
}

// obeyKeep cancels requests beyond what the coordinator lets go on.
func (t *target) obeyKeep(now time.Time) (stopped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for tier := range tables.Tier(tables.TierCount) {
		keep := t.holder.Keep(now, tier)
		for keep >= 0 && t.running[tier].Slots-t.stopping[tier].Slots > keep {
			if _, ok := t.stopOne(tier); !ok {
				break
			}
			stopped++
		}
	}
	return stopped
}

// stopLowest cancels the request below the tier that loses least.
func (t *target) stopLowest(tier tables.Tier) (credit.Amount, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for lower := tables.Tier(tables.TierCount - 1); lower > tier; lower-- {
		if amount, ok := t.stopOne(lower); ok {
			return amount, true
		}
	}
	return credit.Amount{}, false
}

// stopOne cancels the request of the tier on which least work was spent.
func (t *target) stopOne(tier tables.Tier) (credit.Amount, bool) {
	var victim *Grant
	for g := range t.grants {
		if g.stopped || g.ticket.tier != tier {
			continue
		}
		if victim == nil || g.loss() < victim.loss() ||
			(g.loss() == victim.loss() && g.ticket.number > victim.ticket.number) {
			victim = g
		}
	}
	if victim == nil {
		return credit.Amount{}, false
	}
	victim.stopped = true
	amount := credit.Amount{Slots: 1, Tokens: victim.held}
	t.stopping[tier] = t.stopping[tier].Plus(amount)
	close(victim.preempted)
	return amount, true
}

// runsBelow returns how many own requests below the tier run here, without
// those being cancelled if live is set.
func (t *target) runsBelow(tier tables.Tier, live bool) credit.Slots {
	var sum credit.Slots
	for lower := tier + 1; lower < tables.TierCount; lower++ {
		sum += t.running[lower].Slots
		if live {
			sum -= t.stopping[lower].Slots
		}
	}
	return sum
}

// candidate describes the target to a policy.
func (t *target) candidate(ticket *ticket, now time.Time, speed *estimate.Speed) routing.Candidate {
	info := t.info.Load()
	c := routing.Candidate{
		FailureDomain:     info.FailureDomain,
		Slots:             max(1, info.Slots),
		Running:           int(t.runningSlots.Load()),
		OutstandingTokens: int(t.outstanding.Load()) + t.reportedBacklog(now),
		PrefillTime:       speed.TimeToFirstToken(ticket.request.PromptTokens),
		TimePerToken:      speed.TimePerToken(),
	}
	if n := len(ticket.request.Prefix); n > 0 {
		c.CachedShare = float64(t.prefix.Match(ticket.request.Prefix)) / float64(n)
	}
	return c
}

// observed notes that the speed was observed.
func (t *target) observed(now time.Time) { t.observedAt.Store(now.UnixNano()) }

// known reports whether the observed speed is to be believed. What runs there
// keeps it fresh.
func (t *target) known(now time.Time) bool {
	at := t.observedAt.Load()
	if at == 0 {
		return false
	}
	return t.runningSlots.Load() > 0 || now.UnixNano()-at < int64(speedAge)
}

// reportedBacklog returns the tokens queued at the target itself by its last
// report, which counts for less as it ages.
func (t *target) reportedBacklog(now time.Time) int {
	report := t.load.Load()
	if report == nil {
		return 0
	}
	age := max(0, now.Sub(report.At))
	if age >= loadAge {
		return 0
	}
	weight := 1 - float64(age)/float64(loadAge)
	return int(weight * float64(report.Queued*queuedTokens))
}
