package placement

import (
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// handleRenewal renews the leases of an instance's running requests, adopts those
// that are not known yet, and ends those that a complete list no longer contains.
func (s *Server) handleRenewal(from string, r *leaseRenewal) {
	now := s.clock.Now()
	groups := s.groups.Load()
	var unknown []runningRequest
	s.mu.Lock()
	listed := make(map[uint32]bool, len(r.Running))
	for _, running := range r.Running {
		listed[running.ID] = true
		if h := s.requests[from][running.ID]; h != nil {
			h.renewedAt = now
		} else {
			unknown = append(unknown, running)
		}
	}
	var ended []*schedule.Grant
	if !r.Partial {
		for id, h := range s.requests[from] {
			// The instance may not have received a recent grant yet.
			if h.grant != nil && !listed[id] && now.Sub(h.decidedAt) > queuedLeaseDuration {
				ended = append(ended, h.grant)
				delete(s.requests[from], id)
			}
		}
	}
	s.mu.Unlock()
	for _, grant := range ended {
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
	}
	s.adoptRunning(from, unknown, groups)
}

// adoptRunning counts running requests that were placed by another coordinator or
// without one.
func (s *Server) adoptRunning(from string, requests []runningRequest, groups *Groups) {
	now := s.clock.Now()
	for _, running := range requests {
		t := groups.byID[running.Target]
		if t == nil {
			continue
		}
		group := groups.groupOf[running.Target]
		grant := s.scheduler.RegisterRunning(t.Key(), &schedule.Request{Service: group.name(), PromptTokens: running.PrefillTokens, HeldTokens: running.heldTokens})
		if grant == nil {
			continue
		}
		s.counters.ExecutionsAdopted.Add(1)
		s.mu.Lock()
		if s.requests[from] == nil {
			s.requests[from] = make(map[uint32]*heldRequest)
		}
		if s.requests[from][running.ID] == nil {
			s.requests[from][running.ID] = &heldRequest{
				group: group, grant: grant, response: grantedResponse(running.ID, grant), decidedAt: now, renewedAt: now,
			}
			grant = nil
		}
		s.mu.Unlock()
		if grant != nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}
}

// expireLeases ends requests whose lease has expired: the instance has crashed,
// or the message about their end was lost. After a pause of this instance, their renewals may
// still wait in its sockets.
func (s *Server) expireLeases() {
	// The time is read first: a pause after the check makes no lease older.
	now := s.clock.Now()
	if s.isResuming() {
		return
	}
	var expiredRequests []*heldRequest
	s.mu.Lock()
	for from, byID := range s.requests {
		expired := 0
		for id, h := range byID {
			duration := leaseDuration
			if h.grant == nil {
				duration = queuedLeaseDuration
			}
			if now.Sub(h.renewedAt) > duration {
				expiredRequests = append(expiredRequests, h)
				delete(byID, id)
				expired++
			}
		}
		if len(byID) == 0 {
			delete(s.requests, from)
		}
		if expired > 0 {
			s.logger.Info("places released that nobody named", zap.String("peer", from), zap.Int("requests", expired))
		}
	}
	s.mu.Unlock()
	for _, h := range expiredRequests {
		h.release()
	}
	s.counters.LeasesExpired.Add(uint64(len(expiredRequests)))
}
