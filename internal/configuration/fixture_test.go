package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// fakeMembership is a membership whose reach is set by the test.
type fakeMembership struct {
	*membership.StaticViewer
	*membership.LocalRumors
	clock clockwork.Clock

	// mu guards the fields below.
	mu             sync.Mutex
	reach          membership.Reach
	statuses       []membership.LastStatus
	pauseListeners []func(time.Duration)
}

func (f *fakeMembership) Reach() membership.Reach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach
}

// setReach sets the reach, with a probe acknowledged now.
func (f *fakeMembership) setReach(live, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach = membership.Reach{Live: live, Known: known, LastAck: f.clock.Now(), Joined: true}
}

func (f *fakeMembership) PiggybackStatus(func() membership.Status, func(membership.ReceivedStatus)) {}

func (f *fakeMembership) Statuses() []membership.LastStatus { return f.statuses }

func (f *fakeMembership) OnPause(listener func(time.Duration)) {
	f.pauseListeners = append(f.pauseListeners, listener)
}

// testCluster is a set of instances that share one platform and one in-memory
// network.
type testCluster struct {
	t           *testing.T
	clock       *clockwork.FakeClock
	network     *peer.Network
	memory      *platform.Memory
	memberships []*fakeMembership
	replicas    []*Replica
	wg          conc.WaitGroup

	// mu guards the fields below.
	mu          sync.Mutex
	unreachable map[string]bool
	tableFault  func(operation string) error
}

func newTestCluster(t *testing.T, n int) *testCluster {
	c := &testCluster{
		t: t, clock: clockwork.NewFakeClock(), network: peer.NewNetwork(),
		memory: platform.NewMemory(), unreachable: make(map[string]bool),
	}
	c.network.Deliver = func(from, to string) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.unreachable[from] && !c.unreachable[to]
	}
	c.memory.InjectFault = func(_ context.Context, operation string) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.tableFault == nil {
			return nil
		}
		return c.tableFault(operation)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		c.wg.Wait()
	})
	for i := range n {
		c.add(ctx, i, n)
	}
	return c
}

func testMember(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("m%d", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		FailureDomain: fmt.Sprintf("zone-%d", i%3),
	}
}

// add starts instance i of n. Only its relays run in the background.
func (c *testCluster) add(ctx context.Context, i, n int) {
	var peers []membership.Member
	for j := range n {
		if j != i {
			peers = append(peers, testMember(j))
		}
	}
	membership := &fakeMembership{
		StaticViewer: membership.NewStaticViewer(testMember(i), peers...),
		LocalRumors:  membership.NewLocalRumors(), clock: c.clock,
	}
	membership.setReach(n, n)
	bus := c.network.Bus(testMember(i).PeerAddress)
	replica := NewReplica(Options{
		Table: c.memory, Bus: bus, Membership: membership, Clock: c.clock,
		Rand: rand.New(rand.NewPCG(uint64(i), 3)),
	})
	assert.NilError(c.t, bus.Start())
	c.wg.Go(func() { replica.runRelays(ctx) })
	c.memberships = append(c.memberships, membership)
	c.replicas = append(c.replicas, replica)
}

func (c *testCluster) setTableFault(fault func(operation string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableFault = fault
}

func (c *testCluster) failTable() {
	c.setTableFault(func(string) error { return platform.ErrUnavailable })
}

// isolate drops all messages from and to the instances.
func (c *testCluster) isolate(instances ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range instances {
		c.unreachable[testMember(i).PeerAddress] = true
	}
}

// reconnect ends all isolation.
func (c *testCluster) reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.unreachable)
}

func (c *testCluster) mustPoll(i int) {
	c.t.Helper()
	assert.NilError(c.t, c.replicas[i].poll(context.Background()))
}

func testTables(name string) tables.Tables {
	return tables.Tables{
		Routes: []tables.Route{{Name: name, Pool: "pool", Idempotent: true}},
		Pools:  []tables.Pool{{Name: "pool", Kind: tables.KindService, Version: "v1"}},
	}
}

// mustApply applies testTables(name) on instance i.
func (c *testCluster) mustApply(i int, base uint64, name string) {
	c.t.Helper()
	version, err := NewStore(c.replicas[i]).Apply(context.Background(), base, testTables(name))
	assert.NilError(c.t, err)
	assert.Equal(c.t, version, base+1)
}
