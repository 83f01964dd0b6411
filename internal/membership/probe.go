package membership

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// probe is an unanswered ping of this instance.
type probe struct {
	name    string
	address string
	sentAt  time.Time
	// indirectSent is set once helpers have been asked.
	indirectSent bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	requester string
	sequence  uint32
	sentAt    time.Time
}

// tick does the timed part of the protocol.
func (m *Membership) tick() {
	m.change(func(now time.Time) {
		if m.hasLeft {
			return
		}
		m.detectPause(now)
		m.checkPendingProbes(now)
		if !m.failureDetectionSuspended(now) {
			m.expireRecords(now)
		}
		if !now.Before(m.nextProbe) {
			m.nextProbe = now.Add(probePeriod)
			m.startProbe(now)
		}
		if !now.Before(m.nextGossip) {
			m.gossip(now)
		}
	})
}

// detectPause finds that the process did not run for a while. Others may have
// declared it dead and been replaced meanwhile, so it raises its incarnation
// and evaluates nobody until a peer has told it the present state. m.mu is held.
func (m *Membership) detectPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	first := m.lastTick.IsZero()
	m.lastTick = now
	if first {
		m.firstTick = now
	}
	if first || gap <= pauseThreshold {
		return
	}
	m.logger.Warn("this process was paused", zap.Duration("gap", gap))
	m.raiseIncarnation(m.self.Incarnation + 1)
	clear(m.pendingProbes)
	for _, r := range m.records {
		r.suspicionDeadline = r.suspicionDeadline.Add(gap)
	}
	m.resyncPending = true
	m.resyncUntil = now.Add(maxResyncWait)
	for _, listener := range m.pauseListeners {
		m.callbacks = append(m.callbacks, func() { listener(gap) })
	}
}

// failureDetectionSuspended tells whether assessment of others waits for a resync.
func (m *Membership) failureDetectionSuspended(now time.Time) bool {
	return m.resyncPending && now.Before(m.resyncUntil)
}

// startProbe pings the next member of a random order; m.mu is held.
func (m *Membership) startProbe(now time.Time) {
	r := m.nextProbeTarget()
	if r == nil {
		return
	}
	m.sequence++
	m.pendingProbes[m.sequence] = &probe{name: r.member.Name, address: r.member.PeerAddress, sentAt: now}
	m.send(r, packet{Type: typePing, Sequence: m.sequence})
}

// nextProbeTarget returns the next live member; each comes once before any comes
// again. m.mu is held.
func (m *Membership) nextProbeTarget() *record {
	for range 2 {
		for len(m.probeOrder) > 0 {
			r := m.records[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if r != nil && r.live() {
				return r
			}
		}
		for _, member := range m.view.Load().Members {
			m.probeOrder = append(m.probeOrder, member.Name)
		}
		m.rand.Shuffle(len(m.probeOrder), func(i, j int) {
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		})
	}
	return nil
}

// checkPendingProbes asks helpers for those that wait, and suspects those whose
// period is over; m.mu is held.
func (m *Membership) checkPendingProbes(now time.Time) {
	for _, sequence := range m.pendingSequences() {
		p := m.pendingProbes[sequence]
		switch waited := now.Sub(p.sentAt); {
		case waited >= probePeriod:
			delete(m.pendingProbes, sequence)
			m.markSuspect(p, now)
		case waited >= ackTimeout && !p.indirectSent:
			p.indirectSent = true
			for _, helper := range m.randomMembers(indirectProbeFanout, p.name) {
				request := packet{Type: typeIndirectPing, Sequence: sequence, TargetAddress: p.address}
				m.sendIndirectPing(m.records[helper], request, p.name)
			}
		}
	}
	for sequence, r := range m.pendingRelays {
		if now.Sub(r.sentAt) >= probePeriod {
			delete(m.pendingRelays, sequence)
		}
	}
}

// pendingSequences returns the sequence numbers of open probes, oldest first.
func (m *Membership) pendingSequences() []uint32 {
	var all []uint32
	for sequence := range m.pendingProbes {
		all = append(all, sequence)
	}
	slices.Sort(all)
	return all
}

// sendIndirectPing sends an indirect probe, whose To is the member to be probed.
func (m *Membership) sendIndirectPing(helper *record, p packet, target string) {
	p.Target = target
	m.sendToAddress(helper.member.PeerAddress, p)
}

func (m *Membership) markSuspect(p *probe, now time.Time) {
	r := m.records[p.name]
	if r == nil || r.state != stateAlive || r.member.PeerAddress != p.address || m.failureDetectionSuspended(now) {
		return
	}
	m.mergeUpdate(memberUpdate{Member: r.member, State: stateSuspect}, now)
}

// gossip sends waiting news to a random few; m.mu is held.
func (m *Membership) gossip(now time.Time) {
	m.nextGossip = now.Add(gossipInterval)
	for _, name := range m.randomMembers(gossipFanout, "") {
		if m.gossipQueue.empty() {
			return
		}
		m.send(m.records[name], packet{Type: typeGossip})
	}
}

// handleDatagram takes a datagram.
func (m *Membership) handleDatagram(from string, body []byte) {
	var p packet
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return
	}
	m.change(func(now time.Time) {
		if m.hasLeft || p.Sender == m.self.Name {
			return
		}
		m.mergeGossip(&p, now)
		m.requestMember(from, &p)
		m.handlePacket(from, &p, now)
	})
}

