package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// resendInterval is the least age at which an unchanged grant is sent again.
const resendInterval = LeaseDuration / 4

// AddressedGrant is a grant with the entry that receives it.
type AddressedGrant struct {
	To    string
	Grant Grant
}

// plan is the working state of one allocation of a target's capacity.
type plan struct {
	ledger  *Ledger
	now     time.Time
	members []string
	limit   Amount
	// reserved is kept for entries that cannot receive a grant: those whose reports
	// timed out and those that left.
	reserved   Amount
	entries    []*entryState
	planned    []Amount
	held       []Amount
	unassigned Amount
	// unmetDemand and unmetUrgent are the demand for which no capacity was left, by tier.
	unmetDemand PerTier
	unmetUrgent PerTier
	maxRunning  [][tables.TierCount]Slots
}

// Allocate divides the target's capacity among the entries with current reports and
// returns the grants to send now. Members are the live ones, by their rank for the
// target.
//
// The sum of what entries may use never exceeds the limit: a grant is raised only by
// what is neither held by others under unexpired grants nor reserved for the static
// shares of entries whose reports timed out. Demand is met by tier, highest first,
// and evenly within a tier. Capacity without demand is divided as spare credits, so
// that an idle entry can start a request immediately.
func (l *Ledger) Allocate(now time.Time, members []string) []AddressedGrant {
	l.dropDeparted(members, now)
	l.limiter.Tick(now, l.running().Slots)
	if !l.readyToGrant(members, now) {
		return nil
	}
	p := &plan{ledger: l, now: now, members: members, limit: l.Limit()}
	p.collectEntries()
	p.planRunning()
	p.planDemand()
	p.planSpare()
	p.planCancellations()
	return p.buildGrants()
}

func (p *plan) collectEntries() {
	p.reserve(p.ledger.orphanReservation(p.now))
	for rank, name := range p.members {
		e := p.ledger.entries[name]
		if e != nil && !e.timedOut(p.now) {
			p.entries = append(p.entries, e)
			continue
		}
		share := StaticShare(p.limit, rank, len(p.members))
		if e != nil {
			share = share.Max(e.held(p.now, p.ledger.startedAt))
		}
		p.reserve(share)
	}
	for name, e := range p.ledger.entries {
		if !slices.Contains(p.members, name) {
			p.reserve(e.held(p.now, p.ledger.startedAt))
		}
	}
	p.planned = make([]Amount, len(p.entries))
	p.held = make([]Amount, len(p.entries))
	p.maxRunning = make([][tables.TierCount]Slots, len(p.entries))
	for i, e := range p.entries {
		p.held[i] = e.held(p.now, p.ledger.startedAt)
		p.maxRunning[i] = [tables.TierCount]Slots{-1, -1, -1, -1}
	}
}

func (p *plan) reserve(a Amount) { p.reserved = p.reserved.Plus(a) }

// planRunning plans for each entry what it runs. If the limit has fallen below that,
// the entries with the most slots are planned less, so that requests that end there
// are not replaced.
func (p *plan) planRunning() {
	var sum Amount
	for i, e := range p.entries {
		p.planned[i] = e.report.Running.Total()
		sum = sum.Plus(p.planned[i])
	}
	available := p.limit.Minus(p.reserved)
	p.unassigned = available.Minus(sum)
	for excess := sum.Slots - available.Slots; excess > 0; excess-- {
		p.largestPlanned().Slots--
	}
	if p.tokensUnbounded() || sum.Tokens <= available.Tokens {
		return
	}
	for i := range p.planned {
		p.planned[i].Tokens = p.planned[i].Tokens * available.Tokens / sum.Tokens
	}
}

func (p *plan) tokensUnbounded() bool { return p.limit.Tokens >= Unbounded }

func (p *plan) largestPlanned() *Amount {
	best := &p.planned[0]
	for i := range p.planned {
		if p.planned[i].Slots > best.Slots {
			best = &p.planned[i]
		}
	}
	return best
}

func (p *plan) planDemand() {
	for tier := range tables.TierCount {
		p.planTierDemand(tier)
	}
}

// planTierDemand assigns one slot at a time to the entries in turn, with the mean
// number of tokens of the entry's demand in the tier.
func (p *plan) planTierDemand(tier int) {
	remaining := make([]Slots, len(p.entries))
	for i, e := range p.entries {
		remaining[i] = e.report.Demand[tier].Slots
	}
	for progress := true; progress; {
		progress = false
		for i, e := range p.entries {
			if remaining[i] == 0 {
				continue
			}
			request := meanRequest(e.report.Demand[tier])
			if !p.assign(i, request) {
				continue
			}
			remaining[i]--
			progress = true
		}
	}
	for i, e := range p.entries {
		request := meanRequest(e.report.Demand[tier])
		p.unmetDemand[tier] = p.unmetDemand[tier].Plus(Amount{remaining[i], request.Tokens * Tokens(remaining[i])})
		urgent := e.report.UrgentDemand[tier]
		missing := min(urgent.Slots, remaining[i])
		p.unmetUrgent[tier] = p.unmetUrgent[tier].Plus(Amount{missing, meanRequest(urgent).Tokens * Tokens(missing)})
	}
}

// meanRequest returns the mean size of one request in a.
func meanRequest(a Amount) Amount {
	if a.Slots == 0 {
		return Amount{}
	}
	return Amount{Slots: 1, Tokens: a.Tokens / Tokens(a.Slots)}
}

