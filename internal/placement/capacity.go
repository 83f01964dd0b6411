package placement

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// groupsPerReport limits the groups of one report, so that it fits in one packet.
const groupsPerReport = 16

// reportedCapacity is the availability that a coordinator reported for a group,
// and how long the report is valid.
type reportedCapacity struct {
	schedule.Availability
	receivedAt time.Time
	validFor   time.Duration
}

// handleCapacityReport stores a coordinator's report on its groups. Positions that are none here
// are left out; the next report follows soon.
func (s *Server) handleCapacityReport(r *capacityReport) {
	now, known := s.clock.Now(), len(s.groups.Load().ordered)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range r.Groups {
		g := &r.Groups[i]
		if g.Position < 0 || g.Position >= known {
			continue
		}
		s.capacities[g.Position] = reportedCapacity{Availability: g.availability(), receivedAt: now, validFor: capacityValidIntervals * fromMillis(r.IntervalMs)}
	}
}

// reserveElsewhere returns the group of the service with the most free slots by
// the reports of coordinators, and deducts one slot from the report.
func (s *Server) reserveElsewhere(group groupKey) (groupKey, bool) {
	groups := s.groups.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, bestFree := -1, 0
	for _, position := range s.reportedPositions(groups, group) {
		if free := s.capacities[position].FreeSlots; free > bestFree {
			best, bestFree = position, free
		}
	}
	if best < 0 {
		return groupKey{}, false
	}
	reserved := s.capacities[best]
	reserved.FreeSlots--
	s.capacities[best] = reserved
	return groups.ordered[best], true
}

// queueElsewhere returns a group of the service where a request of the priority
// is expected to wait much less than ownWait, and adds it to that group's reported
// queue. Of two groups drawn at random it takes the better one, so that the
// coordinators do not all send to the same group before its next report.
func (s *Server) queueElsewhere(group groupKey, priority int, ownWait time.Duration) (groupKey, bool) {
	if ownWait < minQueueGain {
		return groupKey{}, false
	}
	groups := s.groups.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	positions := s.reportedPositions(groups, group)
	if len(positions) == 0 {
		return groupKey{}, false
	}
	wait := func(position int) time.Duration {
		reported := s.capacities[position]
		return reported.ExpectedWait(priority)
	}
	best := positions[s.random.IntN(len(positions))]
	if other := positions[s.random.IntN(len(positions))]; wait(other) < wait(best) {
		best = other
	}
	if wait(best) > time.Duration(maxOtherWaitShare*float64(ownWait)) || ownWait-wait(best) < minQueueGain {
		return groupKey{}, false
	}
	joined := s.capacities[best]
	joined.AddQueued(priority)
	s.capacities[best] = joined
	return groups.ordered[best], true
}

// reportedPositions returns the positions of the other groups of the service
// whose last report is still valid. Positions belong to one division of the targets, which is
// replaced without s.mu. The caller holds s.mu.
func (s *Server) reportedPositions(groups *Groups, group groupKey) []int {
	now := s.clock.Now()
	var positions []int
	for position, capacity := range s.capacities {
		if position >= len(groups.ordered) || now.Sub(capacity.receivedAt) > capacity.validFor {
			continue
		}
		if g := groups.ordered[position]; g.service == group.service && g != group {
			positions = append(positions, position)
		}
	}
	slices.Sort(positions)
	return positions
}

// sendCapacityReports reports to the other coordinators the groups in which slots
// were requested here within leaseDuration.
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
		position := report.Groups[i].Position
		availability := s.scheduler.Availability(groups.ordered[position].name())
		report.Groups[i] = newGroupCapacity(position, &availability)
	}
	if len(report.Groups) == 0 {
		return
	}
	s.handleCapacityReport(&report)
	for _, address := range roster.Addresses {
		if address == s.address {
			continue
		}
		for part := range slices.Chunk(report.Groups, groupsPerReport) {
			s.sendMessage(address, kindCapacity, &capacityReport{IntervalMs: report.IntervalMs, Groups: part})
		}
	}
}
