package placement

import "time"

// otherRoom is what another has said of the room in a group; it counts while it
// is fresh.
type otherRoom struct {
	free  int
	at    time.Time
	fresh time.Duration
}

// room takes another coordinator's word on the room in its groups.
func (s *Server) room(r *room) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range r.Groups {
		s.rooms[g.Place] = otherRoom{free: g.Free, at: now, fresh: roomPeriods * fromMillis(r.PeriodMs)}
	}
}

// roomElsewhere returns the group of the service with most free places by the
// word of the other coordinators, and takes one of them off.
func (s *Server) roomElsewhere(of group) (group, bool) {
	groups := s.groups.Load()
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, bestPlace, bestFree := group{}, -1, 0
	for place, other := range s.rooms {
		if place >= len(groups.all) || now.Sub(other.at) > other.fresh {
			continue
		}
		if g := groups.all[place]; g.service == of.service && g != of && other.free > bestFree {
			best, bestPlace, bestFree = g, place, other.free
		}
	}
	if bestPlace < 0 {
		return group{}, false
	}
	taken := s.rooms[bestPlace]
	taken.free--
	s.rooms[bestPlace] = taken
	return best, true
}

// tellRoom tells the other coordinators about the room in the groups that are
// asked for here. What is kept back leaves places for questions that come to
// this coordinator first.
func (s *Server) tellRoom(roster *Roster) {
	groups := s.groups.Load()
	if !groups.several() {
		return
	}
	now := s.clock.Now()
	message := room{PeriodMs: millis(roster.roomPeriod())}
	s.mu.Lock()
	for of, at := range s.active {
		if place, known := groups.place[of]; known && now.Sub(at) <= leaseTime {
			message.Groups = append(message.Groups, groupRoom{Place: place})
		}
	}
	s.mu.Unlock()
	for i := range message.Groups {
		free, waiting := s.scheduler.Availability(groups.all[message.Groups[i].Place].name())
		message.Groups[i].Free = max(0, free-waiting)
	}
	if len(message.Groups) == 0 {
		return
	}
	s.room(&message)
	for _, address := range roster.Addresses {
		if address != s.self {
			s.tell(address, kindRoom, &message)
		}
	}
}
