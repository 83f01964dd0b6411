package placement

import (
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// renewal takes what an instance runs on the targets coordinated here.
func (s *Server) renewal(from string, r *renewal) {
	now := s.clock.Now()
	groups := s.groups.Load()
	var unknown []runState
	s.mu.Lock()
	named := make(map[uint32]bool, len(r.Runs))
	for _, run := range r.Runs {
		named[run.ID] = true
		if h := s.held[from][run.ID]; h != nil {
			h.named = now
		} else {
			unknown = append(unknown, run)
		}
	}
	var ended []*schedule.Grant
	if !r.Partial {
		for id, h := range s.held[from] {
			// A place given lately may not be known there yet.
			if h.grant != nil && !named[id] && now.Sub(h.since) > waitLease {
				ended = append(ended, h.grant)
				delete(s.held[from], id)
			}
		}
	}
	s.mu.Unlock()
	for _, grant := range ended {
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
	}
	s.resume(from, unknown, groups)
}

// resume counts requests that another coordinator placed, or that were placed
// without one.
func (s *Server) resume(from string, runs []runState, groups *Groups) {
	now := s.clock.Now()
	for _, run := range runs {
		t := groups.byID[run.Target]
		if t == nil {
			continue
		}
		of := groups.groupOf[run.Target]
		grant := s.scheduler.RegisterRunning(t.Key(), &schedule.Request{Service: of.name(), PromptTokens: run.Reading})
		if grant == nil {
			continue
		}
		s.counters.ExecutionsAdopted.Add(1)
		s.mu.Lock()
		if s.held[from] == nil {
			s.held[from] = make(map[uint32]*held)
		}
		if s.held[from][run.ID] == nil {
			s.held[from][run.ID] = &held{
				group: of, grant: grant, answer: grantedAnswer(run.ID, grant), since: now, named: now,
			}
			grant = nil
		}
		s.mu.Unlock()
		if grant != nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}
}

// sweep ends what has not been named for too long: the instance has died, or
// its message about the end was lost.
func (s *Server) sweep() {
	now := s.clock.Now()
	var dropped []*held
	s.mu.Lock()
	for from, of := range s.held {
		expired := 0
		for id, h := range of {
			lease := leaseTime
			if h.grant == nil {
				lease = waitLease
			}
			if now.Sub(h.named) > lease {
				dropped = append(dropped, h)
				delete(of, id)
				expired++
			}
		}
		if len(of) == 0 {
			delete(s.held, from)
		}
		if expired > 0 {
			s.logger.Info("places released that nobody named", zap.String("peer", from), zap.Int("requests", expired))
		}
	}
	s.mu.Unlock()
	for _, h := range dropped {
		h.drop()
	}
	s.counters.LeasesExpired.Add(uint64(len(dropped)))
}
