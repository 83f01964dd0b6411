package placement

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// ensureCoordinated reports whether a group is coordinated here already. If not, the
// question is kept until the group has been taken over.
func (s *Server) ensureCoordinated(group groupKey, r deferredRequest) bool {
	now := s.clock.Now()
	s.mu.Lock()
	if deferred, pending := s.deferred[group]; pending {
		s.deferred[group] = addDeferred(deferred, r)
		s.mu.Unlock()
		return false
	}
	last, known := s.requestedAt[group]
	s.requestedAt[group] = now
	if known && now.Sub(last) <= coordinationTimeout {
		s.mu.Unlock()
		return true
	}
	s.deferred[group] = []deferredRequest{r}
	s.mu.Unlock()
	expected := s.expectedCoordinator(group)
	if r.request.Epoch > s.roster().Epoch || expected == "" || expected == s.address {
		s.takeOverGroup(group)
	} else {
		s.probeCoordinator(group, expected)
	}
	return false
}

// probeCoordinator asks the coordinator that others expect whether it answers; one that
// does keeps the group. One asker that is held up itself, or cut off from the
// coordinator, does not move the group for all.
func (s *Server) probeCoordinator(group groupKey, address string) {
	s.sendMessage(address, kindProbe, &groupProbe{Service: group.service, Group: group.index})
	s.clock.AfterFunc(probeTimeout, func() {
		s.mu.Lock()
		_, pending := s.deferred[group]
		s.mu.Unlock()
		if pending {
			s.takeOverGroup(group)
		}
	})
}

// handleProbe answers who wants to take a group over.
func (s *Server) handleProbe(from string, probe *groupProbe) {
	group := groupKey{probe.Service, probe.Group}
	s.mu.Lock()
	_, coordinated := s.requestedAt[group]
	s.mu.Unlock()
	if !s.drainingAndUnlisted() && (coordinated || s.expectedCoordinator(group) == s.address) {
		s.sendMessage(from, kindProbeResponse, probe)
	}
}

// handleProbeResponse leaves a group to its coordinator, which answers.
func (s *Server) handleProbeResponse(from string, probe *groupProbe) {
	group := groupKey{probe.Service, probe.Group}
	now := s.clock.Now()
	s.mu.Lock()
	deferred, pending := s.deferred[group]
	if !pending || now.Sub(s.takenOverAt[group]) < contestWindow {
		s.mu.Unlock()
		return
	}
	delete(s.deferred, group)
	delete(s.requestedAt, group)
	s.moves[group] = groupMove{coordinator: from, until: now.Add(probeValidity)}
	s.mu.Unlock()
	for _, r := range deferred {
		s.sendResponse(r.from, &slotResponse{ID: r.request.ID, Decision: decisionMoved, Coordinator: from})
	}
}

func (s *Server) sendMessage(address string, k messageKind, message any) {
	body, err := encode(k, message)
	if err != nil {
		s.logger.Error("coordinator not told", eventlog.Cause(err))
		return
	}
	s.counters.recordSend(s.send(address, body))
}

// addDeferred adds a question that is not there yet.
func addDeferred(deferred []deferredRequest, r deferredRequest) []deferredRequest {
	for _, other := range deferred {
		if other.from == r.from && other.request.ID == r.request.ID {
			return deferred
		}
	}
	return append(deferred, r)
}

// takeOverGroup asks all instances what they run in a group, and answers the
// questions about it once they have had time to say so.
func (s *Server) takeOverGroup(group groupKey) {
	epoch := s.roster().Epoch
	s.mu.Lock()
	s.takenOverAt[group] = s.clock.Now()
	s.mu.Unlock()
	s.counters.GroupsTakenOver.Add(1)
	s.logger.Info("group taken over", zap.String("group", group.name()), zap.Uint64("roster", epoch))
	body, err := encode(kindTakeover, &takeoverNotice{Epoch: epoch, Service: group.service, Group: group.index})
	if err != nil {
		s.logger.Error("takeover not told", eventlog.Cause(err))
	} else {
		s.counters.recordSend(s.send(s.address, body))
		for _, address := range s.peerAddresses() {
			s.counters.recordSend(s.send(address, body))
		}
	}
	s.clock.AfterFunc(takeoverDelay, func() { s.finishTakeover(group) })
}

