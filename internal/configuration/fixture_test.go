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

// fakeMembers is a membership whose reach is set by hand.
type fakeMembers struct {
	*membership.Static
	*membership.LocalRumors
	clock clockwork.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	reach    membership.Reach
	statuses []membership.LastStatus
	paused   []func(time.Duration)
}

func (f *fakeMembers) Reach() membership.Reach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach
}

// inContact sets the reach, with an answer just heard.
func (f *fakeMembers) inContact(live, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach = membership.Reach{Live: live, Known: known, LastAck: f.clock.Now(), Joined: true}
}

func (f *fakeMembers) CarryStatus(func() membership.Status, func(membership.Heard)) {}

func (f *fakeMembers) Statuses() []membership.LastStatus { return f.statuses }

func (f *fakeMembers) OnPause(listener func(time.Duration)) { f.paused = append(f.paused, listener) }

// fleet is some instances with one platform and one in-memory network.
type fleet struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	network *peer.Network
	memory  *platform.Memory
	members []*fakeMembers
	all     []*Adopter
	wg      conc.WaitGroup

	// mu guards the fields below.
	mu    sync.Mutex
	dead  map[string]bool
	fault func(operation string) error
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, clock: clockwork.NewFakeClock(), network: peer.NewNetwork(),
		memory: platform.NewMemory(), dead: make(map[string]bool),
	}
	f.network.Deliver = func(from, to string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.dead[from] && !f.dead[to]
	}
	f.memory.InjectFault = func(_ context.Context, operation string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.fault == nil {
			return nil
		}
		return f.fault(operation)
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

func instance(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("m%d", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		FailureDomain: fmt.Sprintf("zone-%d", i%3),
	}
}

// add starts instance i of n; only its relays run by themselves.
func (f *fleet) add(ctx context.Context, i, n int) {
	var others []membership.Member
	for j := range n {
		if j != i {
			others = append(others, instance(j))
		}
	}
	members := &fakeMembers{
		Static:      membership.NewStatic(instance(i), others...),
		LocalRumors: membership.NewLocalRumors(), clock: f.clock,
	}
	members.inContact(n, n)
	bus := f.network.Bus(instance(i).PeerAddress)
	a := NewAdopter(Options{
		Table: f.memory, Bus: bus, Members: members, Clock: f.clock,
		Rand: rand.New(rand.NewPCG(uint64(i), 3)),
	})
	assert.NilError(f.t, bus.Start())
	f.wg.Go(func() { a.runRelays(ctx) })
	f.members = append(f.members, members)
	f.all = append(f.all, a)
}

func (f *fleet) setFault(fault func(operation string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fleet) tableDown() {
	f.setFault(func(string) error { return platform.ErrUnavailable })
}

// silence cuts instances off from all others.
func (f *fleet) silence(instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.dead[instance(i).PeerAddress] = true
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.dead)
}

func (f *fleet) poll(i int) {
	f.t.Helper()
	assert.NilError(f.t, f.all[i].poll(context.Background()))
}

func sample(name string) tables.Tables {
	return tables.Tables{
		Routes: []tables.Route{{Name: name, Pool: "pool", Idempotent: true}},
		Pools:  []tables.Pool{{Name: "pool", Kind: tables.KindService, Version: "v1"}},
	}
}

// mustApply applies at instance i.
func (f *fleet) mustApply(i int, base uint64, name string) {
	f.t.Helper()
	version, err := NewStore(f.all[i]).Apply(context.Background(), base, sample(name))
	assert.NilError(f.t, err)
	assert.Equal(f.t, version, base+1)
}
