package credit

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// reportWindow is the number of latest reports that a grant may answer.
const reportWindow = 64

// MaxSnapshotAge is how old a coordinator's snapshot of running requests, or a report
// in it, may be to justify shedding.
const MaxSnapshotAge = time.Second

// Holder is an entry's side of the credits of one target. The caller must hold the
// target's lock.
type Holder struct {
	coordinator string
	incarnation uint64
	// coordinatorSince is when the current coordinator was set, or when the holder was
	// created.
	coordinatorSince time.Time
	reportSeq        uint32
	reportSentAt     [reportWindow]time.Time

	grant       Grant
	everGranted bool
	// decreased is set when grant is smaller than the previous one. It remains set if
	// grants between the two were lost.
	decreased bool
	// leaseExpiry is when the lease of grant expires. It stays valid after a change of
	// coordinators.
	leaseExpiry time.Time
	// snapshotAt is a lower bound of the time of the oldest report in the snapshot
	// of running requests in grant.
	snapshotAt time.Time
	lastLimit  Slots
}

// NewHolder returns a holder without a lease.
func NewHolder(now time.Time) *Holder { return &Holder{coordinatorSince: now, leaseExpiry: now} }

// SetCoordinator sets the target's coordinator. It returns whether it changed.
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

// HasGrant reports whether the current coordinator has sent a grant.
func (h *Holder) HasGrant() bool { return h.grant.Seq > 0 }

// LastTotalRunning returns how many requests of all entries ran by the last grant of
// a coordinator, or 0 if that is older than departedRetention.
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

// PrepareReport sets the report's sequence number and the fields known to the holder.
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

// ApplyGrant stores the grant as the current one. It returns false for a grant that is
// outdated, repeated, or from another member than the current coordinator.
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

// UnacknowledgedDecrease reports whether a grant newer than ack is a decrease. The
// coordinator cannot grant the difference to others until it is acknowledged.
func (h *Holder) UnacknowledgedDecrease(ack uint32) bool { return h.decreased && h.grant.Seq > ack }

// LeaseValid reports whether the entry has an unexpired lease.
func (h *Holder) LeaseValid(now time.Time) bool { return h.everGranted && now.Before(h.leaseExpiry) }

// UsesStaticShare reports whether the entry has been without a valid lease for
// StaticShareDelay, so that it uses its static share.
func (h *Holder) UsesStaticShare(now time.Time) bool {
	start := h.leaseExpiry
	if h.coordinatorSince.After(start) && !h.everGranted {
		start = h.coordinatorSince
	}
	return !now.Before(start.Add(StaticShareDelay))
}

// AllowanceExpiry returns when the current allowance ends: when the lease expires or,
// without a lease, after LeaseDuration, since the allowance can then only grow by
// itself.
func (h *Holder) AllowanceExpiry(now time.Time) time.Time {
	if h.LeaseValid(now) {
		return h.leaseExpiry
	}
	return now.Add(LeaseDuration)
}

// Allowance returns what the entry may run on the target now. Capacity is the
// configured one; rank and members are the entry's rank and the number of members.
func (h *Holder) Allowance(now time.Time, capacity Amount, rank, members int) Amount {
	if h.LeaseValid(now) {
		return h.grant.Amount
	}
	if h.UsesStaticShare(now) {
		return StaticShare(h.knownCapacity(capacity), rank, members)
	}
	return Amount{}
}

// knownCapacity returns the configured capacity, reduced to the last known limit.
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

// MaxRunning returns how many requests of a tier may continue; negative means all.
func (h *Holder) MaxRunning(now time.Time, tier tables.Tier) Slots {
	if h.LeaseValid(now) {
		return h.grant.MaxRunning[tier]
	}
	return -1
}

// TotalRunning returns the last known number of requests of all entries by tier.
func (h *Holder) TotalRunning() [tables.TierCount]Slots { return h.grant.TotalRunning }

// ConfirmsNoneBelow reports whether the coordinator has confirmed, within
// MaxSnapshotAge, that nothing below the tier runs on the target.
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
