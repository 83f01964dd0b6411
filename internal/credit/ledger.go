package credit

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// reportTimeout is how long after its last report an entry counts as silent: its
// lease has run out then.
const reportTimeout = LeaseDuration

// departedRetention is how long what ran for an entry that left the view is counted.
const departedRetention = 2 * LeaseDuration

// Ledger is a coordinator's side of the credits of one target. It needs the caller's
// lock.
type Ledger struct {
	capacity  Amount
	limiter   *Limiter
	startedAt time.Time
	entries   map[string]*entryState
	// priorRunning is what ran for all entries by the previous coordinator's last
	// statement; departed is the part of it that no member reports.
	priorRunning   Slots
	orphanedSlots  Slots
	orphansCounted bool
}

// entryState is what the coordinator knows of one entryState.
type entryState struct {
	name        string
	incarnation uint64
	reportedAt  time.Time
	report      Report
	// grantSeq is the last grant's; outstanding are the grants that the entry may
	// still act on, oldest first.
	grantSeq          uint32
	outstandingGrants []outstandingGrant
	lastGrant         Grant
	lastGrantAt       time.Time
}

type outstandingGrant struct {
	seq     uint32
	amount  Amount
	expires time.Time
}

// NewLedger returns the ledger of a coordinator that knows nothing yet.
func NewLedger(capacity Amount, now time.Time) *Ledger {
	return &Ledger{
		capacity: capacity, startedAt: now,
		limiter: NewLimiter(capacity.Slots, now),
		entries: make(map[string]*entryState),
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
		e = &entryState{name: from, incarnation: incarnation}
		l.entries[from] = e
		l.limiter.InheritLimit(r.KnownLimit)
		e.report.Overloads = r.Overloads
	}
	if incarnation < e.incarnation || r.Seq <= e.report.Seq {
		return false
	}
	newOverloads := r.Overloads - e.report.Overloads
	e.report = r
	e.reportedAt = now
	e.acknowledge(r.Ack, now)
	if newOverloads > 0 {
		l.limiter.RecordOverload(now, l.running().Slots)
	}
	l.limiter.RecordTimePerToken(now, r.TimePerToken)
	return true
}

func (e *entryState) acknowledge(seq uint32, now time.Time) {
	e.outstandingGrants = slices.DeleteFunc(e.outstandingGrants, func(o outstandingGrant) bool {
		return o.seq < seq || now.After(o.expires)
	})
}

// held is the most that the entry may run by what it was granted or reported.
func (e *entryState) held(now, startedAt time.Time) Amount {
	held := e.report.Running.Total()
	for _, o := range e.outstandingGrants {
		if !now.After(o.expires) {
			held = held.Max(o.amount)
		}
	}
	if now.Before(startedAt.Add(LeaseDuration)) {
		held = held.Max(e.report.LeasedAmount)
	}
	return held
}

// SetPriorRunning tells how many requests ran by the last statement of the coordinator before.
func (l *Ledger) SetPriorRunning(running Slots) { l.priorRunning = running }

// orphanReservation returns what is kept for requests of entries that died with or just
// before the previous coordinator: the part of its last statement that nobody
// reports. Their targets end them by themselves when connections break.
func (l *Ledger) orphanReservation(now time.Time) Amount {
	if !l.orphansCounted {
		l.orphansCounted = true
		l.orphanedSlots = max(0, l.priorRunning-l.running().Slots)
	}
	if now.Sub(l.startedAt) > departedRetention || l.orphanedSlots == 0 {
		return Amount{}
	}
	tokensPerSlot := l.capacity.Tokens / Tokens(max(1, l.capacity.Slots))
	return Amount{Slots: l.orphanedSlots, Tokens: tokensPerSlot * Tokens(l.orphanedSlots)}
}

func (e *entryState) timedOut(now time.Time) bool { return now.Sub(e.reportedAt) > reportTimeout }

func (l *Ledger) running() Amount {
	var sum Amount
	for _, e := range l.entries {
		sum = sum.Plus(e.report.Running.Total())
	}
	return sum
}

// dropDeparted drops entries that are neither members nor may still run anything.
func (l *Ledger) dropDeparted(members []string, now time.Time) {
	for name, e := range l.entries {
		if !slices.Contains(members, name) && now.Sub(e.reportedAt) > departedRetention {
			delete(l.entries, name)
		}
	}
}

// readyToGrant reports whether the coordinator knows enough to grant: it has heard from all
// members, or leases of an earlier coordinator have run out.
func (l *Ledger) readyToGrant(members []string, now time.Time) bool {
	if !now.Before(l.startedAt.Add(LeaseDuration)) {
		return true
	}
	for _, name := range members {
		if l.entries[name] == nil {
			return false
		}
	}
	return true
}

// runningSnapshot returns what runs by tier, the age of the oldest report it rests
// on, and whether it rests on reports of all members.
func (l *Ledger) runningSnapshot(members []string, now time.Time) (running [tables.TierCount]Slots, age time.Duration, complete bool) {
	complete = true
	for _, name := range members {
		if e := l.entries[name]; e == nil || now.Sub(e.reportedAt) > MaxSnapshotAge {
			complete = false
		}
	}
	for _, e := range l.entries {
		for tier := range running {
			running[tier] += e.report.Running[tier].Slots
		}
		age = max(age, now.Sub(e.reportedAt))
	}
	return running, age, complete
}
