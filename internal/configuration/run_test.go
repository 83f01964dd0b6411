package configuration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// process is one instance over sockets and by the real clock.
type process struct {
	*Replica
	bus     cutBus
	adopted chan uint64
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// cutBus sends nothing to the addresses in blocked.
type cutBus struct {
	peer.Bus
	blocked *sync.Map
}

func (c cutBus) Send(address string, kind peer.Kind, body []byte) error {
	if _, cut := c.blocked.Load(address); cut {
		return nil
	}
	return c.Bus.Send(address, kind, body)
}

func (c cutBus) Call(ctx context.Context, address, method string, params, result any) error {
	if _, cut := c.blocked.Load(address); cut {
		return peer.ErrUnreachable
	}
	return c.Bus.Call(ctx, address, method, params, result)
}

// startProcess starts an instance that joins by the seed.
func startProcess(t *testing.T, i int, table platform.TableService, seed string) *process {
	t.Helper()
	sockets, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a shared secret of tests")})
	assert.NilError(t, err)
	bus := cutBus{sockets, &sync.Map{}}
	name := fmt.Sprintf("m%d", i)
	self := membership.Member{Name: name, PeerAddress: bus.Address(), FailureDomain: name}
	members := membership.New(membership.Options{Self: self, Bus: bus, Seeds: []string{seed}})
	p := &process{
		Replica: NewReplica(Options{Table: table, Bus: bus, Membership: members}),
		bus:     bus, adopted: make(chan uint64, 16),
	}
	p.OnChange(func(t *tables.Tables) { p.adopted <- t.Version })
	assert.NilError(t, bus.Start())
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { assert.Check(t, members.Run(ctx) != nil) })
	p.wg.Go(func() { assert.Check(t, p.Run(ctx) != nil) })
	return p
}

func (p *process) stop(t *testing.T) {
	p.cancel()
	p.wg.Wait()
	assert.Check(t, p.bus.Close())
}

// until waits until a condition holds.
func until(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// gate is a table that can be taken away.
type gate struct {
	platform.TableService
	closed atomic.Bool
}

func (g *gate) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if g.closed.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return g.TableService.Get(ctx, key)
}

// newGates returns the ways of n instances to one table.
func newGates(n int) []*gate {
	memory := platform.NewMemory()
	var gates []*gate
	for range n {
		gates = append(gates, &gate{TableService: memory})
	}
	return gates
}

// startProcesses starts an instance at each gate and waits until the first sees all and may
// apply.
func startProcesses(t *testing.T, gates []*gate) []*process {
	t.Helper()
	var all []*process
	var seed string
	for i, g := range gates {
		all = append(all, startProcess(t, i, g, seed))
		seed = all[0].bus.Address()
	}
	n := len(gates)
	until(func() bool { return len(all[0].members.View().Members) == n && all[0].inContact() })
	return all
}

func TestConfigurationSpreadsOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	all := startProcesses(t, newGates(3))
	version, err := NewStore(all[0].Replica).Apply(context.Background(), 0, sample("first"))
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	for _, p := range all {
		assert.Equal(t, <-p.adopted, uint64(1))
	}
	for _, p := range all {
		p.stop(t)
	}
}

func TestTableAndAcceptorGoDownRightAfterTheAcceptance(t *testing.T) {
	defer goleak.VerifyNone(t)
	gates := newGates(5)
	all := startProcesses(t, gates[:4])
	// The others know only the empty configuration when the table goes down.
	all[0].OnChange(func(*tables.Tables) {
		for _, g := range gates {
			g.closed.Store(true)
		}
	})
	_, err := NewStore(all[0].Replica).Apply(context.Background(), 0, sample("first"))
	assert.NilError(t, err)
	all[0].stop(t)
	heir := startProcess(t, 9, gates[4], all[1].bus.Address())
	for _, p := range append(all[1:], heir) {
		assert.Equal(t, <-p.adopted, uint64(1))
		until(func() bool { return p.CheckAdmission() == nil })
	}
	for _, p := range append(all[1:], heir) {
		p.stop(t)
	}
}

func TestInstanceThatHearsNeitherAcceptorNorTableFollows(t *testing.T) {
	defer goleak.VerifyNone(t)
	gates := newGates(4)
	all := startProcesses(t, gates)
	acceptor, cut := all[0], all[2]
	acceptor.bus.blocked.Store(cut.bus.Address(), true)
	cut.bus.blocked.Store(acceptor.bus.Address(), true)
	gates[2].closed.Store(true)
	_, err := NewStore(acceptor.Replica).Apply(context.Background(), 0, sample("first"))
	assert.NilError(t, err)
	assert.Equal(t, <-cut.adopted, uint64(1))
	until(func() bool { return cut.Freshness().Source != "" && cut.CheckAdmission() == nil })
	assert.Equal(t, len(cut.members.View().Members), 4, "helpers answer for the acceptor")
	for _, p := range all {
		p.stop(t)
	}
}
