package placement

import (
	"sync/atomic"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// Counters count placement events of an instance, as client and as coordinator.
type Counters struct {
	// RequestsDecided counts slot requests decided by this coordinator,
	// RequestsRedirected those of them, or queued ones, redirected to another
	// group.
	RequestsDecided, RequestsRedirected atomic.Uint64
	// GroupsTakenOver counts takeovers of groups by this instance.
	GroupsTakenOver atomic.Uint64
	// ExecutionsAdopted counts running requests adopted from other coordinators
	// or placed without one, LeasesExpired the requests whose lease expired.
	ExecutionsAdopted, LeasesExpired atomic.Uint64
	// CoordinatorTimeouts counts coordinators that did not respond in time,
	// LocalPlacements the requests placed without a coordinator.
	CoordinatorTimeouts, LocalPlacements atomic.Uint64
	// TermsChanged counts changes of what targets state about the requests that
	// they take.
	TermsChanged atomic.Uint64
	// GrantsReturned counts the grants that this instance did not use, since the target
	// had told it that it takes no requests from it.
	GrantsReturned atomic.Uint64
	// FailuresReported counts the failures of targets that instances reported to
	// this coordinator.
	FailuresReported atomic.Uint64
	// PrefixGroups counts the requests whose group was chosen for their prefix.
	PrefixGroups atomic.Uint64
	// schedulers are the counters of the scheduler of this instance's own requests and of
	// that of the coordinator.
	schedulers []*schedule.Counters
	// SendErrors counts messages that could not be sent, DecodeErrors received
	// messages that could not be decoded.
	SendErrors, DecodeErrors atomic.Uint64
}

func (c *Counters) countSendError(err error) {
	if err != nil {
		c.SendErrors.Add(1)
	}
}

// Snapshot returns the counters by metric name.
func (c *Counters) Snapshot() map[string]uint64 {
	prefixPlacements, cachedTokens, memoryWaits := uint64(0), uint64(0), uint64(0)
	for _, scheduler := range c.schedulers {
		prefixPlacements += scheduler.PrefixPlacements.Load()
		cachedTokens += scheduler.CachedTokens.Load()
		memoryWaits += scheduler.MemoryWaits.Load()
	}
	return map[string]uint64{
		"asked": c.RequestsDecided.Load(), "redirected": c.RequestsRedirected.Load(), "taken_over": c.GroupsTakenOver.Load(),
		"resumed": c.ExecutionsAdopted.Load(),
		"expired": c.LeasesExpired.Load(), "silent": c.CoordinatorTimeouts.Load(), "alone": c.LocalPlacements.Load(),
		"terms_changed": c.TermsChanged.Load(), "returned": c.GrantsReturned.Load(), "target_failures": c.FailuresReported.Load(),
		"prefix_groups": c.PrefixGroups.Load(), "prefix_placed": prefixPlacements, "prefix_tokens": cachedTokens, "memory_waits": memoryWaits,
		"unsent": c.SendErrors.Load(), "unread": c.DecodeErrors.Load(),
	}
}
