package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Options configure a Membership.
type Options struct {
	// Self is this instance. A zero Incarnation is replaced by the wall-clock
	// time in milliseconds, so that a new process supersedes an earlier one
	// with the same name.
	Self Member
	// Bus carries datagrams and calls; New registers the handlers.
	Bus peer.Bus
	// Seeds are the peer addresses to join through; they may be unreachable.
	Seeds []string
	// List is the platform's instance list; nil if there is none. For an entry
	// instance, its address in the list is the peer address.
	List platform.InstanceList
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand chooses peers and randomizes intervals; it defaults to a randomly
	// seeded source.
	Rand *rand.Rand
	// Logger logs state changes; nil discards them.
	Logger *zap.Logger
}

// Membership implements Viewer and Rumors over a peer.Bus.
//
// In each probe period an instance pings one other member, in a random order
// that reaches all of them. A member that acknowledges neither the direct ping
// nor the indirect ones becomes suspect, and dead unless it refutes the
// suspicion in time by raising its incarnation. Member updates and rumors are
// piggybacked on the probes, and sent in gossip packets while any are queued;
// each is transmitted a number of times that grows with the logarithm of the
// number of members. At random intervals an instance syncs with one other by a
// call that compares digests and exchanges the differences, so that updates
// lost in transit are delivered.
//
// Invariants: of two updates about a member the one with the higher incarnation
// is kept, then alive < suspect < dead < left; only the member itself raises
// its incarnation. The number of packets that an instance sends per second does
// not grow with the number of instances.
type Membership struct {
	bus    peer.Bus
	list   platform.InstanceList
	clock  clockwork.Clock
	logger *zap.Logger
	seeds  []string

	view atomic.Pointer[View]
	// localStatus and onStatus are set before Run.
	localStatus func() Status
	onStatus    func(ReceivedStatus)
	// listeners, subscribers and pauseListeners are registered before Run.
	listeners      []func(*View)
	subscribers    map[RumorKind][]func(Rumor)
	pauseListeners []func(time.Duration)
	// gossipRequested wakes the loop to gossip immediately.
	gossipRequested chan struct{}

	// mu guards the fields below. No datagram is sent and no listener called
	// while it is held; see change.
	mu      sync.Mutex
	rand    *rand.Rand
	self    Member
	hasLeft bool
	// conflictingAddress is the address of another process with the same name.
	conflictingAddress string
	records            map[string]*record
	nameByAddress      map[string]string
	gossipQueue        transmitQueue
	rumors             rumorSet
	probeOrder         []string
	pendingProbes      map[uint32]*probe
	pendingRelays      map[uint32]relay
	sequence           uint32
	firstTick          time.Time
	lastTick           time.Time
	nextProbe          time.Time
	// nextGossip limits the rate of gossip packets.
	nextGossip time.Time
	lastAck    time.Time
	// resyncPending is true from a detected pause until a sync succeeds or no
	// other member is live. Failure detection is suspended while it is true,
	// but not beyond resyncUntil.
	resyncPending bool
	resyncUntil   time.Time
	// listedAddresses holds the addresses of the entry instances in the
	// instance list, and listLength is the length of the whole list.
	listedAddresses []string
	listLength      int
	// gossipSuppressed prevents members learned by the first join from being
	// disseminated again.
	gossipSuppressed bool
	// nextSync is the time of the next sync, and fastSyncsLeft the number of
	// syncs left that use fastSyncInterval.
	nextSync      time.Time
	fastSyncsLeft int
	viewChanged   bool
	outgoing      []datagram
	callbacks     []func()
	notifying     bool
}

// datagram is queued to be sent after m.mu is released.
type datagram struct {
	address string
	body    []byte
}

// New returns a membership that knows only itself. The protocol starts with
// Run.
func New(options Options) *Membership {
	m := &Membership{
		bus:             options.Bus,
		list:            options.List,
		clock:           options.Clock,
		logger:          options.Logger,
		seeds:           options.Seeds,
		subscribers:     make(map[RumorKind][]func(Rumor)),
		gossipRequested: make(chan struct{}, 1),
		rand:            options.Rand,
		self:            options.Self,
		records:         make(map[string]*record),
		nameByAddress:   make(map[string]string),
		rumors:          newRumorSet(),
		pendingProbes:   make(map[uint32]*probe),
		pendingRelays:   make(map[uint32]relay),
		localStatus:     func() Status { return Status{} },
		onStatus:        func(ReceivedStatus) {},
	}
	if m.clock == nil {
		m.clock = clockwork.NewRealClock()
	}
	if m.logger == nil {
		m.logger = zap.NewNop()
	}
	if m.rand == nil {
		m.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if m.self.Incarnation == 0 {
		m.self.Incarnation = uint64(m.clock.Now().UnixMilli())
	}
	m.self.StartIncarnation = m.self.ProcessID()
	m.view.Store(newView(1, m.self, nil))
	m.bus.HandleDatagram(peer.KindProbe, m.handleDatagram)
	m.bus.Handle(methodSync, m.handleSync)
	return m
}

// View implements Viewer.
func (m *Membership) View() *View { return m.view.Load() }

// OnChange implements Viewer.
func (m *Membership) OnChange(listener func(*View)) { m.listeners = append(m.listeners, listener) }

// OnPause registers a function that is called with the length of the gap when
// this process detects that it was paused. Register before Run.
func (m *Membership) OnPause(listener func(time.Duration)) {
	m.pauseListeners = append(m.pauseListeners, listener)
}

// PiggybackStatus makes packets carry the status returned by local, and calls
// onStatus with those received. Neither function may block, and local must not
// call the membership. Register before Run.
func (m *Membership) PiggybackStatus(local func() Status, onStatus func(ReceivedStatus)) {
	m.localStatus = local
	m.onStatus = onStatus
}

// Run runs the protocol until ctx ends, and returns the error of ctx. The bus
// must have been started.
func (m *Membership) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { m.runTicks(ctx) })
	wg.Go(func() { m.runSyncs(ctx) })
	wg.Go(func() { m.runJoins(ctx) })
	wg.Wait()
	return errors.Wrap(ctx.Err(), "membership")
}

