package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// repeatAfter is how long an unchanged grant stands before it is sent again.
const repeatAfter = LeaseDuration / 4

// AddressedGrant is a grant with the entry that it goes to.
type AddressedGrant struct {
	To    string
	Grant Grant
}

// plan is one allocation of a target's capacity in the making.
type plan struct {
	ledger  *Ledger
	now     time.Time
	members []string
	limit   Amount
	// reserved is kept for entries that cannot be granted to: silent ones and
	// those that left.
	reserved Amount
	entries  []*entry
	want     []Amount
	hold     []Amount
	room     Amount
	// unmet and urgent are what no room was left for, by tier.
	unmet  PerTier
	urgent PerTier
	keep   [][tables.TierCount]Slots
}

// Allocate divides the target's capacity among the entries that report and
// returns the grants to be sent now. Members are the live ones, by rank for
// the target.
//
// The sum of what entries may use never rises above the limit: a grant is
// raised only by what is neither held by others under unexpired grants nor
// reserved for the static shares of silent entries. Demand is met by tier,
// highest first, and within a tier evenly; what nobody asks for is spread as
// spare credits, so that an idle entry can start at once.
func (l *Ledger) Allocate(now time.Time, members []string) []AddressedGrant {
	l.forget(members, now)
	l.limiter.Tick(now, l.running().Slots)
	if !l.ready(members, now) {
		return nil
	}
	p := &plan{ledger: l, now: now, members: members, limit: l.Limit()}
	p.collect()
	p.keepRunning()
	p.meetDemand()
	p.spreadSpare()
	p.chooseVictims()
	return p.grants()
}

func (p *plan) collect() {
	p.reserve(p.ledger.orphans(p.now))
	for rank, name := range p.members {
		e := p.ledger.entries[name]
		if e != nil && !e.silent(p.now) {
			p.entries = append(p.entries, e)
			continue
		}
		share := StaticShare(p.limit, rank, len(p.members))
		if e != nil {
			share = share.Max(e.hold(p.now, p.ledger.since))
		}
		p.reserve(share)
	}
	for name, e := range p.ledger.entries {
		if !slices.Contains(p.members, name) {
			p.reserve(e.hold(p.now, p.ledger.since))
		}
	}
	p.want = make([]Amount, len(p.entries))
	p.hold = make([]Amount, len(p.entries))
	p.keep = make([][tables.TierCount]Slots, len(p.entries))
	for i, e := range p.entries {
		p.hold[i] = e.hold(p.now, p.ledger.since)
		p.keep[i] = [tables.TierCount]Slots{-1, -1, -1, -1}
	}
}

func (p *plan) reserve(a Amount) { p.reserved = p.reserved.Plus(a) }

// keepRunning gives each entry what it runs. When the limit has fallen below
// that, the largest are given less, so that ended requests are not replaced.
func (p *plan) keepRunning() {
	var sum Amount
	for i, e := range p.entries {
		p.want[i] = e.report.Running.Total()
		sum = sum.Plus(p.want[i])
	}
	available := p.limit.Minus(p.reserved)
	p.room = available.Minus(sum)
	for over := sum.Slots - available.Slots; over > 0; over-- {
		p.largest().Slots--
	}
	if p.boundless() || sum.Tokens <= available.Tokens {
		return
	}
	for i := range p.want {
		p.want[i].Tokens = p.want[i].Tokens * available.Tokens / sum.Tokens
	}
}

func (p *plan) boundless() bool { return p.limit.Tokens >= Unbounded }

func (p *plan) largest() *Amount {
	best := &p.want[0]
	for i := range p.want {
		if p.want[i].Slots > best.Slots {
			best = &p.want[i]
		}
	}
	return best
}

func (p *plan) meetDemand() {
	for tier := range tables.TierCount {
		p.meetTier(tier)
	}
}

// meetTier hands out one slot at a time, in turn, with the mean number of
// tokens that the entry's waiting requests need.
func (p *plan) meetTier(tier int) {
	left := make([]Slots, len(p.entries))
	for i, e := range p.entries {
		left[i] = e.report.Demand[tier].Slots
	}
	for progress := true; progress; {
		progress = false
		for i, e := range p.entries {
			if left[i] == 0 {
				continue
			}
			one := mean(e.report.Demand[tier])
			if !p.take(i, one) {
				continue
			}
			left[i]--
			progress = true
		}
	}
	for i, e := range p.entries {
		one := mean(e.report.Demand[tier])
		p.unmet[tier] = p.unmet[tier].Plus(Amount{left[i], one.Tokens * Tokens(left[i])})
		urgent := e.report.UrgentDemand[tier]
		missing := min(urgent.Slots, left[i])
		p.urgent[tier] = p.urgent[tier].Plus(Amount{missing, mean(urgent).Tokens * Tokens(missing)})
	}
}

