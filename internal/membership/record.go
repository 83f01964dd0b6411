package membership

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// state is what is said of a member; at one incarnation a higher one stands.
type state uint8

const (
	stateAlive   state = 1
	stateSuspect state = 2
	stateDead    state = 3
	stateLeft    state = 4
)

// String returns the state's name.
func (s state) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, stateLeft)]
}

// update is a statement about a member, as sent to others.
type update struct {
	Member Member `json:"member"`
	State  state  `json:"state"`
}

// record is what this instance knows of another.
type record struct {
	member Member
	state  state
	// changed is when state was set.
	changed time.Time
	// deadline is when a suspect becomes dead.
	deadline time.Time
	// replaced is set for a dead member that the instance list lacks.
	replaced bool
	// status is the last one heard, heardAt when; zero if never.
	status  Status
	heardAt time.Time
}

func (r *record) live() bool { return r.state == stateAlive || r.state == stateSuspect }

func (r *record) update() update { return update{Member: r.member, State: r.state} }

// older tells whether u outranks what the record says.
func (r *record) older(u update) bool {
	if u.Member.Incarnation != r.member.Incarnation {
		return u.Member.Incarnation > r.member.Incarnation
	}
	return u.State > r.state
}

// merge takes a statement from whatever source; m.mu is held.
func (m *Membership) merge(u update, now time.Time) {
	if u.Member.Name == "" || u.State < stateAlive || u.State > stateLeft {
		return
	}
	if u.Member.Name == m.self.Name {
		m.refute(u)
		return
	}
	r := m.records[u.Member.Name]
	if r != nil && !r.older(u) {
		return
	}
	if r == nil {
		r = &record{}
		m.records[u.Member.Name] = r
	}
	m.set(r, u, now)
	if r.live() {
		m.claimAddress(r, now)
	}
}

// set writes a statement to its record and spreads it; m.mu is held.
func (m *Membership) set(r *record, u update, now time.Time) {
	if r.state != u.State {
		m.logger.Info("member changed", zap.String("member", u.Member.Name),
			zap.Stringer("state", u.State), zap.Uint64("incarnation", u.Member.Incarnation))
	}
	wasLive := r.live()
	if r.member.PeerAddress != u.Member.PeerAddress && m.byAddress[r.member.PeerAddress] == r.member.Name {
		delete(m.byAddress, r.member.PeerAddress)
	}
	m.dirty = m.dirty || wasLive != (u.State <= stateSuspect) || r.member != u.Member
	r.member, r.state, r.changed, r.replaced = u.Member, u.State, now, false
	if u.State == stateSuspect {
		r.deadline = now.Add(suspicion(len(m.records) + 1))
	}
	if !m.quiet {
		m.queue.put(memberKey(u.Member.Name), encode(u), transmits(len(m.records)+1))
	}
}

// claimAddress settles who holds an address: of two members that live there
// the one started last; the other was replaced. m.mu is held.
func (m *Membership) claimAddress(r *record, now time.Time) {
	address := r.member.PeerAddress
	other := m.records[m.byAddress[address]]
	if other == nil || other == r || !other.live() || other.member.PeerAddress != address {
		m.byAddress[address] = r.member.Name
		return
	}
	loser := other
	if other.member.Incarnation > r.member.Incarnation {
		loser = r
	} else {
		m.byAddress[address] = r.member.Name
	}
	m.set(loser, update{Member: loser.member, State: stateLeft}, now)
}

// refute answers a statement about this instance itself; m.mu is held.
func (m *Membership) refute(u update) {
	if m.left {
		return
	}
	same := u.Member.Incarnation == m.self.Incarnation
	if u.Member.Incarnation < m.self.Incarnation || (same && u.State == stateAlive) {
		return
	}
	m.noteRival(u)
	m.renew(u.Member.Incarnation + 1)
}

// noteRival warns of another process with this instance's name: both would
// raise their incarnations without end. m.mu is held.
func (m *Membership) noteRival(u update) {
	rival := u.Member.PeerAddress
	if u.State != stateAlive || rival == m.self.PeerAddress || rival == m.rival {
		return
	}
	m.rival = rival
	m.logger.Error("another process uses this instance's name", zap.String("address", rival))
}

// renew raises the own incarnation and spreads it; m.mu is held.
func (m *Membership) renew(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.dirty = true
	m.queue.put(memberKey(m.self.Name), m.selfUpdate(), transmits(len(m.records)+1))
}

func (m *Membership) selfUpdate() []byte {
	return encode(update{Member: m.self, State: stateAlive})
}

// expire turns suspects whose time is up into dead members and forgets old
// ones; m.mu is held.
func (m *Membership) expire(now time.Time) {
	tombstones := 0
	for name, r := range m.records {
		switch {
		case r.state == stateSuspect && !now.Before(r.deadline):
			m.set(r, update{Member: r.member, State: stateDead}, now)
		case !r.live() && now.Sub(r.changed) > deadRetention:
			m.forget(name)
		case !r.live():
			tombstones++
		}
	}
	for ; tombstones > maxTombstones; tombstones-- {
		m.dropOldestTombstone()
	}
}

func (m *Membership) dropOldestTombstone() {
	var oldest *record
	for _, r := range m.records {
		if !r.live() && (oldest == nil || r.changed.Before(oldest.changed)) {
			oldest = r
		}
	}
	m.forget(oldest.member.Name)
}

func (m *Membership) forget(name string) {
	address := m.records[name].member.PeerAddress
	if m.byAddress[address] == name {
		delete(m.byAddress, address)
	}
	delete(m.records, name)
}

// pick returns up to n random live members other than except; m.mu is held.
func (m *Membership) pick(n int, except string) []string {
	members := m.view.Load().Members
	var picked []string
	for range 3 * n {
		if len(picked) == n || len(members) < 2 {
			break
		}
		name := members[m.rand.IntN(len(members))].Name
		r := m.records[name]
		if r == nil || !r.live() || name == except || slices.Contains(picked, name) {
			continue
		}
		picked = append(picked, name)
	}
	return picked
}