// finishTakeover answers the questions that have waited for a takeover.
func (s *Server) finishTakeover(group groupKey) {
	s.mu.Lock()
	deferred := s.deferred[group]
	delete(s.deferred, group)
	s.mu.Unlock()
	coordinator := s.movedCoordinator(group)
	for _, r := range deferred {
		if coordinator != "" {
			s.sendResponse(r.from, &slotResponse{ID: r.request.ID, Decision: decisionMoved, Coordinator: coordinator})
			continue
		}
		s.placeRequest(r.from, r.request, group)
	}
}

// handleTakeover notes that another instance coordinates a group.
func (s *Server) handleTakeover(from string, notice *takeoverNotice) {
	if from == s.address || notice.Epoch < s.roster().Epoch {
		return
	}
	group := groupKey{notice.Service, notice.Group}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if contested := now.Sub(s.takenOverAt[group]) < contestWindow; contested && s.address < from {
		// Both have taken it over at once; the other will do the same and give way.
		return
	}
	if _, coordinated := s.requestedAt[group]; coordinated {
		delete(s.requestedAt, group)
		s.moves[group] = groupMove{coordinator: from, until: now.Add(moveValidity)}
		s.logger.Info("group handed over", zap.String("group", group.name()), zap.String("peer", from),
			zap.Uint64("roster", notice.Epoch))
	}
}

// movedCoordinator returns who has taken a group over from here lately, or "".
func (s *Server) movedCoordinator(group groupKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.moves[group]
	if !known {
		return ""
	}
	if s.clock.Now().After(m.until) {
		delete(s.moves, group)
		return ""
	}
	return m.coordinator
}

// coordinatorOverride is a coordinator that has taken a group over before the roster says
// so.
type coordinatorOverride struct {
	address string
	epoch   uint64
	until   time.Time
}

// handleTakeover follows a group to another coordinator, and tells it what runs
// there.
func (c *Client) handleTakeover(from string, notice *takeoverNotice) {
	group := groupKey{notice.Service, notice.Group}
	groups, roster := c.groups.Load(), c.roster.Load()
	if notice.Epoch < roster.Epoch {
		return
	}
	c.mu.Lock()
	c.overrides[group] = coordinatorOverride{address: from, epoch: notice.Epoch, until: c.clock.Now().Add(coordinationTimeout)}
	var executions []*execution
	for _, e := range c.running {
		if groups.groupOf[e.target] == group {
			executions = append(executions, e)
		}
	}
	c.mu.Unlock()
	c.sendRenewals(from, executions, true)
}

// expectedCoordinator returns who coordinates a group as far as is known,
// whether or not it answers this instance.
func (c *Client) expectedCoordinator(group groupKey) string {
	groups, roster := c.groups.Load(), c.roster.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, known := c.overrides[group]; known && o.epoch >= roster.Epoch && c.clock.Now().Before(o.until) {
		return o.address
	}
	return roster.coordinator(groups.positions[group], func(string) bool { return false })
}

// coordinatorFor returns whom to ask for places in a group; c.mu is held.
func (c *Client) coordinatorFor(group groupKey, now time.Time) string {
	groups, roster := c.groups.Load(), c.roster.Load()
	unavailable := func(address string) bool { return now.Before(c.unavailableUntil[address]) }
	o, known := c.overrides[group]
	switch {
	case !known:
	case o.epoch >= roster.Epoch && now.Before(o.until) && !unavailable(o.address):
		return o.address
	default:
		delete(c.overrides, group)
	}
	return roster.coordinator(groups.positions[group], unavailable)
}
