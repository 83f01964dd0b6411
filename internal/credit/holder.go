package credit

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// reportWindow is how many reports may be on the way at once.
const reportWindow = 64

// MaxSnapshotAge is how old a coordinator's statement on what runs may be when it is used
// to justify shedding.
const MaxSnapshotAge = time.Second

// Holder is an entry's side of the credits at one target. It needs the
// caller's lock.
type Holder struct {
	coordinator string
	incarnation uint64
	// coordinatorSince is when the present coordinator became coordinator, or the holder was made.
	coordinatorSince time.Time
	reportSeq        uint32
	reportSentAt     [reportWindow]time.Time

	grant       Grant
	everGranted bool
	// decreased is set when grant is smaller than the one before.
	decreased bool
	// leaseExpiry ends the lease of grant; it stays after a change of coordinators.
	leaseExpiry time.Time
	// snapshotAt is the earliest time that the statement of grant speaks for.
	snapshotAt time.Time
	lastLimit  Slots
}

// NewHolder returns a holder without a lease.
func NewHolder(now time.Time) *Holder { return &Holder{coordinatorSince: now, leaseExpiry: now} }

// SetCoordinator tells which member is the target's coordinator now; it reports a change.
func (h *Holder) SetCoordinator(name string, incarnation uint64, now time.Time) bool {
	if h.coordinator == name && h.incarnation == incarnation {
		return false
	}
	h.coordinator, h.incarnation = name, incarnation
	h.coordinatorSince = now
	h.reportSentAt = [reportWindow]time.Time{}
	h.grant.Seq = 0
	h.grant.CoversAllMembers = false
	return true
}

// HasGrant reports whether the present coordinator has granted anything.
func (h *Holder) HasGrant() bool { return h.grant.Seq > 0 }

// LastTotalRunning returns how many requests ran for all entries by the last statement
// of a coordinator, 0 when that is too old to matter.
func (h *Holder) LastTotalRunning(now time.Time) Slots {
	if now.Sub(h.snapshotAt) > departedRetention {
		return 0
	}
	var sum Slots
	for _, n := range h.grant.TotalRunning {
		sum += n
	}
	return sum
}

// PrepareReport gives a report its sequence number and the holder's part.
func (h *Holder) PrepareReport(r *Report, now time.Time) {
	h.reportSeq++
	h.reportSentAt[h.reportSeq%reportWindow] = now
	r.Seq = h.reportSeq
	r.Ack = h.grant.Seq
	r.KnownLimit = h.lastLimit
	if h.everGranted && now.Before(h.leaseExpiry) {
		r.LeasedAmount = h.grant.Amount
	}
}

// ApplyGrant takes a grant; it reports false for one that is old, repeated or from
// another than the present coordinator.
func (h *Holder) ApplyGrant(from string, incarnation uint64, g Grant) bool {
	if from != h.coordinator || incarnation != h.incarnation || g.Seq <= h.grant.Seq {
		return false
	}
	if g.ReportSeq > h.reportSeq || h.reportSeq-g.ReportSeq >= reportWindow {
		return false
	}
	sentAt := h.reportSentAt[g.ReportSeq%reportWindow]
	if sentAt.IsZero() {
		return false
	}
	h.decreased = !g.Amount.Covers(h.grant.Amount) || (h.decreased && g.Seq > h.grant.Seq+1)
	h.grant = g
	h.everGranted = true
	h.leaseExpiry = sentAt.Add(LeaseDuration)
	h.snapshotAt = sentAt.Add(-g.OldestReportAge)
	h.lastLimit = g.Limit.Slots
	return true
}

// UnacknowledgedDecrease reports whether a grant newer than ack takes something back,
// which the coordinator cannot give to others before it is acknowledged.
func (h *Holder) UnacknowledgedDecrease(ack uint32) bool { return h.decreased && h.grant.Seq > ack }

// LeaseValid reports whether a lease is valid.
func (h *Holder) LeaseValid(now time.Time) bool { return h.everGranted && now.Before(h.leaseExpiry) }

// UsesStaticShare reports whether the static share is to be used.
func (h *Holder) UsesStaticShare(now time.Time) bool {
	start := h.leaseExpiry
	if h.coordinatorSince.After(start) && !h.everGranted {
		start = h.coordinatorSince
	}
	return !now.Before(start.Add(StaticShareDelay))
}

// AllowanceExpiry returns when the present allowance ends or may grow by itself.
func (h *Holder) AllowanceExpiry(now time.Time) time.Time {
	if h.LeaseValid(now) {
		return h.leaseExpiry
	}
	return now.Add(LeaseDuration)
}

// Allowance returns what the entry may run at the target now. Capacity is the
// table's; rank and members place the entry among the live ones.
func (h *Holder) Allowance(now time.Time, capacity Amount, rank, members int) Amount {
	if h.LeaseValid(now) {
		return h.grant.Amount
	}
	if h.UsesStaticShare(now) {
		return StaticShare(h.knownCapacity(capacity), rank, members)
	}
	return Amount{}
}

// knownCapacity is the table's capacity, lowered to the last limit heard.
func (h *Holder) knownCapacity(capacity Amount) Amount {
	if h.lastLimit > 0 && h.lastLimit < capacity.Slots {
		capacity.Slots = h.lastLimit
	}
	return capacity
}

// LowestAdmittedTier returns the lowest tier that may be started.
func (h *Holder) LowestAdmittedTier(now time.Time) tables.Tier {
	if h.LeaseValid(now) {
		return h.grant.LowestAdmittedTier
	}
	return tables.TierCount - 1
}

// MaxRunning returns how many requests of a tier may go on; negative: all.
func (h *Holder) MaxRunning(now time.Time, tier tables.Tier) Slots {
	if h.LeaseValid(now) {
		return h.grant.MaxRunning[tier]
	}
	return -1
}

// TotalRunning returns the last known number of requests of all entries by tier.
func (h *Holder) TotalRunning() [tables.TierCount]Slots { return h.grant.TotalRunning }

// ConfirmsNoneBelow reports whether the coordinator has said, within ProofAge, that nothing
// below the tier runs at the target.
func (h *Holder) ConfirmsNoneBelow(now time.Time, tier tables.Tier) bool {
	if !h.grant.CoversAllMembers || now.Sub(h.snapshotAt) > MaxSnapshotAge {
		return false
	}
	for lower := tier + 1; lower < tables.TierCount; lower++ {
		if h.grant.TotalRunning[lower] > 0 {
			return false
		}
	}
	return true
}