// mergeGossip takes the updates and rumours of a packet; m.mu is held.
func (m *Membership) mergeGossip(p *packet, now time.Time) {
	for _, raw := range p.Updates {
		var u memberUpdate
		if msgpack.Unmarshal(raw, &u) == nil {
			m.mergeUpdate(u, now)
		}
	}
	for _, raw := range p.Rumors {
		var r Rumor
		if msgpack.Unmarshal(raw, &r) == nil {
			m.mergeRumor(r, now)
		}
	}
}

// requestMember asks a sender that is not known, or not at this incarnation, who it
// is, and tells one that is held for suspect or worse so. m.mu is held.
func (m *Membership) requestMember(from string, p *packet) {
	if p.Type == typeMemberRequest {
		return
	}
	r := m.records[p.Sender]
	switch {
	case r == nil || r.member.Incarnation < p.Incarnation:
		m.sendToAddress(from, packet{Type: typeMemberRequest, Target: p.Sender}, m.selfUpdate())
	case r.member.Incarnation == p.Incarnation && r.state != stateAlive && p.Type != typePing:
		m.send(r, packet{Type: typeGossip})
	}
}

// handlePacket answers a packet by its type; m.mu is held.
func (m *Membership) handlePacket(from string, p *packet, now time.Time) {
	m.recordStatus(p, now)
	switch p.Type {
	case typePing:
		m.handlePing(from, p)
	case typeAck:
		m.handleAck(p, now)
	case typeIndirectPing:
		m.handleIndirectPing(from, p, now)
	case typeRelayedAck:
		delete(m.pendingProbes, p.Sequence)
		m.lastAck = now
	case typeMemberRequest:
		m.sendToAddress(from, packet{Type: typeGossip, Target: p.Sender}, m.selfUpdate())
	case typeGossip:
	}
}

func (m *Membership) handlePing(from string, p *packet) {
	ack := packet{Type: typeAck, Sequence: p.Sequence, Target: p.Sender}
	var priorityUpdates [][]byte
	if p.Target != m.self.Name {
		priorityUpdates = append(priorityUpdates, m.selfUpdate())
	}
	if r := m.records[p.Sender]; r != nil && r.state != stateAlive {
		priorityUpdates = append(priorityUpdates, encode(r.toUpdate()))
	}
	m.sendToAddress(from, ack, priorityUpdates...)
}

// handleAck ends a probe, or passes the answer on to whoever asked for it.
func (m *Membership) handleAck(p *packet, now time.Time) {
	if r, ok := m.pendingRelays[p.Sequence]; ok {
		delete(m.pendingRelays, p.Sequence)
		m.sendToAddress(r.requester, packet{Type: typeRelayedAck, Sequence: r.sequence})
		return
	}
	pending := m.pendingProbes[p.Sequence]
	if pending == nil {
		return
	}
	delete(m.pendingProbes, p.Sequence)
	m.lastAck = now
	if pending.name != p.Sender {
		m.markProbeTargetReplaced(pending, now)
		return
	}
	m.reportStatus(p, pending.sentAt)
}

// markProbeTargetReplaced marks a member whose address another process answers at.
func (m *Membership) markProbeTargetReplaced(answered *probe, now time.Time) {
	r := m.records[answered.name]
	if r != nil && r.live() && r.member.PeerAddress == answered.address {
		m.mergeUpdate(memberUpdate{Member: r.member, State: stateLeft}, now)
	}
}

func (m *Membership) handleIndirectPing(from string, p *packet, now time.Time) {
	if len(m.pendingRelays) >= maxRelays {
		return
	}
	m.sequence++
	m.pendingRelays[m.sequence] = relay{requester: from, sequence: p.Sequence, sentAt: now}
	ping := packet{Type: typePing, Sequence: m.sequence, Target: p.Target}
	m.sendToAddress(p.TargetAddress, ping)
}

// recordStatus keeps the status of a known sender and passes unsolicited ones
// on; that of an answer follows with the time of its probe. m.mu is held.
func (m *Membership) recordStatus(p *packet, now time.Time) {
	r := m.records[p.Sender]
	if r == nil || r.member.Incarnation > p.Incarnation {
		return
	}
	r.status, r.statusReceivedAt = statusOf(p), now
	if p.Type != typeAck {
		m.reportStatus(p, time.Time{})
	}
}

func (m *Membership) reportStatus(p *packet, asOf time.Time) {
	r := m.records[p.Sender]
	if r == nil {
		return
	}
	received := ReceivedStatus{Member: r.member, Status: statusOf(p), AsOf: asOf}
	m.callbacks = append(m.callbacks, func() { m.onStatus(received) })
}

// LastStatus is the last status heard of a member.
type LastStatus struct {
	Member Member
	Status Status
	// Age is how long ago it was received; negative if never.
	Age time.Duration
}

// Statuses returns the last status heard of each live member, by name.
func (m *Membership) Statuses() []LastStatus {
	view := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var statuses []LastStatus
	for _, member := range view.Members {
		last := LastStatus{Member: member, Age: -1}
		if member.Name == m.self.Name {
			last.Status, last.Age = m.localStatus(), 0
		}
		if r := m.records[member.Name]; r != nil && !r.statusReceivedAt.IsZero() {
			last.Status, last.Age = r.status, now.Sub(r.statusReceivedAt)
		}
		statuses = append(statuses, last)
	}
	return statuses
}
