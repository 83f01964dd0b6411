package credit

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// silentAfter is how long after its last report an entry counts as silent: its
// lease has run out then.
const silentAfter = LeaseDuration

// forgetAfter is how long what ran for an entry that left the view is counted.
const forgetAfter = 2 * LeaseDuration

// Ledger is a coordinator's side of the credits of one target. It needs the caller's
// lock.
type Ledger struct {
	capacity Amount
	limiter  *Limiter
	since    time.Time
	entries  map[string]*entry
	// stated is what ran for all entries by the previous coordinator's last
	// statement; departed is the part of it that no member reports.
	stated   Slots
	departed Slots
	counted  bool
}

// entry is what the coordinator knows of one entry.
type entry struct {
	name        string
	incarnation uint64
	heard       time.Time
	report      Report
	// seq is the last grant's; outstanding are the grants that the entry may
	// still act on, oldest first.
	seq         uint32
	outstanding []outstanding
	last        Grant
	lastSent    time.Time
}

type outstanding struct {
	seq     uint32
	amount  Amount
	expires time.Time
}

// NewLedger returns the ledger of a coordinator that knows nothing yet.
func NewLedger(capacity Amount, now time.Time) *Ledger {
	return &Ledger{
		capacity: capacity, since: now,
		limiter: NewLimiter(capacity.Slots, now),
		entries: make(map[string]*entry),
	}
}

// SetCapacity takes changed numbers from the table.
func (l *Ledger) SetCapacity(capacity Amount) {
	l.capacity = capacity
	l.limiter.SetConfigured(capacity.Slots)
}

// Limit returns what the target is believed to take.
func (l *Ledger) Limit() Amount {
	return Amount{Slots: l.limiter.Limit(), Tokens: l.capacity.Tokens}
}

// ApplyReport takes an entry's report; it reports false for an old or repeated one.
func (l *Ledger) ApplyReport(from string, incarnation uint64, r Report, now time.Time) bool {
	e := l.entries[from]
	if e == nil || incarnation > e.incarnation {
		e = &entry{name: from, incarnation: incarnation}
		l.entries[from] = e
		l.limiter.InheritLimit(r.KnownLimit)
		e.report.Overloads = r.Overloads
	}
	if incarnation < e.incarnation || r.Seq <= e.report.Seq {
		return false
	}
	overloads := r.Overloads - e.report.Overloads
	e.report = r
	e.heard = now
	e.acknowledge(r.Ack, now)
	if overloads > 0 {
		l.limiter.RecordOverload(now, l.running().Slots)
	}
	l.limiter.RecordTimePerToken(now, r.TimePerToken)
	return true
}

func (e *entry) acknowledge(seq uint32, now time.Time) {
	e.outstanding = slices.DeleteFunc(e.outstanding, func(o outstanding) bool {
		return o.seq < seq || now.After(o.expires)
	})
}

// hold is the most that the entry may run by what it was granted or reported.
func (e *entry) hold(now, since time.Time) Amount {
	held := e.report.Running.Total()
	for _, o := range e.outstanding {
		if !now.After(o.expires) {
			held = held.Max(o.amount)
		}
	}
	if now.Before(since.Add(LeaseDuration)) {
		held = held.Max(e.report.LeasedAmount)
	}
	return held
}

// SetPriorRunning tells how many requests ran by the last statement of the coordinator before.
func (l *Ledger) SetPriorRunning(running Slots) { l.stated = running }

// orphans returns what is kept for requests of entries that died with or just
// before the previous coordinator: the part of its last statement that nobody
// reports. Their targets end them by themselves when connections break.
func (l *Ledger) orphans(now time.Time) Amount {
	if !l.counted {
		l.counted = true
		l.departed = max(0, l.stated-l.running().Slots)
	}
	if now.Sub(l.since) > forgetAfter || l.departed == 0 {
		return Amount{}
	}
	one := l.capacity.Tokens / Tokens(max(1, l.capacity.Slots))
	return Amount{Slots: l.departed, Tokens: one * Tokens(l.departed)}
}

func (e *entry) silent(now time.Time) bool { return now.Sub(e.heard) > silentAfter }

func (l *Ledger) running() Amount {
	var sum Amount
	for _, e := range l.entries {
		sum = sum.Plus(e.report.Running.Total())
	}
	return sum
}

// forget drops entries that are neither members nor may still run anything.
func (l *Ledger) forget(members []string, now time.Time) {
	for name, e := range l.entries {
		if !slices.Contains(members, name) && now.Sub(e.heard) > forgetAfter {
			delete(l.entries, name)
		}
	}
}

// ready reports whether the coordinator knows enough to grant: it has heard from all
// members, or leases of an earlier coordinator have run out.
func (l *Ledger) ready(members []string, now time.Time) bool {
	if !now.Before(l.since.Add(LeaseDuration)) {
		return true
	}
	for _, name := range members {
		if l.entries[name] == nil {
			return false
		}
	}
	return true
}

// statement returns what runs by tier, the age of the oldest report it rests
// on, and whether it rests on reports of all members.
func (l *Ledger) statement(members []string, now time.Time) (running [tables.TierCount]Slots, age time.Duration, complete bool) {
	complete = true
	for _, name := range members {
		if e := l.entries[name]; e == nil || now.Sub(e.heard) > MaxSnapshotAge {
			complete = false
		}
	}
	for _, e := range l.entries {
		for tier := range running {
			running[tier] += e.report.Running[tier].Slots
		}
		age = max(age, now.Sub(e.heard))
	}
	return running, age, complete
}
