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

// Options describe a Membership.
type Options struct {
	// Self is this instance. A zero Incarnation is replaced by the wall clock
	// in milliseconds, so that a new process outranks its predecessor of the
	// same name.
	Self Member
	// Bus carries probes and calls; its handlers are registered by New.
	Bus peer.Bus
	// Seeds are peer addresses to join by; they may be unreachable.
	Seeds []string
	// List is the platform's instance list, nil for none. The address of an
	// entry instance in it is its peer address.
	List platform.InstanceList
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
	// Rand chooses peers; nil means a seed of the runtime's.
	Rand *rand.Rand
	// Logger takes changes of state; nil discards them.
	Logger *zap.Logger
}

// Membership is a Viewer and a Rumors over a peer.Bus.
//
// Each period an instance probes one other, in a random order that reaches
// all. One that answers neither directly nor through helpers becomes suspect,
// and dead unless it refutes that in time by raising its incarnation. News of
// members and rumours travel on the probes, and in gossip packets while there
// is any; each is sent a number of times that grows with the logarithm of the
// deployment. Now and then an instance compares digests with one other by a
// call and exchanges what differs, so that news lost on the way arrives.
//
// Invariants: of two statements about a member the one with the higher
// incarnation stands, then alive < suspect < dead < left; only the member
// itself raises its incarnation. The packets an instance sends each second do
// not grow with the number of instances.
type Membership struct {
	bus    peer.Bus
	list   platform.InstanceList
	clock  clockwork.Clock
	logger *zap.Logger
	seeds  []string

	view atomic.Pointer[View]
	// localStatus and heard are set before Run.
	localStatus func() Status
	onStatus    func(ReceivedStatus)
	// listeners, subscribers and pauses are registered before Run.
	listeners      []func(*View)
	subscribers    map[RumorKind][]func(Rumor)
	pauseListeners []func(time.Duration)
	// gossipRequested asks the loop to gossip at once.
	gossipRequested chan struct{}

	// mu guards the fields below. Nothing is sent, and no listener called,
	// while it is held: see change.
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
	// nextGossip limits gossip packets.
	nextGossip time.Time
	lastAck    time.Time
	// resyncPending is set from a detected pause until a full exchange, or until
	// resyncUntil.
	resyncPending bool
	resyncUntil   time.Time
	// listedAddresses are the entry instances of the instance list, and listEntries
	// the length of the whole list.
	listedAddresses []string
	listLength      int
	// gossipSuppressed keeps the members learned by joining from being spread back.
	gossipSuppressed bool
	// nextSync is when to compare again; eagerSyncs counts the comparisons
	// left that follow joining closely.
	nextSync      time.Time
	fastSyncsLeft int
	viewChanged   bool
	outgoing      []datagram
	callbacks     []func()
	notifying     bool
}

// datagram is a datagram to be sent once the lock is free.
type datagram struct {
	address string
	body    []byte
}

// New returns a membership that knows only itself; it begins with Run.
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

// OnPause registers a function called when this process finds that it did not
// run for a while, with the length of the gap. Register before Run.
func (m *Membership) OnPause(listener func(time.Duration)) {
	m.pauseListeners = append(m.pauseListeners, listener)
}

// PiggybackStatus makes probes carry the status that local returns, and gives heard
// those of others. Both must return at once; local must not call the
// membership. Register before Run.
func (m *Membership) PiggybackStatus(local func() Status, onStatus func(ReceivedStatus)) {
	m.localStatus = local
	m.onStatus = onStatus
}

// Run keeps the membership until ctx ends, and returns why it ended. The bus
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

// change runs f under the lock, then publishes the new view, sends what f
// queued and calls the listeners, without the lock.
func (m *Membership) change(f func(now time.Time)) {
	m.mu.Lock()
	f(m.clock.Now())
	m.publishView()
	queued := m.outgoing
	m.outgoing = nil
	m.mu.Unlock()
	for _, d := range queued {
		// A datagram that cannot be sent is as one that is lost.
		_ = m.bus.Send(d.address, peer.KindProbe, d.body)
	}
	m.notify()
}

// notify calls the queued listeners in order, one at a time. A call from
// within a listener returns at once: the outer one carries on.
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

// publishView replaces the view if a member changed; m.mu is held.
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

// requestGossip asks the loop to gossip without waiting for the next tick.
func (m *Membership) requestGossip() {
	select {
	case m.gossipRequested <- struct{}{}:
	default:
	}
}

// MarkLeaving tells all that this instance takes no new duties.
func (m *Membership) MarkLeaving() {
	m.change(func(time.Time) {
		m.self.Leaving = true
		m.raiseIncarnation(m.self.Incarnation + 1)
	})
	m.requestGossip()
}

// Leave tells others that this instance is gone, so that nobody has to detect
// it. The instance answers no probes from then on.
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

// announceLeave tells a random few that this instance left; m.mu is held.
func (m *Membership) announceLeave() {
	leaveUpdate := encode(memberUpdate{Member: m.self, State: stateLeft})
	for _, name := range m.randomMembers(leaveFanout, "") {
		m.send(m.records[name], packet{Type: typeGossip}, leaveUpdate)
	}
}

// Reach tells how much of the deployment this instance is in contact with.
type Reach struct {
	// Live counts the members in the view, this instance included.
	Live int
	// Known counts Live and those that died in the last knownWindow, without
	// those that left or are known to have been replaced.
	Known int
	// LastAck is when a probe of this instance was last answered; zero if never.
	LastAck time.Time
	// Joined is set once the instance has found another, knows no address to
	// find one at, or has tried for joinPatience.
	Joined bool
}

// Majority tells whether more than half of the known members are live here.
func (r Reach) Majority() bool { return 2*r.Live > r.Known }

// Reach returns the present reach.
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

// canDiscoverOthers tells whether there is an address, or a list of them, to seek
// others by.
func (m *Membership) canDiscoverOthers() bool {
	return m.list != nil || slices.ContainsFunc(m.seeds, func(seed string) bool {
		return seed != m.self.PeerAddress
	})
}

// joinGraceExpired tells whether the instance has sought others long enough to count
// itself alone; m.mu is held.
func (m *Membership) joinGraceExpired(now time.Time) bool {
	return !m.firstTick.IsZero() && now.Sub(m.firstTick) >= joinGracePeriod
}
