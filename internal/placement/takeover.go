package placement

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// ready reports whether a group is coordinated here already. If not, the
// question is kept until the group has been taken over.
func (s *Server) ready(of group, a asker) bool {
	now := s.clock.Now()
	s.mu.Lock()
	if waiting, under := s.settling[of]; under {
		s.settling[of] = addAsker(waiting, a)
		s.mu.Unlock()
		return false
	}
	last, known := s.active[of]
	s.active[of] = now
	if known && now.Sub(last) <= coordinateFor {
		s.mu.Unlock()
		return true
	}
	s.settling[of] = []asker{a}
	s.mu.Unlock()
	before := s.expected(of)
	if a.question.Epoch > s.roster().Epoch || before == "" || before == s.self {
		s.takeOver(of)
	} else {
		s.probe(of, before)
	}
	return false
}

// probe asks the coordinator that others expect whether it answers; one that
// does keeps the group. One asker that is held up itself, or cut off from the
// coordinator, does not move the group for all.
func (s *Server) probe(of group, address string) {
	s.tell(address, kindProbe, &aboutGroup{Service: of.service, Group: of.index})
	s.clock.AfterFunc(probeTime, func() {
		s.mu.Lock()
		_, waiting := s.settling[of]
		s.mu.Unlock()
		if waiting {
			s.takeOver(of)
		}
	})
}

// probed answers who wants to take a group over.
func (s *Server) probed(from string, about *aboutGroup) {
	of := group{about.Service, about.Group}
	s.mu.Lock()
	_, coordinated := s.active[of]
	s.mu.Unlock()
	if !s.leaving() && (coordinated || s.expected(of) == s.self) {
		s.tell(from, kindAlive, about)
	}
}

// alive leaves a group to its coordinator, which answers.
func (s *Server) alive(from string, about *aboutGroup) {
	of := group{about.Service, about.Group}
	now := s.clock.Now()
	s.mu.Lock()
	waiting, under := s.settling[of]
	if !under || now.Sub(s.taken[of]) < contestTime {
		s.mu.Unlock()
		return
	}
	delete(s.settling, of)
	delete(s.active, of)
	s.moves[of] = move{to: from, until: now.Add(probedFor)}
	s.mu.Unlock()
	for _, a := range waiting {
		s.reply(a.from, &answer{ID: a.question.ID, Verdict: moved, Coordinator: from})
	}
}

func (s *Server) tell(address string, k kind, message any) {
	body, err := encode(k, message)
	if err != nil {
		s.logger.Error("coordinator not told", eventlog.ErrorField(err))
		return
	}
	s.counters.sent(s.send(address, body))
}

// addAsker adds a question that is not there yet.
func addAsker(waiting []asker, a asker) []asker {
	for _, other := range waiting {
		if other.from == a.from && other.question.ID == a.question.ID {
			return waiting
		}
	}
	return append(waiting, a)
}

// takeOver asks all instances what they run in a group, and answers the
// questions about it once they have had time to say so.
func (s *Server) takeOver(of group) {
	epoch := s.roster().Epoch
	s.mu.Lock()
	s.taken[of] = s.clock.Now()
	s.mu.Unlock()
	s.counters.TakenOver.Add(1)
	s.logger.Info("group taken over", zap.String("group", of.name()), zap.Uint64("roster", epoch))
	body, err := encode(kindTakeover, &takeover{Epoch: epoch, Service: of.service, Group: of.index})
	if err != nil {
		s.logger.Error("takeover not told", eventlog.ErrorField(err))
	} else {
		s.counters.sent(s.send(s.self, body))
		for _, address := range s.others() {
			s.counters.sent(s.send(address, body))
		}
	}
	s.clock.AfterFunc(settleTime, func() { s.settled(of) })
}

// settled answers the questions that have waited for a takeover.
func (s *Server) settled(of group) {
	s.mu.Lock()
	waiting := s.settling[of]
	delete(s.settling, of)
	s.mu.Unlock()
	to := s.movedTo(of)
	for _, a := range waiting {
		if to != "" {
			s.reply(a.from, &answer{ID: a.question.ID, Verdict: moved, Coordinator: to})
			continue
		}
		s.place(a.from, a.question, of)
	}
}

// takenOver notes that another instance coordinates a group.
func (s *Server) takenOver(from string, message *takeover) {
	if from == s.self || message.Epoch < s.roster().Epoch {
		return
	}
	of := group{message.Service, message.Group}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if contested := now.Sub(s.taken[of]) < contestTime; contested && s.self < from {
		// Both have taken it over at once; the other will do the same and give way.
		return
	}
	if _, coordinated := s.active[of]; coordinated {
		delete(s.active, of)
		s.moves[of] = move{to: from, until: now.Add(movedFor)}
		s.logger.Info("group handed over", zap.String("group", of.name()), zap.String("peer", from),
			zap.Uint64("roster", message.Epoch))
	}
}

// movedTo returns who has taken a group over from here lately, or "".
func (s *Server) movedTo(of group) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.moves[of]
	if !known {
		return ""
	}
	if s.clock.Now().After(m.until) {
		delete(s.moves, of)
		return ""
	}
	return m.to
}

// override is a coordinator that has taken a group over before the roster says
// so.
type override struct {
	address string
	epoch   uint64
	until   time.Time
}

// takenOver follows a group to another coordinator, and tells it what runs
// there.
func (c *Client) takenOver(from string, message *takeover) {
	of := group{message.Service, message.Group}
	groups, roster := c.groups.Load(), c.roster.Load()
	if message.Epoch < roster.Epoch {
		return
	}
	c.mu.Lock()
	c.overrides[of] = override{address: from, epoch: message.Epoch, until: c.clock.Now().Add(coordinateFor)}
	var runs []*execution
	for _, e := range c.running {
		if groups.groupOf[e.target] == of {
			runs = append(runs, e)
		}
	}
	c.mu.Unlock()
	c.renewAt(from, runs, true)
}

// expectedCoordinator returns who coordinates a group as far as is known,
// whether or not it answers this instance.
func (c *Client) expectedCoordinator(of group) string {
	groups, roster := c.groups.Load(), c.roster.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, known := c.overrides[of]; known && o.epoch >= roster.Epoch && c.clock.Now().Before(o.until) {
		return o.address
	}
	return roster.coordinator(groups.place[of], func(string) bool { return false })
}

// coordinatorOf returns whom to ask for places in a group; c.mu is held.
func (c *Client) coordinatorOf(of group, now time.Time) string {
	groups, roster := c.groups.Load(), c.roster.Load()
	passed := func(address string) bool { return now.Before(c.passedOver[address]) }
	o, known := c.overrides[of]
	switch {
	case !known:
	case o.epoch >= roster.Epoch && now.Before(o.until) && !passed(o.address):
		return o.address
	default:
		delete(c.overrides, of)
	}
	return roster.coordinator(groups.place[of], passed)
}
