package membership

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// state is the state of a member. At one incarnation a higher state supersedes
// a lower one.
type state uint8

const (
	stateAlive   state = 1
	stateSuspect state = 2
	stateDead    state = 3
	stateLeft    state = 4
)

func (s state) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, stateLeft)]
}

// memberUpdate is the state of a member as sent to other instances.
type memberUpdate struct {
	Member Member `json:"member"`
	State  state  `json:"state"`
}

// record is what this instance knows of another one.
type record struct {
	member Member
	state  state
	// stateSince is when state was set or last replaced by an update.
	stateSince time.Time
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Time
	// replaced is true for a dead member that is missing from the instance
	// list.
	replaced bool
	// status is the last one received, at statusReceivedAt; zero if none was.
	status           Status
	statusReceivedAt time.Time
}

// live reports whether the member is alive or suspect.
func (r *record) live() bool { return r.state == stateAlive || r.state == stateSuspect }

func (r *record) toUpdate() memberUpdate { return memberUpdate{Member: r.member, State: r.state} }

// supersededBy reports whether u is newer than the record.
func (r *record) supersededBy(u memberUpdate) bool {
	if u.Member.Incarnation != r.member.Incarnation {
		return u.Member.Incarnation > r.member.Incarnation
	}
	return u.State > r.state
}

// mergeUpdate applies an update from any source if it supersedes the record;
// m.mu is held.
func (m *Membership) mergeUpdate(u memberUpdate, now time.Time) {
	if u.Member.Name == "" || u.State < stateAlive || u.State > stateLeft {
		return
	}
	if u.Member.Name == m.self.Name {
		m.refute(u)
		return
	}
	r := m.records[u.Member.Name]
	if r != nil && !r.supersededBy(u) {
		return
	}
	if r == nil {
		r = &record{}
		m.records[u.Member.Name] = r
	}
	m.applyUpdate(r, u, now)
	if r.live() {
		m.resolveAddress(r, now)
	}
}

// applyUpdate writes an update to its record and disseminates it; m.mu is held.
func (m *Membership) applyUpdate(r *record, u memberUpdate, now time.Time) {
	if r.state != u.State {
		m.logger.Info("member state changed", zap.String("member", u.Member.Name),
			zap.Stringer("state", u.State), zap.Uint64("incarnation", u.Member.Incarnation))
	}
	wasLive := r.live()
	if r.member.PeerAddress != u.Member.PeerAddress && m.nameByAddress[r.member.PeerAddress] == r.member.Name {
		delete(m.nameByAddress, r.member.PeerAddress)
	}
	m.viewChanged = m.viewChanged || wasLive != (u.State <= stateSuspect) || r.member != u.Member
	r.member, r.state, r.stateSince, r.replaced = u.Member, u.State, now, false
	if u.State == stateSuspect {
		r.suspicionDeadline = now.Add(suspicionTimeout(len(m.records) + 1))
	}
	if !m.gossipSuppressed {
		m.gossipQueue.add(memberKey(u.Member.Name), encode(u), transmitLimit(len(m.records)+1))
	}
}

// resolveAddress resolves conflicts over an address. Of two live members at one
// address the one with the higher incarnation is kept, and the other is marked
// as left, since it was replaced. m.mu is held.
func (m *Membership) resolveAddress(r *record, now time.Time) {
	address := r.member.PeerAddress
	other := m.records[m.nameByAddress[address]]
	if other == nil || other == r || !other.live() || other.member.PeerAddress != address {
		m.nameByAddress[address] = r.member.Name
		return
	}
	replaced := other
	if other.member.Incarnation > r.member.Incarnation {
		replaced = r
	} else {
		m.nameByAddress[address] = r.member.Name
	}
	m.applyUpdate(replaced, memberUpdate{Member: replaced.member, State: stateLeft}, now)
}

// refute handles an update about this instance. If its incarnation is higher
// than that of this instance, or the same with a state other than alive, this
// instance raises its incarnation above it. m.mu is held.
func (m *Membership) refute(u memberUpdate) {
	if m.hasLeft {
		return
	}
	sameIncarnation := u.Member.Incarnation == m.self.Incarnation
	if u.Member.Incarnation < m.self.Incarnation || (sameIncarnation && u.State == stateAlive) {
		return
	}
	m.logNameConflict(u)
	m.raiseIncarnation(u.Member.Incarnation + 1)
}

// logNameConflict logs that another process has this instance's name. Both
// would raise their incarnations without end. m.mu is held.
func (m *Membership) logNameConflict(u memberUpdate) {
	address := u.Member.PeerAddress
	if u.State != stateAlive || address == m.self.PeerAddress || address == m.conflictingAddress {
		return
	}
	m.conflictingAddress = address
	m.logger.Error("another process has the name of this instance", zap.String("address", address))
}

// raiseIncarnation sets this instance's incarnation and disseminates it; m.mu
// is held.
func (m *Membership) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.viewChanged = true
	m.gossipQueue.add(memberKey(m.self.Name), m.selfUpdate(), transmitLimit(len(m.records)+1))
}

func (m *Membership) selfUpdate() []byte {
	return encode(memberUpdate{Member: m.self, State: stateAlive})
}

// expireRecords declares suspects dead whose deadline has passed, and removes
// tombstones that are too old or too many; m.mu is held.
func (m *Membership) expireRecords(now time.Time) {
	tombstones := 0
	for name, r := range m.records {
		switch {
		case r.state == stateSuspect && !now.Before(r.suspicionDeadline):
			m.applyUpdate(r, memberUpdate{Member: r.member, State: stateDead}, now)
		case !r.live() && now.Sub(r.stateSince) > tombstoneRetention:
			m.removeRecord(name)
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
		if !r.live() && (oldest == nil || r.stateSince.Before(oldest.stateSince)) {
			oldest = r
		}
	}
	m.removeRecord(oldest.member.Name)
}

func (m *Membership) removeRecord(name string) {
	address := m.records[name].member.PeerAddress
	if m.nameByAddress[address] == name {
		delete(m.nameByAddress, address)
	}
	delete(m.records, name)
}

// randomMembers returns the names of up to n random live members except the
// excluded one; m.mu is held.
func (m *Membership) randomMembers(n int, excluded string) []string {
	members := m.view.Load().Members
	var picked []string
	for range 3 * n {
		if len(picked) == n || len(members) < 2 {
			break
		}
		name := members[m.rand.IntN(len(members))].Name
		r := m.records[name]
		if r == nil || !r.live() || name == excluded || slices.Contains(picked, name) {
			continue
		}
		picked = append(picked, name)
	}
	return picked
}
