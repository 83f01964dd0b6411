package membership

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// probe is a ping of this instance that has not been acknowledged.
type probe struct {
	name    string
	address string
	sentAt  time.Time
	// indirectSent is true once indirect pings have been sent.
	indirectSent bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	requester string
	sequence  uint32
	sentAt    time.Time
}

// tick runs the time-driven parts of the protocol.
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

// detectPause detects that the process did not run for longer than
// pauseThreshold. Others may have declared it dead and may have been replaced
// meanwhile, so it raises its incarnation and suspends failure detection until
// a sync with a peer has updated its state. m.mu is held.
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
	m.logger.Warn("detected a pause of this process", zap.Duration("gap", gap))
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

// failureDetectionSuspended reports whether a sync after a pause is still
// pending.
func (m *Membership) failureDetectionSuspended(now time.Time) bool {
	return m.resyncPending && now.Before(m.resyncUntil)
}

// startProbe pings the next member of the probe order; m.mu is held.
func (m *Membership) startProbe(now time.Time) {
	r := m.nextProbeTarget()
	if r == nil {
		return
	}
	m.sequence++
	m.pendingProbes[m.sequence] = &probe{name: r.member.Name, address: r.member.PeerAddress, sentAt: now}
	m.send(r, packet{Type: typePing, Sequence: m.sequence})
}

// nextProbeTarget returns the next live member of a random order. Each member
// comes once before any comes again. m.mu is held.
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

// checkPendingProbes sends indirect pings for probes without an acknowledgement
// after ackTimeout, and marks members as suspect whose probe has failed; m.mu
// is held.
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

// pendingSequences returns the sequence numbers of the pending probes, oldest
// first; m.mu is held.
func (m *Membership) pendingSequences() []uint32 {
	var all []uint32
	for sequence := range m.pendingProbes {
		all = append(all, sequence)
	}
	slices.Sort(all)
	return all
}

// sendIndirectPing sends an indirect ping to a helper. Its Target is the member
// to be probed, not the helper. m.mu is held.
func (m *Membership) sendIndirectPing(helper *record, p packet, target string) {
	p.Target = target
	m.sendToAddress(helper.member.PeerAddress, p)
}

// markSuspect marks the member of a failed probe as suspect, unless it has
// moved or failure detection is suspended; m.mu is held.
func (m *Membership) markSuspect(p *probe, now time.Time) {
	r := m.records[p.name]
	if r == nil || r.state != stateAlive || r.member.PeerAddress != p.address || m.failureDetectionSuspended(now) {
		return
	}
	m.mergeUpdate(memberUpdate{Member: r.member, State: stateSuspect}, now)
}

// gossip sends queued updates and rumors to a few random members; m.mu is held.
func (m *Membership) gossip(now time.Time) {
	m.nextGossip = now.Add(gossipInterval)
	for _, name := range m.randomMembers(gossipFanout, "") {
		if m.gossipQueue.empty() {
			return
		}
		m.send(m.records[name], packet{Type: typeGossip})
	}
}

// handleDatagram handles a datagram from another instance; malformed ones are
// dropped.
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
		m.checkSender(from, &p)
		m.handlePacket(from, &p, now)
	})
}

// mergeGossip merges the updates and rumors of a packet; m.mu is held.
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

// checkSender requests the member update of a sender that is unknown or has a
// newer incarnation than recorded. To a sender that is recorded as suspect,
// dead or left it sends that state, so that the sender can refute. m.mu is
// held.
func (m *Membership) checkSender(from string, p *packet) {
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

// handlePacket dispatches a packet by its type; m.mu is held.
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

// handlePing acknowledges a ping. The acknowledgement carries this instance's
// own update if another one was the target, and the sender's recorded state if
// that is not alive. m.mu is held.
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

// handleAck completes a pending probe, or relays the acknowledgement to the
// requester of an indirect ping; m.mu is held.
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

// markProbeTargetReplaced marks a member as left when another process has
// answered at its address; m.mu is held.
func (m *Membership) markProbeTargetReplaced(answered *probe, now time.Time) {
	r := m.records[answered.name]
	if r != nil && r.live() && r.member.PeerAddress == answered.address {
		m.mergeUpdate(memberUpdate{Member: r.member, State: stateLeft}, now)
	}
}

// handleIndirectPing pings the target on behalf of the sender, unless maxRelays
// pings are pending; m.mu is held.
func (m *Membership) handleIndirectPing(from string, p *packet, now time.Time) {
	if len(m.pendingRelays) >= maxRelays {
		return
	}
	m.sequence++
	m.pendingRelays[m.sequence] = relay{requester: from, sequence: p.Sequence, sentAt: now}
	ping := packet{Type: typePing, Sequence: m.sequence, Target: p.Target}
	m.sendToAddress(p.TargetAddress, ping)
}

// recordStatus stores the status of a known sender and reports unsolicited
// ones. That of an acknowledgement is reported by handleAck with the time of
// its probe. m.mu is held.
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

// reportStatus queues a call of onStatus with the status of a known sender;
// m.mu is held.
func (m *Membership) reportStatus(p *packet, asOf time.Time) {
	r := m.records[p.Sender]
	if r == nil {
		return
	}
	received := ReceivedStatus{Member: r.member, Status: statusOf(p), AsOf: asOf}
	m.callbacks = append(m.callbacks, func() { m.onStatus(received) })
}

// LastStatus is the last status received from a member.
type LastStatus struct {
	Member Member
	Status Status
	// Age is the time since it was received; negative if none was.
	Age time.Duration
}

// Statuses returns the last status received from each live member, sorted by
// name. For this instance it is the current status.
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
