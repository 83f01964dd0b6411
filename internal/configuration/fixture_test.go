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

// fakeMembership is a membership whose reach is set by hand.
type fakeMembership struct {
	*membership.Static
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

// setReach sets the reach, with an answer just heard.
func (f *fakeMembership) setReach(live, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach = membership.Reach{Live: live, Known: known, LastAck: f.clock.Now(), Joined: true}
}

func (f *fakeMembership) CarryStatus(func() membership.Status, func(membership.Heard)) {}

func (f *fakeMembership) Statuses() []membership.LastStatus { return f.statuses }

func (f *fakeMembership) OnPause(listener func(time.Duration)) {
	f.pauseListeners = append(f.pauseListeners, listener)
}

// testCluster is some instances with one platform and one in-memory network.
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
	f := &testCluster{
		t: t, clock: clockwork.NewFakeClock(), network: peer.NewNetwork(),
		memory: platform.NewMemory(), unreachable: make(map[string]bool),
	}
	f.network.Deliver = func(from, to string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.unreachable[from] && !f.unreachable[to]
	}
	f.memory.Fault = func(_ context.Context, operation string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.tableFault == nil {
			return nil
		}
		return f.tableFault(operation)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		f.wg.Wait()
	})
	for i := range n {
		f.add(ctx, i, n)
	}
	return f
}

func testMember(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("m%d", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		FailureDomain: fmt.Sprintf("zone-%d", i%3),
	}
}

// add starts instance i of n; only its relays run by themselves.
func (f *testCluster) add(ctx context.Context, i, n int) {
	var peers []membership.Member
	for j := range n {
		if j != i {
			peers = append(peers, testMember(j))
		}
	}
	membership := &fakeMembership{
		Static:      membership.NewStatic(testMember(i), peers...),
		LocalRumors: membership.NewLocalRumors(), clock: f.clock,
	}
	membership.setReach(n, n)
	bus := f.network.Bus(testMember(i).PeerAddress)
	replica := NewReplica(Options{
		Table: f.memory, Bus: bus, Membership: membership, Clock: f.clock,
		Rand: rand.New(rand.NewPCG(uint64(i), 3)),
	})
	assert.NilError(f.t, bus.Start())
	f.wg.Go(func() { replica.runRelays(ctx) })
	f.memberships = append(f.memberships, membership)
	f.replicas = append(f.replicas, replica)
}

func (f *testCluster) setTableFault(fault func(operation string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableFault = fault
}

func (f *testCluster) failTable() {
	f.setTableFault(func(string) error { return platform.ErrUnavailable })
}

// isolate cuts instances off from all others.
func (f *testCluster) isolate(instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.unreachable[testMember(i).PeerAddress] = true
	}
}

func (f *testCluster) reconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unreachable)
}

func (f *testCluster) mustPoll(i int) {
	f.t.Helper()
	assert.NilError(f.t, f.replicas[i].poll(context.Background()))
}

func testTables(name string) tables.Tables {
	return tables.Tables{
		Routes: []tables.Route{{Name: name, Pool: "pool", Idempotent: true}},
		Pools:  []tables.Pool{{Name: "pool", Kind: tables.KindService, Version: "v1"}},
	}
}

// mustApply applies at instance i.
func (f *testCluster) mustApply(i int, base uint64, name string) {
	f.t.Helper()
	version, err := NewStore(f.replicas[i]).Apply(context.Background(), base, testTables(name))
	assert.NilError(f.t, err)
	assert.Equal(f.t, version, base+1)
}
