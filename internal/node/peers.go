package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// peerSilence is how long an instance may be unheard and still count as
	// one that shares the work.
	peerSilence = 3 * time.Second
	// peerForget is how long an address is kept that nothing comes from.
	peerForget = 30 * time.Second
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
	// introduced is when the address was last told, heard when something last
	// came from there; zero if never.
	introduced, heard time.Time
	incarnation       int64
	config            uint64
	// capacity is its processor share in hundredths of a core; draining is set
	// while it shuts down.
	capacity int
	draining bool
	// watchedAt is when the instance's own watch of the operator's declarations
	// was last answered; zero if it does not watch or its watch has failed.
	// heardWatchAt is the same for the best of those that it hears of.
	watchedAt, heardWatchAt time.Time
	// askedAt is when the instance was first asked to gather; zero if not.
	askedAt time.Time
	// passedUntil is until when it is not asked to gather.
	passedUntil time.Time
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
	state.introduced = p.clock.Now()
	return state
}

// introduce notes instances that others know.
func (p *peerTable) introduce(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.add(m.Address)
	}
}

// heard notes a message. Fresh tells that its sender has restarted or was not
// known.
func (p *peerTable) heard(address string, m *message) (fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.add(address)
	if state == nil {
		return false
	}
	fresh = state.incarnation != m.Incarnation
	state.name, state.incarnation, state.config = m.Name, m.Incarnation, m.ConfigVersion
	state.capacity, state.draining = int(m.Capacity), m.Draining
	state.heard = p.clock.Now()
	state.watchedAt = state.ago(m.WatchAgeMs)
	state.heardWatchAt = state.ago(m.PeerWatchAgeMs)
	return fresh
}

// ago returns the moment that was so many milliseconds before the instance was
// last heard; zero for noRead.
func (s *peerState) ago(ms uint32) time.Time {
	if ms == noRead {
		return time.Time{}
	}
	return s.heard.Add(-time.Duration(ms) * time.Millisecond)
}

// heardWatchAge returns the time since the last answer to a watch of another
// instance, in milliseconds; noRead for none. What others have only heard of is
// not passed on, so that the news of a failed watch is not outlived.
func (p *peerTable) heardWatchAge() uint32 {
	age := uint32(noRead)
	for _, state := range p.live() {
		if !state.watchedAt.IsZero() {
			age = min(age, toMillis(p.clock.Since(state.watchedAt)))
		}
	}
	return age
}

// watched reports whether another instance's watch was answered lately. One for
// whom others gather relies on what they hear of, too.
func (p *peerTable) watched(gatheredFor bool) bool {
	fresh := watchFresh
	if gatheredFor {
		fresh = watchFreshGathered
	}
	for _, state := range p.live() {
		at := state.watchedAt
		if gatheredFor {
			at = later(at, state.heardWatchAt)
		}
		if !at.IsZero() && p.clock.Since(at) < fresh {
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
		if now.Sub(later(state.heard, state.introduced)) > peerForget {
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
		if !state.heard.IsZero() && now.Sub(state.heard) <= peerSilence {
			live = append(live, *state)
		}
	}
	slices.SortFunc(live, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.config, a.config), cmp.Compare(a.address, b.address))
	})
	return live
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// introduceAddresses notes addresses of instances.
func (p *peerTable) introduceAddresses(addresses []string) {
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
