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

// process is one instance with real sockets and the real clock.
type process struct {
	*Replica
	bus       blockingBus
	installed chan uint64
	cancel    context.CancelFunc
	wg        conc.WaitGroup
}

// blockingBus drops messages to the addresses in blocked.
type blockingBus struct {
	peer.Bus
	blocked *sync.Map
}

func (b blockingBus) Send(address string, kind peer.DatagramKind, body []byte) error {
	if _, blocked := b.blocked.Load(address); blocked {
		return nil
	}
	return b.Bus.Send(address, kind, body)
}

func (b blockingBus) Call(ctx context.Context, address, method string, params, result any) error {
	if _, blocked := b.blocked.Load(address); blocked {
		return peer.ErrUnreachable
	}
	return b.Bus.Call(ctx, address, method, params, result)
}

// startProcess starts an instance that joins through the seed.
func startProcess(t *testing.T, i int, table platform.TableService, seed string) *process {
	t.Helper()
	sockets, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a shared secret of tests")})
	assert.NilError(t, err)
	bus := blockingBus{sockets, &sync.Map{}}
	name := fmt.Sprintf("m%d", i)
	self := membership.Member{Name: name, PeerAddress: bus.Address(), FailureDomain: name}
	members := membership.New(membership.Options{Self: self, Bus: bus, Seeds: []string{seed}})
	p := &process{
		Replica: NewReplica(Options{Table: table, Bus: bus, Membership: members}),
		bus:     bus, installed: make(chan uint64, 16),
	}
	p.OnChange(func(t *tables.Tables) { p.installed <- t.Version })
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

// waitUntil polls until a condition is true.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// switchableTable is a table whose reads can be made to fail.
type switchableTable struct {
	platform.TableService
	unavailable atomic.Bool
}

func (s *switchableTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if s.unavailable.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return s.TableService.Get(ctx, key)
}

// newSwitchableTables returns the connections of n instances to one table.
func newSwitchableTables(n int) []*switchableTable {
	memory := platform.NewMemory()
	var tables []*switchableTable
	for range n {
		tables = append(tables, &switchableTable{TableService: memory})
	}
	return tables
}

// startProcesses starts one instance per table and waits until the first one
// sees all of them and is connected to a majority.
func startProcesses(t *testing.T, tables []*switchableTable) []*process {
	t.Helper()
	var processes []*process
	var seed string
	for i, g := range tables {
		processes = append(processes, startProcess(t, i, g, seed))
		seed = processes[0].bus.Address()
	}
	n := len(tables)
	waitUntil(func() bool { return len(processes[0].membership.View().Members) == n && processes[0].hasMajority() })
	return processes
}

func TestConfigurationIsReplicatedOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	processes := startProcesses(t, newSwitchableTables(3))
	version, err := NewStore(processes[0].Replica).Apply(context.Background(), 0, testTables("first"))
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	for _, p := range processes {
		assert.Equal(t, <-p.installed, uint64(1))
	}
	for _, p := range processes {
		p.stop(t)
	}
}

func TestTableAndAcceptorGoDownRightAfterTheAcceptance(t *testing.T) {
	defer goleak.VerifyNone(t)
	switchables := newSwitchableTables(5)
	processes := startProcesses(t, switchables[:4])
	// The others hold only the empty configuration when the table goes down.
	processes[0].OnChange(func(*tables.Tables) {
		for _, g := range switchables {
			g.unavailable.Store(true)
		}
	})
	_, err := NewStore(processes[0].Replica).Apply(context.Background(), 0, testTables("first"))
	assert.NilError(t, err)
	processes[0].stop(t)
	newcomer := startProcess(t, 9, switchables[4], processes[1].bus.Address())
	for _, p := range append(processes[1:], newcomer) {
		assert.Equal(t, <-p.installed, uint64(1))
		waitUntil(func() bool { return p.CheckAdmission() == nil })
	}
	for _, p := range append(processes[1:], newcomer) {
		p.stop(t)
	}
}

func TestInstanceThatHearsNeitherAcceptorNorTableFollows(t *testing.T) {
	defer goleak.VerifyNone(t)
	switchables := newSwitchableTables(4)
	processes := startProcesses(t, switchables)
	acceptor, isolated := processes[0], processes[2]
	acceptor.bus.blocked.Store(isolated.bus.Address(), true)
	isolated.bus.blocked.Store(acceptor.bus.Address(), true)
	switchables[2].unavailable.Store(true)
	_, err := NewStore(acceptor.Replica).Apply(context.Background(), 0, testTables("first"))
	assert.NilError(t, err)
	assert.Equal(t, <-isolated.installed, uint64(1))
	waitUntil(func() bool { return isolated.Freshness().Source != "" && isolated.CheckAdmission() == nil })
	assert.Equal(t, len(isolated.membership.View().Members), 4, "indirect probes keep the acceptor alive")
	for _, p := range processes {
		p.stop(t)
	}
}
