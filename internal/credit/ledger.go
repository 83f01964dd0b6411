package credit

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// reportTimeout is the age of an entry's last report above which the entry is
// considered unreachable. By then its lease has expired.
const reportTimeout = LeaseDuration

// departedRetention is how long the requests of an entry that left the view count as
// running.
const departedRetention = 2 * LeaseDuration

// Ledger is the coordinator's side of the credits of one target. The caller must
// serialize calls.
type Ledger struct {
	capacity  Amount
	limiter   *Limiter
	startedAt time.Time
	entries   map[string]*entryState
	// priorRunning is how many requests of all entries ran by the previous
	// coordinator's last grant. orphanedSlots is the part that no entry reports.
	priorRunning   Slots
	orphanedSlots  Slots
	orphansCounted bool
}

// entryState is the coordinator's state of one entry.
type entryState struct {
	name        string
	incarnation uint64
	reportedAt  time.Time
	report      Report
	// grantSeq is the sequence number of the last grant. outstandingGrants are the
	// grants that the entry may still use, oldest first.
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

// NewLedger returns the ledger of a new coordinator without any reports.
func NewLedger(capacity Amount, now time.Time) *Ledger {
	return &Ledger{
		capacity: capacity, startedAt: now,
		limiter: NewLimiter(capacity.Slots, now),
		entries: make(map[string]*entryState),
	}
}

// SetCapacity updates the configured capacity.
func (l *Ledger) SetCapacity(capacity Amount) {
	l.capacity = capacity
	l.limiter.SetConfigured(capacity.Slots)
}

// Limit returns the estimated capacity of the target.
func (l *Ledger) Limit() Amount {
	return Amount{Slots: l.limiter.Limit(), Tokens: l.capacity.Tokens}
}

// ApplyReport stores an entry's report. It returns false for an outdated or repeated
// one.
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

// held returns the most that the entry may run, by its outstanding grants and reports.
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

// SetPriorRunning sets how many requests ran by the previous coordinator's last grant.
func (l *Ledger) SetPriorRunning(running Slots) { l.priorRunning = running }

// orphanReservation returns what is reserved for the requests of entries that failed
// with or just before the previous coordinator: the part of its last snapshot that no
// entry reports. Their targets end them when the connections break.
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

// dropDeparted drops entries that are not members and can no longer run anything.
func (l *Ledger) dropDeparted(members []string, now time.Time) {
	for name, e := range l.entries {
		if !slices.Contains(members, name) && now.Sub(e.reportedAt) > departedRetention {
			delete(l.entries, name)
		}
	}
}

// readyToGrant reports whether the coordinator knows enough to grant: all members have
// reported, or the leases of an earlier coordinator have expired.
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

// runningSnapshot returns the running requests by tier, the age of the oldest report
// counted, and whether all members have a report newer than MaxSnapshotAge.
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
