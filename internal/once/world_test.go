package once

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// world is a few instances over one platform and one network. It lives in a
// synctest bubble, in which time passes only while everything waits.
type world struct {
	t       *testing.T
	clock   clockwork.Clock
	table   *platform.Memory
	network *peer.Network
	cut     sync.Map // address or "from>to" -> true
	nodes   []*node
	// delay, when set, is called for each message.
	delay atomic.Pointer[func()]
	// fault is asked by the platform for each operation.
	fault atomic.Pointer[func(operation string) error]
}

// node is one instance.
type node struct {
	world    *world
	member   membership.Member
	viewer   *membership.Static
	bus      *peer.MemoryBus
	claims   *Claims
	shards   *Shards
	forwards *Forwards
	ledger   *Ledger
	// noTable cuts the node off from the table service.
	noTable atomic.Bool
	// stop ends the node's loops, as a pause of the process would.
	stop func()
}

// inWorld runs a test with count instances that all run.
func inWorld(t *testing.T, count int, test func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, count)
		w.startAll()
		test(t, w)
	})
}

func newWorld(t *testing.T, count int) *world {
	w := &world{
		t: t, clock: clockwork.NewRealClock(),
		table: platform.NewMemory(), network: peer.NewNetwork(),
	}
	w.table.InjectFault = func(_ context.Context, operation string) error {
		if fault := w.fault.Load(); fault != nil {
			return (*fault)(operation)
		}
		return nil
	}
	w.network.Deliver = func(from, to string) bool {
		if delay := w.delay.Load(); delay != nil {
			(*delay)()
		}
		_, a := w.cut.Load(from)
		_, b := w.cut.Load(to)
		_, c := w.cut.Load(from + ">" + to)
		return !a && !b && !c
	}
	members := make([]membership.Member, count)
	for i := range members {
		name := string(rune('a' + i))
		members[i] = membership.Member{
			Name: name, PeerAddress: "peer-" + name, CallerAddress: "caller-" + name,
			FailureDomain: "domain-" + string(rune('1'+i%3)), Incarnation: uint64(i + 1),
		}
	}
	for i, m := range members {
		others := append(append([]membership.Member(nil), members[:i]...), members[i+1:]...)
		w.nodes = append(w.nodes, w.newNode(m, others))
	}
	return w
}

func (w *world) newNode(m membership.Member, others []membership.Member) *node {
	n := &node{world: w, member: m, viewer: membership.NewStatic(m, others...), bus: w.network.Bus(m.PeerAddress)}
	table := &nodeTable{Memory: w.table, node: n}
	n.claims = NewClaims(ClaimOptions{Platform: table, Bus: n.bus, Viewer: n.viewer, Clock: w.clock})
	n.shards = NewShards(ShardOptions{Table: table, Bus: n.bus, Viewer: n.viewer, Clock: w.clock})
	n.forwards = NewForwards(w.clock, 0)
	n.ledger = NewLedger(LedgerOptions{
		Shards: n.shards, Forwards: n.forwards, Bus: n.bus, Viewer: n.viewer, Clock: w.clock,
	})
	_ = n.bus.Start()
	return n
}

// nodeTable is the platform as one node sees it.
type nodeTable struct {
	*platform.Memory
	node *node
}

func (t *nodeTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if t.node.noTable.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Memory.Get(ctx, key)
}

func (t *nodeTable) Scan(ctx context.Context, table, prefix string, limit int) ([]platform.Row, error) {
	if t.node.noTable.Load() {
		return nil, platform.ErrUnavailable
	}
	return t.Memory.Scan(ctx, table, prefix, limit)
}

func (t *nodeTable) Commit(ctx context.Context, writes []platform.Write) error {
	if t.node.noTable.Load() {
		return platform.ErrUnavailable
	}
	return t.Memory.Commit(ctx, writes)
}

// start runs all of the node's loops until the test ends or stop is called.
func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { n.claims.Run(ctx) })
	group.Go(func() { n.ledger.Run(ctx) })
	group.Go(func() { n.shards.Run(ctx) })
	n.stop = func() {
		cancel()
		group.Wait()
		n.stop = func() {}
	}
	n.world.t.Cleanup(func() { n.stop() })
}

// startAll runs all nodes and waits until every shard is held.
func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
	time.Sleep(2 * shardTick)
}

// setFault makes the platform fail; nil heals it.
func (w *world) setFault(fault func(operation string) error) {
	if fault == nil {
		w.fault.Store(nil)
		return
	}
	w.fault.Store(&fault)
}

// down is a fault that makes every operation fail without effect.
func down(string) error { return platform.ErrUnavailable }

// die ends a node, and removes it from the others' views.
func (w *world) die(dead *node) {
	w.isolate(dead)
	dead.stop()
	w.see(func(n *node) bool { return n != dead })
}

func (w *world) isolate(n *node) { w.cut.Store(n.member.PeerAddress, true) }

func (w *world) rejoin(n *node) { w.cut.Delete(n.member.PeerAddress) }

// see makes every node that meets the condition see just those that do.
func (w *world) see(alive func(*node) bool) {
	for _, n := range w.nodes {
		if !alive(n) {
			continue
		}
		var others []membership.Member
		for _, other := range w.nodes {
			if other != n && alive(other) {
				others = append(others, other.member)
			}
		}
		n.viewer.Set(others...)
	}
}
