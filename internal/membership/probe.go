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
	sent    time.Time
	// indirect is set once helpers have been asked.
	indirect bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	asker    string
	sequence uint32
	sent     time.Time
}

// tick does the timed part of the protocol.
func (m *Membership) tick() {
	m.change(func(now time.Time) {
		if m.left {
			return
		}
		m.notePause(now)
		m.advanceProbes(now)
		if !m.withheld(now) {
			m.expire(now)
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

// notePause finds that the process did not run for a while. Others may have
// declared it dead and been replaced meanwhile, so it raises its incarnation
// and evaluates nobody until a peer has told it the present state. m.mu is held.
func (m *Membership) notePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	first := m.lastTick.IsZero()
	m.lastTick = now
	if first {
		m.firstTick = now
	}
	if first || gap <= pauseLimit {
		return
	}
	m.logger.Warn("this process was paused", zap.Duration("gap", gap))
	m.renew(m.self.Incarnation + 1)
	clear(m.probes)
	for _, r := range m.records {
		r.deadline = r.deadline.Add(gap)
	}
	m.resync = true
	m.resyncUntil = now.Add(resyncLimit)
	for _, listener := range m.pauses {
		m.events = append(m.events, func() { listener(gap) })
	}
}

// withheld tells whether assessment of others waits for a resync.
func (m *Membership) withheld(now time.Time) bool {
	return m.resync && now.Before(m.resyncUntil)
}

// startProbe pings the next member of a random order; m.mu is held.
func (m *Membership) startProbe(now time.Time) {
	r := m.nextInOrder()
	if r == nil {
		return
	}
	m.sequence++
	m.probes[m.sequence] = &probe{name: r.member.Name, address: r.member.PeerAddress, sent: now}
	m.send(r, packet{Type: typePing, Sequence: m.sequence})
}

// nextInOrder returns the next live member; each comes once before any comes
// again. m.mu is held.
func (m *Membership) nextInOrder() *record {
	for range 2 {
		for len(m.order) > 0 {
			r := m.records[m.order[0]]
			m.order = m.order[1:]
			if r != nil && r.live() {
				return r
			}
		}
		for _, member := range m.view.Load().Members {
			m.order = append(m.order, member.Name)
		}
		m.rand.Shuffle(len(m.order), func(i, j int) {
			m.order[i], m.order[j] = m.order[j], m.order[i]
		})
	}
	return nil
}

// advanceProbes asks helpers for those that wait, and suspects those whose
// period is over; m.mu is held.
func (m *Membership) advanceProbes(now time.Time) {
	for _, sequence := range m.waiting() {
		p := m.probes[sequence]
		switch waited := now.Sub(p.sent); {
		case waited >= probePeriod:
			delete(m.probes, sequence)
			m.suspect(p, now)
		case waited >= ackTimeout && !p.indirect:
			p.indirect = true
			for _, helper := range m.pick(helpers, p.name) {
				ask := packet{Type: typeIndirect, Sequence: sequence, Via: p.address}
				m.askHelper(m.records[helper], ask, p.name)
			}
		}
	}
	for sequence, r := range m.relays {
		if now.Sub(r.sent) >= probePeriod {
			delete(m.relays, sequence)
		}
	}
}

// waiting returns the sequence numbers of open probes, oldest first.
func (m *Membership) waiting() []uint32 {
	var all []uint32
	for sequence := range m.probes {
		all = append(all, sequence)
	}
	slices.Sort(all)
	return all
}

// askHelper sends an indirect probe, whose To is the member to be probed.
func (m *Membership) askHelper(helper *record, p packet, target string) {
	p.To = target
	m.sendTo(helper.member.PeerAddress, p)
}

func (m *Membership) suspect(p *probe, now time.Time) {
	r := m.records[p.name]
	if r == nil || r.state != stateAlive || r.member.PeerAddress != p.address || m.withheld(now) {
		return
	}
	m.merge(update{Member: r.member, State: stateSuspect}, now)
}

// gossip sends waiting news to a random few; m.mu is held.
func (m *Membership) gossip(now time.Time) {
	m.nextGossip = now.Add(gossipInterval)
	for _, name := range m.pick(gossipFanout, "") {
		if m.queue.empty() {
			return
		}
		m.send(m.records[name], packet{Type: typeGossip})
	}
}

// receive takes a datagram.
func (m *Membership) receive(from string, body []byte) {
	var p packet
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return
	}
	m.change(func(now time.Time) {
		if m.left || p.From == m.self.Name {
			return
		}
		m.mergeNews(&p, now)
		m.identify(from, &p)
		m.react(from, &p, now)
	})
}

// mergeNews takes the updates and rumours of a packet; m.mu is held.
func (m *Membership) mergeNews(p *packet, now time.Time) {
	for _, raw := range p.Updates {
		var u update
		if msgpack.Unmarshal(raw, &u) == nil {
			m.merge(u, now)
		}
	}
	for _, raw := range p.Rumors {
		var r Rumor
		if msgpack.Unmarshal(raw, &r) == nil {
			m.mergeRumor(r, now)
		}
	}
}

// identify asks a sender that is not known, or not at this incarnation, who it
// is, and tells one that is held for suspect or worse so. m.mu is held.
func (m *Membership) identify(from string, p *packet) {
	if p.Type == typeWho {
		return
	}
	r := m.records[p.From]
	switch {
	case r == nil || r.member.Incarnation < p.Incarnation:
		m.sendTo(from, packet{Type: typeWho, To: p.From}, m.selfUpdate())
	case r.member.Incarnation == p.Incarnation && r.state != stateAlive && p.Type != typePing:
		m.send(r, packet{Type: typeGossip})
	}
}

// react answers a packet by its type; m.mu is held.
func (m *Membership) react(from string, p *packet, now time.Time) {
	m.noteStatus(p, now)
	switch p.Type {
	case typePing:
		m.answerPing(from, p)
	case typeAck:
		m.takeAck(p, now)
	case typeIndirect:
		m.relayPing(from, p, now)
	case typeRelayed:
		delete(m.probes, p.Sequence)
		m.lastAck = now
	case typeWho:
		m.sendTo(from, packet{Type: typeGossip, To: p.From}, m.selfUpdate())
	case typeGossip:
	}
}

func (m *Membership) answerPing(from string, p *packet) {
	ack := packet{Type: typeAck, Sequence: p.Sequence, To: p.From}
	var first [][]byte
	if p.To != m.self.Name {
		first = append(first, m.selfUpdate())
	}
	if r := m.records[p.From]; r != nil && r.state != stateAlive {
		first = append(first, encode(r.update()))
	}
	m.sendTo(from, ack, first...)
}

// takeAck ends a probe, or passes the answer on to whoever asked for it.
func (m *Membership) takeAck(p *packet, now time.Time) {
	if r, ok := m.relays[p.Sequence]; ok {
		delete(m.relays, p.Sequence)
		m.sendTo(r.asker, packet{Type: typeRelayed, Sequence: r.sequence})
		return
	}
	open := m.probes[p.Sequence]
	if open == nil {
		return
	}
	delete(m.probes, p.Sequence)
	m.lastAck = now
	if open.name != p.From {
		m.noteReplaced(open, now)
		return
	}
	m.hear(p, open.sent)
}

// noteReplaced marks a member whose address another process answers at.
func (m *Membership) noteReplaced(open *probe, now time.Time) {
	r := m.records[open.name]
	if r != nil && r.live() && r.member.PeerAddress == open.address {
		m.merge(update{Member: r.member, State: stateLeft}, now)
	}
}

func (m *Membership) relayPing(from string, p *packet, now time.Time) {
	if len(m.relays) >= maxRelays {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{asker: from, sequence: p.Sequence, sent: now}
	ping := packet{Type: typePing, Sequence: m.sequence, To: p.To}
	m.sendTo(p.Via, ping)
}

// noteStatus keeps the status of a known sender and passes unsolicited ones
// on; that of an answer follows with the time of its probe. m.mu is held.
func (m *Membership) noteStatus(p *packet, now time.Time) {
	r := m.records[p.From]
	if r == nil || r.member.Incarnation > p.Incarnation {
		return
	}
	r.status, r.heardAt = statusOf(p), now
	if p.Type != typeAck {
		m.hear(p, time.Time{})
	}
}

func (m *Membership) hear(p *packet, asOf time.Time) {
	r := m.records[p.From]
	if r == nil {
		return
	}
	heard := ReceivedStatus{Member: r.member, Status: statusOf(p), AsOf: asOf}
	m.events = append(m.events, func() { m.heard(heard) })
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
	var all []LastStatus
	for _, member := range view.Members {
		last := LastStatus{Member: member, Age: -1}
		if member.Name == m.self.Name {
			last.Status, last.Age = m.status(), 0
		}
		if r := m.records[member.Name]; r != nil && !r.heardAt.IsZero() {
			last.Status, last.Age = r.status, now.Sub(r.heardAt)
		}
		all = append(all, last)
	}
	return all
}