func (p *plan) assign(i int, request Amount) bool {
	if !p.unassigned.Covers(request) && !(p.tokensUnbounded() && p.unassigned.Slots >= 1) {
		return false
	}
	p.unassigned = p.unassigned.Minus(request)
	p.planned[i] = p.planned[i].Plus(request)
	return true
}

// planSpare divides the unassigned capacity evenly. It assigns nothing while a request
// waits for more capacity than is left.
func (p *plan) planSpare() {
	if p.unmetDemand.Total().Slots > 0 || len(p.entries) == 0 {
		return
	}
	n := Slots(len(p.entries))
	slots, remainder := p.unassigned.Slots/n, p.unassigned.Slots%n
	tokens := p.unassigned.Tokens / Tokens(n)
	for i := range p.entries {
		extra := Amount{Slots: slots, Tokens: tokens}
		if Slots(i) < remainder {
			extra.Slots++
		}
		p.planned[i] = p.planned[i].Plus(extra)
	}
}

// lowestAdmittedTier returns the lowest tier that may be started: the highest tier
// with unmet demand, or the lowest tier if there is none.
func (p *plan) lowestAdmittedTier() tables.Tier {
	for tier := range tables.Tier(tables.TierCount) {
		if p.unmetDemand[tier].Slots > 0 {
			return tier
		}
	}
	return tables.TierCount - 1
}

// planCancellations lowers maxRunning of the lowest tiers until the urgent demand of
// higher tiers is covered. Capacity that is already being released counts first.
func (p *plan) planCancellations() {
	var beingReleased Amount
	for i, e := range p.entries {
		beingReleased = beingReleased.Plus(e.report.Cancelling)
		beingReleased = beingReleased.Plus(p.held[i].Minus(p.planned[i].Max(e.report.Running.Total())))
	}
	for tier := range tables.TierCount {
		need := p.unmetUrgent[tier]
		covered := need.Min(beingReleased)
		beingReleased = beingReleased.Minus(covered)
		p.cancelBelow(tier, need.Minus(covered))
	}
}

func (p *plan) cancelBelow(tier int, need Amount) {
	for lower := tables.TierCount - 1; lower > tier; lower-- {
		for need.Slots > 0 || (need.Tokens > 0 && !p.tokensUnbounded()) {
			i := p.mostRunning(lower)
			if i < 0 {
				break
			}
			p.maxRunning[i][lower] = p.remainingRunning(i, lower) - 1
			need = need.Minus(meanRequest(p.entries[i].report.Running[lower]))
		}
	}
}

func (p *plan) remainingRunning(i, tier int) Slots {
	if p.maxRunning[i][tier] >= 0 {
		return p.maxRunning[i][tier]
	}
	return p.entries[i].report.Running[tier].Slots
}

// mostRunning returns the index of the entry that keeps the most requests of the
// tier, or -1.
func (p *plan) mostRunning(tier int) int {
	best := -1
	for i := range p.entries {
		if p.remainingRunning(i, tier) > 0 && (best < 0 || p.remainingRunning(i, tier) > p.remainingRunning(best, tier)) {
			best = i
		}
	}
	return best
}

// buildGrants limits the planned amounts to what is safe to grant now. Decreased
// grants go first, since they free nothing until they are acknowledged.
func (p *plan) buildGrants() []AddressedGrant {
	order := make([]int, len(p.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.planned[a].Slots-p.held[a].Slots, p.planned[b].Slots-p.held[b].Slots)
	})
	running, oldestAge, coversAll := p.ledger.runningSnapshot(p.members, p.now)
	lowestTier := p.lowestAdmittedTier()
	var all []AddressedGrant
	for _, i := range order {
		amount := p.planned[i].Min(p.availableTo(i))
		if p.tokensUnbounded() {
			amount.Tokens = Unbounded
		}
		g := Grant{
			Amount: amount, Limit: p.limit, LowestAdmittedTier: lowestTier, MaxRunning: p.maxRunning[i],
			TotalRunning: running, OldestReportAge: oldestAge, CoversAllMembers: coversAll,
		}
		if sent, ok := p.entries[i].nextGrant(p.now, g); ok {
			all = append(all, AddressedGrant{p.entries[i].name, sent})
			p.held[i] = p.held[i].Max(amount)
		}
	}
	return all
}

// availableTo returns what the entry may have in addition to what others hold.
func (p *plan) availableTo(i int) Amount {
	left := p.limit.Minus(p.reserved)
	for other := range p.entries {
		if other != i {
			left = left.Minus(p.held[other])
		}
	}
	return left
}

// nextGrant numbers the grant and records it as outstanding. It returns false if the
// grant is unchanged and need not be sent again.
func (e *entryState) nextGrant(now time.Time, g Grant) (Grant, bool) {
	unchanged := e.lastGrant
	unchanged.Seq, unchanged.ReportSeq, unchanged.OldestReportAge = 0, 0, g.OldestReportAge
	if e.grantSeq > 0 && unchanged == g && (now.Sub(e.lastGrantAt) < resendInterval || e.lastGrant.ReportSeq == e.report.Seq) {
		return g, false
	}
	e.grantSeq++
	g.Seq, g.ReportSeq = e.grantSeq, e.report.Seq
	g.Target = e.report.Target
	e.lastGrant, e.lastGrantAt = g, now
	e.lastGrant.Target = ""
	e.outstandingGrants = append(e.outstandingGrants, outstandingGrant{g.Seq, g.Amount, now.Add(LeaseDuration)})
	return g, true
}