// mean returns the size of one request.
func mean(a Amount) Amount {
	if a.Slots == 0 {
		return Amount{}
	}
	return Amount{Slots: 1, Tokens: a.Tokens / Tokens(a.Slots)}
}

func (p *plan) take(i int, one Amount) bool {
	if !p.room.Covers(one) && !(p.boundless() && p.room.Slots >= 1) {
		return false
	}
	p.room = p.room.Minus(one)
	p.want[i] = p.want[i].Plus(one)
	return true
}

// spreadSpare divides what is left evenly. Nothing is spread while a request
// waits for more than is left.
func (p *plan) spreadSpare() {
	if p.unmet.Total().Slots > 0 || len(p.entries) == 0 {
		return
	}
	n := Slots(len(p.entries))
	slots, rest := p.room.Slots/n, p.room.Slots%n
	tokens := p.room.Tokens / Tokens(n)
	for i := range p.entries {
		extra := Amount{Slots: slots, Tokens: tokens}
		if Slots(i) < rest {
			extra.Slots++
		}
		p.want[i] = p.want[i].Plus(extra)
	}
}

// open returns the lowest tier that may be started: the highest that still
// waits for room.
func (p *plan) open() tables.Tier {
	for tier := range tables.Tier(tables.TierCount) {
		if p.unmet[tier].Slots > 0 {
			return tier
		}
	}
	return tables.TierCount - 1
}

// chooseVictims lowers keep for the lowest tiers until urgent demand of higher
// ones has room. What is already being given back counts first.
func (p *plan) chooseVictims() {
	var returning Amount
	for i, e := range p.entries {
		returning = returning.Plus(e.report.Cancelling)
		returning = returning.Plus(p.hold[i].Minus(p.want[i].Max(e.report.Running.Total())))
	}
	for tier := range tables.TierCount {
		need := p.urgent[tier]
		gained := need.Min(returning)
		returning = returning.Minus(gained)
		p.stopBelow(tier, need.Minus(gained))
	}
}

func (p *plan) stopBelow(tier int, need Amount) {
	for lower := tables.TierCount - 1; lower > tier; lower-- {
		for need.Slots > 0 || (need.Tokens > 0 && !p.boundless()) {
			i := p.mostRunning(lower)
			if i < 0 {
				break
			}
			p.keep[i][lower] = p.kept(i, lower) - 1
			need = need.Minus(mean(p.entries[i].report.Running[lower]))
		}
	}
}

func (p *plan) kept(i, tier int) Slots {
	if p.keep[i][tier] >= 0 {
		return p.keep[i][tier]
	}
	return p.entries[i].report.Running[tier].Slots
}

// mostRunning returns the entry that keeps most requests of the tier, or -1.
func (p *plan) mostRunning(tier int) int {
	best := -1
	for i := range p.entries {
		if p.kept(i, tier) > 0 && (best < 0 || p.kept(i, tier) > p.kept(best, tier)) {
			best = i
		}
	}
	return best
}

// grants decides what is safe to give now. Lowered grants go first, since they
// free nothing before they are acknowledged.
func (p *plan) grants() []AddressedGrant {
	order := make([]int, len(p.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.want[a].Slots-p.hold[a].Slots, p.want[b].Slots-p.hold[b].Slots)
	})
	running, age, complete := p.ledger.statement(p.members, p.now)
	open := p.open()
	var all []AddressedGrant
	for _, i := range order {
		amount := p.want[i].Min(p.available(i))
		if p.boundless() {
			amount.Tokens = Unbounded
		}
		g := Grant{
			Amount: amount, Limit: p.limit, LowestAdmittedTier: open, MaxRunning: p.keep[i],
			TotalRunning: running, OldestReportAge: age, CoversAllMembers: complete,
		}
		if sent, ok := p.entries[i].send(p.now, g); ok {
			all = append(all, AddressedGrant{p.entries[i].name, sent})
			p.hold[i] = p.hold[i].Max(amount)
		}
	}
	return all
}

// available returns what the entry may have beside what others hold.
func (p *plan) available(i int) Amount {
	left := p.limit.Minus(p.reserved)
	for other := range p.entries {
		if other != i {
			left = left.Minus(p.hold[other])
		}
	}
	return left
}

// send numbers the grant and notes it, unless it changes nothing.
func (e *entry) send(now time.Time, g Grant) (Grant, bool) {
	same := e.last
	same.Seq, same.ReportSeq, same.OldestReportAge = 0, 0, g.OldestReportAge
	if e.seq > 0 && same == g && (now.Sub(e.lastSent) < repeatAfter || e.last.ReportSeq == e.report.Seq) {
		return g, false
	}
	e.seq++
	g.Seq, g.ReportSeq = e.seq, e.report.Seq
	g.Target = e.report.Target
	e.last, e.lastSent = g, now
	e.last.Target = ""
	e.outstanding = append(e.outstanding, outstanding{g.Seq, g.Amount, now.Add(LeaseDuration)})
	return g, true
}
