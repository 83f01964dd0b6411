package placement

import "time"

// reportedCapacity is the number of free slots that a coordinator reported for a
// group, and how long the report is valid.
type reportedCapacity struct {
	freeSlots  int
	receivedAt time.Time
	validFor   time.Duration
}

// handleCapacityReport stores a coordinator's report of free slots in its groups.
func (s *Server) handleCapacityReport(r *capacityReport) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range r.Groups {
		s.capacities[g.Position] = reportedCapacity{freeSlots: g.FreeSlots, receivedAt: now, validFor: capacityValidIntervals * fromMillis(r.IntervalMs)}
	}
}

// reserveElsewhere returns the group of the service with the most free slots by
// the reports of coordinators, and deducts one slot from the report.
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

// sendCapacityReports reports to the other coordinators the free slots of groups
// in which slots were requested here within leaseDuration. As many slots as there
// are queued requests are held back, for the requests that reached this
// coordinator first.
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
