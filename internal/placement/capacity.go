package placement

import "time"

// reportedCapacity is what another has said of the room in a group; it counts while it
// is fresh.
type reportedCapacity struct {
	freeSlots  int
	receivedAt time.Time
	validFor   time.Duration
}

// handleCapacityReport takes another coordinator's word on the handleCapacityReport in its groups.
func (s *Server) handleCapacityReport(r *capacityReport) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range r.Groups {
		s.capacities[g.Position] = reportedCapacity{freeSlots: g.FreeSlots, receivedAt: now, validFor: capacityValidIntervals * fromMillis(r.IntervalMs)}
	}
}

// reserveElsewhere returns the group of the service with most free places by the
// word of the other coordinators, and takes one of them off.
func (s *Server) reserveElsewhere(group groupKey) (groupKey, bool) {
	groups := s.groups.Load()
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, bestPosition, bestFree := groupKey{}, -1, 0
	for position, capacity := range s.capacities {
		if position >= len(groups.ordered) || now.Sub(capacity.receivedAt) > capacity.validFor {
			continue
		}
		if g := groups.ordered[position]; g.service == group.service && g != group && capacity.freeSlots > bestFree {
			best, bestPosition, bestFree = g, position, capacity.freeSlots
		}
	}
	if bestPosition < 0 {
		return groupKey{}, false
	}
	reserved := s.capacities[bestPosition]
	reserved.freeSlots--
	s.capacities[bestPosition] = reserved
	return best, true
}

// sendCapacityReports tells the other coordinators about the room in the groups that are
// asked for here. What is kept back leaves places for questions that come to
// this coordinator first.
func (s *Server) sendCapacityReports(roster *Roster) {
	groups := s.groups.Load()
	if !groups.hasSplitService() {
		return
	}
	now := s.clock.Now()
	report := capacityReport{IntervalMs: toMillis(roster.capacityInterval())}
	s.mu.Lock()
	for group, requestedAt := range s.requestedAt {
		if position, known := groups.positions[group]; known && now.Sub(requestedAt) <= leaseDuration {
			report.Groups = append(report.Groups, groupCapacity{Position: position})
		}
	}
	s.mu.Unlock()
	for i := range report.Groups {
		free, queued := s.scheduler.Availability(groups.ordered[report.Groups[i].Position].name())
		report.Groups[i].FreeSlots = max(0, free-queued)
	}
	if len(report.Groups) == 0 {
		return
	}
	s.handleCapacityReport(&report)
	for _, address := range roster.Addresses {
		if address != s.address {
			s.sendMessage(address, kindCapacity, &report)
		}
	}
}
