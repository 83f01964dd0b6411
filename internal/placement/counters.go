package placement

import "sync/atomic"

// Counters count what happens to questions for places.
type Counters struct {
	// RequestsDecided counts questions decided here, RequestsRedirected those answered with
	// another group.
	RequestsDecided, RequestsRedirected atomic.Uint64
	// GroupsTakenOver counts groups whose coordination began here.
	GroupsTakenOver atomic.Uint64
	// ExecutionsAdopted counts requests taken over from other coordinators, LeasesExpired the
	// places that nobody named any more.
	ExecutionsAdopted, LeasesExpired atomic.Uint64
	// CoordinatorTimeouts counts coordinators that did not answer, LocalPlacements the requests placed
	// without one.
	CoordinatorTimeouts, LocalPlacements atomic.Uint64
	// SendErrors and DecodeErrors count messages.
	SendErrors, DecodeErrors atomic.Uint64
}

func (c *Counters) recordSend(err error) {
	if err != nil {
		c.SendErrors.Add(1)
	}
}

// Snapshot returns the counters by name.
func (c *Counters) Snapshot() map[string]uint64 {
	return map[string]uint64{
		"asked": c.RequestsDecided.Load(), "redirected": c.RequestsRedirected.Load(), "taken_over": c.GroupsTakenOver.Load(),
		"resumed": c.ExecutionsAdopted.Load(),
		"expired": c.LeasesExpired.Load(), "silent": c.CoordinatorTimeouts.Load(), "alone": c.LocalPlacements.Load(),
		"unsent": c.SendErrors.Load(), "unread": c.DecodeErrors.Load(),
	}
}
