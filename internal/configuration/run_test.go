package configuration

import (
	"context"
	"fmt"
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
	*Adopter
	bus     *peer.NetBus
	adopted chan uint64
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// startProcess starts an instance that joins by the seed.
func startProcess(t *testing.T, i int, table platform.TableService, seed string) *process {
	t.Helper()
	bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a shared secret of tests")})
	assert.NilError(t, err)
	name := fmt.Sprintf("m%d", i)
	self := membership.Member{Name: name, PeerAddress: bus.Address(), FailureDomain: name}
	members := membership.New(membership.Options{Self: self, Bus: bus, Seeds: []string{seed}})
	p := &process{
		Adopter: NewAdopter(Options{Table: table, Bus: bus, Members: members}),
		bus:     bus, adopted: make(chan uint64, 16),
	}
	p.OnAdopt(func(t *tables.Tables) { p.adopted <- t.Version })
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

// startProcesses starts n instances and waits until the first sees all and may
// apply.
func startProcesses(t *testing.T, n int, table platform.TableService) []*process {
	t.Helper()
	var all []*process
	var seed string
	for i := range n {
		all = append(all, startProcess(t, i, table, seed))
		seed = all[0].bus.Address()
	}
	until(func() bool { return len(all[0].members.View().Members) == n && all[0].inContact() })
	return all
}

func TestConfigurationSpreadsOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	all := startProcesses(t, 3, platform.NewMemory())
	version, err := NewStore(all[0].Adopter).Apply(context.Background(), 0, sample("first"))
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
	var down atomic.Bool
	memory := platform.NewMemory()
	memory.Fault = func(context.Context, string) error {
		if down.Load() {
			return platform.ErrUnavailable
		}
		return nil
	}
	all := startProcesses(t, 4, memory)
	// The others know only the empty configuration when the table goes down.
	all[0].OnAdopt(func(*tables.Tables) { down.Store(true) })
	_, err := NewStore(all[0].Adopter).Apply(context.Background(), 0, sample("first"))
	assert.NilError(t, err)
	all[0].stop(t)
	heir := startProcess(t, 9, memory, all[1].bus.Address())
	for _, p := range append(all[1:], heir) {
		assert.Equal(t, <-p.adopted, uint64(1))
		until(func() bool { return p.Admitting() == nil })
	}
	for _, p := range append(all[1:], heir) {
		p.stop(t)
	}
}
