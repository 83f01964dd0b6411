package placement

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// ensureCoordinated reports whether a group is already coordinated here. If not,
// it defers the slot request until the group has been taken over, or its
// coordinator has responded to a probe.
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
	s.takeOverOrProbe(group, r.request.Epoch)
	return false
}

// takeOverOrProbe takes over a group at once if this instance is expected to coordinate it, or
// if the sender of a slot request has a newer roster, of the given epoch.
func (s *Server) takeOverOrProbe(group groupKey, epoch uint64) {
	expected := s.lookUpCoordinator(group)
	if epoch > s.roster().Epoch || expected == "" || expected == s.address {
		s.takeOverGroup(group)
	} else {
		s.probeCoordinator(group, expected)
	}
}

// postponeTakeover puts a takeover off while this instance may not have heard from the others
// since a pause: notices of other coordinators and reports of running requests may wait in its
// sockets.
func (s *Server) postponeTakeover(group groupKey) {
	s.clock.AfterFunc(resumeCheckInterval, func() {
		s.mu.Lock()
		deferred, pending := s.deferred[group]
		s.mu.Unlock()
		switch {
		case !pending:
		case s.movedCoordinator(group) != "":
			s.finishTakeover(group)
		case s.isResuming():
			s.postponeTakeover(group)
		default:
			s.takeOverOrProbe(group, deferred[0].request.Epoch)
		}
	})
}

// probeCoordinator checks whether the expected coordinator responds; if so, that
// keeps the group. An instance that was itself delayed, or is cut off from the
// coordinator, must not move the group for all.
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

// handleProbe responds to an instance that is about to take over a group, if the
// group is coordinated here.
func (s *Server) handleProbe(from string, probe *groupProbe) {
	group := groupKey{probe.Service, probe.Group}
	s.mu.Lock()
	_, coordinated := s.requestedAt[group]
	_, pending := s.deferred[group]
	s.mu.Unlock()
	if (pending || !coordinated) && s.isResuming() {
		// The sender need not wait until this instance may take over the group.
		return
	}
	if !s.drainingAndUnlisted() && (coordinated || s.lookUpCoordinator(group) == s.address) {
		s.sendMessage(from, kindProbeResponse, probe)
	}
}

// handleProbeResponse leaves a group to its coordinator, which has responded.
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
	s.sendEncoded(address, body, err)
}

// sendEncoded sends a message unless its encoding has failed.
func (s *Server) sendEncoded(address string, body []byte, err error) {
	if err != nil {
		s.logger.Error("encoding a message for an instance failed", eventlog.ErrorField(err))
		return
	}
	s.counters.countSendError(s.send(address, body))
}

// addDeferred adds a slot request unless it is already listed.
func addDeferred(deferred []deferredRequest, r deferredRequest) []deferredRequest {
	for _, other := range deferred {
		if other.from == r.from && other.request.ID == r.request.ID {
			return deferred
		}
	}
	return append(deferred, r)
}

// takeOverGroup announces the takeover of a group to all instances, which then
// report the requests that they run there, and handles the deferred slot requests
// after takeoverDelay.
func (s *Server) takeOverGroup(group groupKey) {
	if s.isResuming() {
		s.postponeTakeover(group)
		return
	}
	epoch := s.roster().Epoch
	s.mu.Lock()
	s.takenOverAt[group] = s.clock.Now()
	s.mu.Unlock()
	s.counters.GroupsTakenOver.Add(1)
	s.logger.Info("group taken over", zap.String("group", group.name()), zap.Uint64("roster", epoch))
	body, err := encode(kindTakeover, &takeoverNotice{Epoch: epoch, Service: group.service, Group: group.index})
	if err != nil {
		s.logger.Error("encoding a takeover notice failed", eventlog.ErrorField(err))
	} else {
		s.counters.countSendError(s.send(s.address, body))
		for _, address := range s.peerAddresses() {
			s.counters.countSendError(s.send(address, body))
		}
	}
	s.clock.AfterFunc(takeoverDelay, func() {
		if s.isResuming() {
			// The reports may not have been read yet.
			s.postponeTakeover(group)
			return
		}
		s.finishTakeover(group)
	})
}

// finishTakeover handles the slot requests deferred by a takeover.
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

// handleTakeover records that another instance coordinates a group.
func (s *Server) handleTakeover(from string, notice *takeoverNotice) {
	if from == s.address || notice.Epoch < s.roster().Epoch {
		return
	}
	group := groupKey{notice.Service, notice.Group}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if contested := now.Sub(s.takenOverAt[group]) < contestWindow; contested && s.address < from {
		// Both have taken over the group concurrently. The other instance compares
		// the same addresses and yields.
		return
	}
	if _, coordinated := s.requestedAt[group]; coordinated {
		delete(s.requestedAt, group)
		s.moves[group] = groupMove{coordinator: from, until: now.Add(moveValidity)}
		s.logger.Info("group handed over", zap.String("group", group.name()), zap.String("peer", from),
			zap.Uint64("roster", notice.Epoch))
	}
}

// movedCoordinator returns the instance that has recently replaced this one as
// coordinator of a group, or "".
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

// coordinatorOverride is an instance that has taken over a group although the
// roster assigns it to another.
type coordinatorOverride struct {
	address string
	epoch   uint64
	until   time.Time
}

// handleTakeover directs requests for a group to its new coordinator, and reports
// to it what runs there and which terms the targets state.
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
	var terms []targetTerms
	now := c.clock.Now()
	for _, t := range c.local.StatedTerms() {
		if groups.groupOf[idOf(t.Key)] == group {
			terms = append(terms, newTargetTerms(t.Key, t.HeardTerms, now))
		}
	}
	c.sendTerms(from, terms)
	c.sendRenewals(from, executions, true)
}

// expectedCoordinator returns the coordinator of a group as far as is known,
// whether or not it responds to this instance.
func (c *Client) expectedCoordinator(group groupKey) string {
	groups, roster := c.groups.Load(), c.roster.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, known := c.overrides[group]; known && o.epoch >= roster.Epoch && c.clock.Now().Before(o.until) {
		return o.address
	}
	return roster.coordinator(groups.positions[group], func(string) bool { return false })
}

// coordinatorFor returns the available coordinator of a group, or "". The caller
// holds c.mu.
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
