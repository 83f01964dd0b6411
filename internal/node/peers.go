package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// peerTimeout is how long after its last message an instance counts as live.
	peerTimeout = 3 * time.Second
	// addressRetention is how long an address is kept from which nothing is
	// received and which no other instance names.
	addressRetention = 30 * time.Second
)

// peerTable holds the state of the other instances, as received by gossip.
type peerTable struct {
	clock clockwork.Clock
	self  string
	// configuration is the one in force here.
	configuration *catalog.Holder
	// uptime, if set, is the time since the start, including that for which the machine was
	// suspended, which clock leaves out.
	uptime func() time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	byAddress map[string]*peerState
	// assigned are the instances that an aggregator named as watchers at assignedAt.
	assigned   []string
	assignedAt time.Time
	// watchersSince is since when instances that should watch have had no response to
	// it, watcherSkippedUntil until when those are skipped that had none for too long.
	watchersSince, watcherSkippedUntil map[string]time.Time
}

type peerState struct {
	address string
	// name is "" until a message has been received.
	name string
	// lastMentionedAt is when the address was last named by the settings, the
	// control plane, another instance or a message of its own; lastMessageAt is
	// when the last message that was received from it was sent, zero if none was.
	lastMentionedAt, lastMessageAt time.Time
	incarnation                    int64
	// restarts counts the changes of the incarnation since the address is known, endedAlone those
	// after which the incarnation before had not announced a shutdown.
	restarts, endedAlone int
	configVersion        uint64
	// capacity is the instance's CPU share in hundredths of a core; draining is
	// set while it shuts down.
	capacity int
	draining bool
	// watchedAt is the time of the last response to the instance's own watch of
	// the operator's declarations; zero before the first one and after a
	// failure. peerWatchedAt is the latest such time among the instances that it
	// knows.
	watchedAt, peerWatchedAt time.Time
	// vouchedAt is watchedAt as of the last message that named no newer configuration
	// than the one in force here.
	vouchedAt time.Time
	// behindSince is since when the instance has named the same configuration, while a
	// newer one is in force here; zero if it is not older.
	behindSince time.Time
	// aggregatesSent counts the aggregates sent to the instance, the last one at
	// aggregateSentAt.
	aggregatesSent  int
	aggregateSentAt time.Time
	// aggregateRequestedAt is when the instance was first asked for the
	// aggregate; zero if it is not being asked.
	aggregateRequestedAt time.Time
	transit              transit
	// skippedUntil is the time until which the instance is not used as
	// aggregator.
	skippedUntil time.Time
}

func newPeerTable(clock clockwork.Clock, self string, seeds []string) *peerTable {
	p := &peerTable{
		clock: clock, self: self, configuration: &catalog.Holder{}, byAddress: make(map[string]*peerState),
		watchersSince: make(map[string]time.Time), watcherSkippedUntil: make(map[string]time.Time),
	}
	for _, seed := range seeds {
		p.add(seed)
	}
	return p
}

// add adds or refreshes an address. The caller holds mu or is the only user.
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

// addMembers adds the instances that are listed by the control plane.
func (p *peerTable) addMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.add(m.Address)
	}
}

// recordMessage stores the state in a message. It returns a restart if the sender has restarted
// or was not known before, else nil.
func (p *peerTable) recordMessage(address string, m *message) *restart {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.add(address)
	if state == nil {
		return nil
	}
	var heard *restart
	if state.incarnation != m.Incarnation {
		heard = state.restart(p.clock.Now())
		state.transit = transit{}
	}
	now := p.clock.Now()
	state.transit.record(m.sentAfter(), p.steadyTime(now))
	inForce := p.configuration.Version()
	switch {
	case m.ConfigVersion >= inForce:
		state.behindSince = time.Time{}
	case state.behindSince.IsZero() || m.ConfigVersion != state.configVersion:
		state.behindSince = now
	}
	state.name, state.incarnation, state.configVersion = m.Name, m.Incarnation, m.ConfigVersion
	state.capacity, state.draining = int(m.Capacity), m.Draining
	state.lastMessageAt = now.Add(-state.transit.time)
	state.watchedAt = state.timeOfAge(m.WatchAgeMs)
	state.peerWatchedAt = state.timeOfAge(m.PeerWatchAgeMs)
	if m.ConfigVersion <= inForce || state.watchedAt.IsZero() {
		state.vouchedAt = state.watchedAt
	}
	return heard
}

// restart describes how an instance was heard for the first time since it has started.
type restart struct {
	// before is the incarnation before; 0 if none was heard. hadShutDown reports whether that one
	// had announced its shutdown, and silence is the time since its last message.
	before      int64
	hadShutDown bool
	silence     time.Duration
	// restarts and endedAlone are the counts of the address.
	restarts, endedAlone int
}

// restart counts a change of the incarnation.
func (s *peerState) restart(now time.Time) *restart {
	r := &restart{before: s.incarnation, hadShutDown: s.draining}
	if s.incarnation != 0 {
		r.silence = now.Sub(s.lastMessageAt)
		s.restarts++
		if !s.draining {
			s.endedAlone++
		}
	}
	r.restarts, r.endedAlone = s.restarts, s.endedAlone
	return r
}

