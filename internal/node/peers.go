package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// peerTimeout is how long an instance may be unheard and still count as
	// one that shares the work.
	peerTimeout = 3 * time.Second
	// addressRetention is how long an address is kept that nothing comes from.
	addressRetention = 30 * time.Second
)

// peerTable knows the other instances by what comes from them.
type peerTable struct {
	clock clockwork.Clock
	self  string

	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]*peerState
}

type peerState struct {
	address string
	// name is "" until something has been heard.
	name string
	// lastMentionedAt is when the address was last told, lastMessageAt when something last
	// came from there; zero if never.
	lastMentionedAt, lastMessageAt time.Time
	incarnation                    int64
	configVersion                  uint64
	// capacity is its processor share in hundredths of a core; draining is set
	// while it shuts down.
	capacity int
	draining bool
	// watchedAt is when the instance's own watch of the operator's declarations
	// was last answered; zero if it does not watch or its watch has failed.
	// peerWatchedAt is the same for the best of those that it hears of.
	watchedAt, peerWatchedAt time.Time
	// aggregateRequestedAt is when the instance was first asked to gather; zero if not.
	aggregateRequestedAt time.Time
	// skippedUntil is until when it is not asked to gather.
	skippedUntil time.Time
}

func newPeerTable(clock clockwork.Clock, self string, seeds []string) *peerTable {
	p := &peerTable{clock: clock, self: self, byAddress: make(map[string]*peerState)}
	for _, seed := range seeds {
		p.add(seed)
	}
	return p
}

// add notes an address; mu is held or nobody else knows the table.
func (p *peerTable) add(address string) *peerState {
	if address == p.self || address == "" {
		return nil
	}
	state := p.byAddress[address]
	if state == nil {
		state = &peerState{address: address}
		p.byAddress[address] = state
	}
	state.lastMentionedAt = p.clock.Now()
	return state
}

// addMembers notes instances that others know.
func (p *peerTable) addMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.add(m.Address)
	}
}

// recordMessage notes a message. Fresh tells that its sender has restarted or was not
// known.
func (p *peerTable) recordMessage(address string, m *message) (restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.add(address)
	if state == nil {
		return false
	}
	restarted = state.incarnation != m.Incarnation
	state.name, state.incarnation, state.configVersion = m.Name, m.Incarnation, m.ConfigVersion
	state.capacity, state.draining = int(m.Capacity), m.Draining
	state.lastMessageAt = p.clock.Now()
	state.watchedAt = state.timeOfAge(m.WatchAgeMs)
	state.peerWatchedAt = state.timeOfAge(m.PeerWatchAgeMs)
	return restarted
}

// timeOfAge returns the moment that was so many milliseconds before the instance was
// last heard; zero for noRead.
func (s *peerState) timeOfAge(ms uint32) time.Time {
	if ms == unknownAge {
		return time.Time{}
	}
	return s.lastMessageAt.Add(-time.Duration(ms) * time.Millisecond)
}

// lowestWatchAge returns the time since the last answer to a watch of another
// instance, in milliseconds; noRead for none. What others have only heard of is
// not passed on, so that the news of a failed watch is not outlived.
func (p *peerTable) lowestWatchAge() uint32 {
	age := uint32(unknownAge)
	for _, state := range p.live() {
		if !state.watchedAt.IsZero() {
			age = min(age, ageMillis(p.clock.Since(state.watchedAt)))
		}
	}
	return age
}

// watchedRecently reports whether another instance's watch was answered lately. One for
// whom others gather relies on what they hear of, too.
func (p *peerTable) watchedRecently(viaAggregator bool) bool {
	maxAge := maxWatchAge
	if viaAggregator {
		maxAge = maxWatchAgeAggregated
	}
	for _, state := range p.live() {
		watchedAt := state.watchedAt
		if viaAggregator {
			watchedAt = latest(watchedAt, state.peerWatchedAt)
		}
		if !watchedAt.IsZero() && p.clock.Since(watchedAt) < maxAge {
			return true
		}
	}
	return false
}

// addresses returns where to send to, and drops those long silent.
func (p *peerTable) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	addresses := make([]string, 0, len(p.byAddress))
	for address, state := range p.byAddress {
		if now.Sub(latest(state.lastMessageAt, state.lastMentionedAt)) > addressRetention {
			delete(p.byAddress, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// live returns the addresses of instances heard lately, the one with the
// newest configuration first.
func (p *peerTable) live() []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var live []peerState
	for _, state := range p.byAddress {
		if !state.lastMessageAt.IsZero() && now.Sub(state.lastMessageAt) <= peerTimeout {
			live = append(live, *state)
		}
	}
	slices.SortFunc(live, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.configVersion, a.configVersion), cmp.Compare(a.address, b.address))
	})
	return live
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addAddresses notes addresses of instances.
func (p *peerTable) addAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		p.add(address)
	}
}

// rank returns how many live instances that do not shut down come before this
// one in the order of addresses.
func (p *peerTable) rank() int {
	rank := 0
	for _, state := range p.live() {
		if state.address < p.self && !state.draining {
			rank++
		}
	}
	return rank
}
