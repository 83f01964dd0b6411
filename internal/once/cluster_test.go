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

// testCluster is a set of instances that share a platform and a network. It
// runs in a synctest bubble, in which time advances only while all goroutines
// wait.
type testCluster struct {
	t           *testing.T
	clock       clockwork.Clock
	table       *platform.Memory
	network     *peer.Network
	unreachable sync.Map // keys are addresses or "from>to"
	nodes       []*node
	// onMessage, if set, is called for each message.
	onMessage atomic.Pointer[func()]
	// fault, if set, returns the error of each platform operation.
	fault atomic.Pointer[func(operation string) error]
}

// node is one instance.
type node struct {
	cluster  *testCluster
	member   membership.Member
	viewer   *membership.StaticViewer
	bus      *peer.MemoryBus
	claims   *Claims
	shards   *Shards
	forwards *Forwards
	ledger   *Ledger
	// tableUnreachable disconnects the node from the table service.
	tableUnreachable atomic.Bool
	// stop ends the node's loops, as a pause of the process would.
	stop func()
}

// runCluster runs a test with count running instances.
func runCluster(t *testing.T, count int, test func(*testing.T, *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, count)
		cluster.startAll()
		test(t, cluster)
	})
}

func newTestCluster(t *testing.T, count int) *testCluster {
	cluster := &testCluster{
		t: t, clock: clockwork.NewRealClock(),
		table: platform.NewMemory(), network: peer.NewNetwork(),
	}
	cluster.table.InjectFault = func(_ context.Context, operation string) error {
		if fault := cluster.fault.Load(); fault != nil {
			return (*fault)(operation)
		}
		return nil
	}
	cluster.network.Deliver = func(from, to string) bool {
		if onMessage := cluster.onMessage.Load(); onMessage != nil {
			(*onMessage)()
		}
		_, fromUnreachable := cluster.unreachable.Load(from)
		_, toUnreachable := cluster.unreachable.Load(to)
		_, linkUnreachable := cluster.unreachable.Load(from + ">" + to)
		return !fromUnreachable && !toUnreachable && !linkUnreachable
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
		cluster.nodes = append(cluster.nodes, cluster.newNode(m, others))
	}
	return cluster
}

func (c *testCluster) newNode(m membership.Member, others []membership.Member) *node {
	n := &node{cluster: c, member: m, viewer: membership.NewStaticViewer(m, others...), bus: c.network.Bus(m.PeerAddress)}
	table := &nodeTable{Memory: c.table, node: n}
	n.claims = NewClaims(ClaimOptions{Platform: table, Bus: n.bus, Viewer: n.viewer, Clock: c.clock})
	n.shards = NewShards(ShardOptions{Table: table, Bus: n.bus, Viewer: n.viewer, Clock: c.clock})
	n.forwards = NewForwards(c.clock, 0)
	n.ledger = NewLedger(LedgerOptions{
		Shards: n.shards, Forwards: n.forwards, Bus: n.bus, Viewer: n.viewer, Clock: c.clock,
	})
	_ = n.bus.Start()
	return n
}

// nodeTable is the platform as seen by one node.
type nodeTable struct {
	*platform.Memory
	node *node
}

func (t *nodeTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if t.node.tableUnreachable.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Memory.Get(ctx, key)
}

func (t *nodeTable) Scan(ctx context.Context, table, prefix string, limit int) ([]platform.Row, error) {
	if t.node.tableUnreachable.Load() {
		return nil, platform.ErrUnavailable
	}
	return t.Memory.Scan(ctx, table, prefix, limit)
}

func (t *nodeTable) Commit(ctx context.Context, writes []platform.Write) error {
	if t.node.tableUnreachable.Load() {
		return platform.ErrUnavailable
	}
	return t.Memory.Commit(ctx, writes)
}

// start runs all loops of the node until the test ends or stop is called.
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
	n.cluster.t.Cleanup(func() { n.stop() })
}

// startAll starts all nodes and waits until every shard is held.
func (c *testCluster) startAll() {
	for _, n := range c.nodes {
		n.start()
	}
	time.Sleep(2 * stepInterval)
}

// setFault makes the platform fail; nil ends the fault.
func (c *testCluster) setFault(fault func(operation string) error) {
	if fault == nil {
		c.fault.Store(nil)
		return
	}
	c.fault.Store(&fault)
}

// tableDown is a fault that makes every operation fail without effect.
func tableDown(string) error { return platform.ErrUnavailable }

// crashNode stops a node and removes it from the views of the others.
func (c *testCluster) crashNode(crashed *node) {
	c.isolate(crashed)
	crashed.stop()
	c.setViews(func(n *node) bool { return n != crashed })
}

func (c *testCluster) isolate(n *node) { c.unreachable.Store(n.member.PeerAddress, true) }

func (c *testCluster) reconnect(n *node) { c.unreachable.Delete(n.member.PeerAddress) }

// setViews limits the view of each visible node to the visible nodes.
func (c *testCluster) setViews(visible func(*node) bool) {
	for _, n := range c.nodes {
		if !visible(n) {
			continue
		}
		var others []membership.Member
		for _, other := range c.nodes {
			if other != n && visible(other) {
				others = append(others, other.member)
			}
		}
		n.viewer.SetOthers(others...)
	}
}