// restartCounts returns the restarts of all known instances, and those without a shutdown before.
func (p *peerTable) restartCounts() (restarts, endedAlone int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.byAddress {
		restarts += state.restarts
		endedAlone += state.endedAlone
	}
	return restarts, endedAlone
}

// steadyTime returns a time that goes on while the machine is suspended, like the uptime that
// messages state.
func (p *peerTable) steadyTime(now time.Time) time.Time {
	if p.uptime == nil {
		return now
	}
	return time.Unix(0, 0).Add(p.uptime())
}

// transitTime returns how long the last message from an instance took.
func (p *peerTable) transitTime(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.byAddress[address]; state != nil {
		return state.transit.time
	}
	return 0
}

// behindFor returns how long an instance has named the same configuration, while a newer
// one is in force here; 0 if it is not older.
func (p *peerTable) behindFor(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.byAddress[address]
	if state == nil || state.behindSince.IsZero() {
		return 0
	}
	return p.clock.Since(state.behindSince)
}

// countAggregate counts an aggregate sent to an instance and returns how many it
// has been sent before. The count is kept for each recipient: aggregators send
// to theirs in a regular order, so that with one count for all of them every
// knownAddressesEvery-th aggregate, which carries addresses, could always go to
// the same one.
func (p *peerTable) countAggregate(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.byAddress[address]
	if state == nil {
		return 0
	}
	state.aggregatesSent++
	state.aggregateSentAt = p.clock.Now()
	return state.aggregatesSent - 1
}

// dependents returns the addresses of the instances that learn from this one what others
// send.
func (p *peerTable) dependents() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, state := range p.byAddress {
		if !state.aggregateSentAt.IsZero() && p.clock.Since(state.aggregateSentAt) <= peerTimeout {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// newestConfiguration returns the newest version that a live instance has in force.
func (p *peerTable) newestConfiguration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := uint64(0)
	now := p.clock.Now()
	for _, state := range p.byAddress {
		if state.isLive(now) {
			newest = max(newest, state.configVersion)
		}
	}
	return newest
}

// withNewerConfiguration returns the live instances that have a newer configuration in
// force than a version.
func (p *peerTable) withNewerConfiguration(version uint64) []string {
	var addresses []string
	for _, state := range p.live() {
		if state.configVersion > version {
			addresses = append(addresses, state.address)
		}
	}
	return addresses
}

// incarnation returns the last known incarnation of an instance.
func (p *peerTable) incarnation(address string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.byAddress[address]; state != nil {
		return state.incarnation
	}
	return 0
}

// isLive reports whether the instance has sent a message within peerTimeout.
func (s *peerState) isLive(now time.Time) bool {
	return !s.lastMessageAt.IsZero() && now.Sub(s.lastMessageAt) <= peerTimeout
}

// timeOfAge returns the time that was ms milliseconds before the last message;
// zero for unknownAge.
func (s *peerState) timeOfAge(ms uint32) time.Time {
	if ms == unknownAge {
		return time.Time{}
	}
	return s.lastMessageAt.Add(-time.Duration(ms) * time.Millisecond)
}

// lowestWatchAge returns the age in milliseconds of the latest response to
// another instance's own watch, or unknownAge. Watch ages that others only pass
// on are left out: otherwise they would circulate after the watch has failed. So are
// those of watches that have led to a newer configuration: who relies on this instance
// would take the one in force here for the newest.
func (p *peerTable) lowestWatchAge() uint32 {
	age := uint32(unknownAge)
	for _, state := range p.live() {
		if !state.vouchedAt.IsZero() {
			age = min(age, ageMillis(p.clock.Since(state.vouchedAt)))
		}
	}
	return age
}

// watchedRecently reports whether another instance's watch was answered
// recently. An instance behind an aggregator also relies on the watches that its
// peers pass on.
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

// addresses returns the known addresses in order, and removes those that have
// expired.
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

// mayRelay returns the instances that may be reached and are not known to shut down: the
// live ones in a mesh, in which an instance hears all others, and all known ones with
// aggregators.
func (p *peerTable) mayRelay() []string {
	addresses := p.addresses()
	isMesh := len(addresses)+1 <= maxMeshSize
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	return slices.DeleteFunc(addresses, func(address string) bool {
		state := p.byAddress[address]
		if state == nil {
			return true
		}
		isLive := state.isLive(now)
		return isMesh && !isLive || isLive && state.draining
	})
}

// live returns the instances that have sent a message within peerTimeout, the
// one with the newest configuration first.
func (p *peerTable) live() []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var live []peerState
	for _, state := range p.byAddress {
		if state.isLive(now) {
			live = append(live, *state)
		}
	}
	slices.SortFunc(live, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.configVersion, a.configVersion), cmp.Compare(a.address, b.address))
	})
	return live
}

// unheard returns the known addresses of the instances that are not live.
func (p *peerTable) unheard() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var addresses []string
	for address, state := range p.byAddress {
		if !state.isLive(now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addAddresses adds addresses of instances.
func (p *peerTable) addAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		p.add(address)
	}
}

// rank returns the number of live instances that are not draining and precede
// this one in address order.
func (p *peerTable) rank() int {
	rank := 0
	for _, state := range p.live() {
		if state.address < p.self && !state.draining {
			rank++
		}
	}
	return rank
}