func (m *Membership) runTicks(ctx context.Context) {
	ticker := m.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.tick()
		case <-m.gossipRequested:
			m.change(m.gossip)
		}
	}
}

// change runs f with m.mu held. It then publishes the new view and, without the
// lock, sends the datagrams that f queued and calls the listeners.
func (m *Membership) change(f func(now time.Time)) {
	m.mu.Lock()
	f(m.clock.Now())
	m.publishView()
	queued := m.outgoing
	m.outgoing = nil
	m.mu.Unlock()
	for _, d := range queued {
		// A datagram that cannot be sent is treated like a lost one.
		_ = m.bus.Send(d.address, peer.KindProbe, d.body)
	}
	m.notify()
}

// notify calls the queued callbacks in order, one at a time. A call from within
// a callback returns immediately, and the outer one continues.
func (m *Membership) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.notifying {
		return
	}
	m.notifying = true
	for len(m.callbacks) > 0 {
		callback := m.callbacks[0]
		m.callbacks = m.callbacks[1:]
		m.mu.Unlock()
		callback()
		m.mu.Lock()
	}
	m.notifying = false
}

// publishView replaces the view if a member has changed; m.mu is held.
func (m *Membership) publishView() {
	if !m.viewChanged {
		return
	}
	m.viewChanged = false
	var others []Member
	for _, r := range m.records {
		if r.live() {
			others = append(others, r.member)
		}
	}
	next := newView(m.view.Load().Sequence+1, m.self, others)
	m.view.Store(next)
	m.callbacks = append(m.callbacks, func() {
		for _, listener := range m.listeners {
			listener(next)
		}
	})
}

// requestGossip wakes the loop to gossip without waiting for the next tick.
func (m *Membership) requestGossip() {
	select {
	case m.gossipRequested <- struct{}{}:
	default:
	}
}

// MarkLeaving announces that this instance takes no new responsibilities.
func (m *Membership) MarkLeaving() {
	m.change(func(time.Time) {
		m.self.Leaving = true
		m.raiseIncarnation(m.self.Incarnation + 1)
	})
	m.requestGossip()
}

// Leave announces that this instance has left, so that the others need not
// detect it. The instance ignores all packets from then on.
func (m *Membership) Leave(ctx context.Context) error {
	for range leaveRounds {
		m.change(func(time.Time) {
			m.self.Leaving = true
			m.hasLeft = true
			m.announceLeave()
		})
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "membership: leave")
		case <-m.clock.After(leaveInterval):
		}
	}
	return nil
}

// announceLeave sends the state left to leaveFanout random members; m.mu is
// held.
func (m *Membership) announceLeave() {
	leaveUpdate := encode(memberUpdate{Member: m.self, State: stateLeft})
	for _, name := range m.randomMembers(leaveFanout, "") {
		m.send(m.records[name], packet{Type: typeGossip}, leaveUpdate)
	}
}

// Reach describes how much of the deployment this instance is connected to.
type Reach struct {
	// Live is the number of members in the view, including this instance.
	Live int
	// Known is Live plus the number of members that died within
	// knownDeadPeriod. Members that left are not included, nor are those that
	// the instance list shows to have been replaced.
	Known int
	// LastAck is the time of the last probe acknowledgement or sync response;
	// zero if there was none.
	LastAck time.Time
	// Joined is true once the instance has found another member, if it has no
	// way to discover one, or after joinGracePeriod.
	Joined bool
}

// Majority reports whether more than half of the known members are live.
func (r Reach) Majority() bool { return 2*r.Live > r.Known }

// Reach returns the current reach.
func (m *Membership) Reach() Reach {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	reach := Reach{Live: 1, Known: 1, LastAck: m.lastAck}
	for _, r := range m.records {
		switch {
		case r.live():
			reach.Live++
			reach.Known++
		case r.state == stateDead && !r.replaced && now.Sub(r.stateSince) < knownDeadPeriod:
			reach.Known++
		}
	}
	reach.Joined = reach.Live > 1 || !m.canDiscoverOthers() || m.joinGraceExpired(now)
	return reach
}

// canDiscoverOthers reports whether there is an instance list or a seed other
// than this instance.
func (m *Membership) canDiscoverOthers() bool {
	return m.list != nil || slices.ContainsFunc(m.seeds, func(seed string) bool {
		return seed != m.self.PeerAddress
	})
}

// joinGraceExpired reports whether joinGracePeriod has passed since the first
// tick; m.mu is held.
func (m *Membership) joinGraceExpired(now time.Time) bool {
	return !m.firstTick.IsZero() && now.Sub(m.firstTick) >= joinGracePeriod
}
