package configuration

import (
	"context"
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

func TestConfigurationSpreadsOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	memory := platform.NewMemory()
	joined, adopted := make(chan struct{}, 64), make(chan string, 64)
	var wg conc.WaitGroup
	var adopters []*Adopter
	var seed string
	for i := range 3 {
		bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a shared secret of tests")})
		assert.NilError(t, err)
		defer func() { assert.Check(t, bus.Close()) }()
		if i == 0 {
			seed = bus.Address()
		}
		name := fmt.Sprintf("m%d", i)
		self := membership.Member{Name: name, PeerAddress: bus.Address(), FailureDomain: name}
		members := membership.New(membership.Options{Self: self, Bus: bus, Seeds: []string{seed}})
		members.OnChange(func(v *membership.View) {
			if len(v.Members) == 3 {
				joined <- struct{}{}
			}
		})
		a := NewAdopter(Options{Table: memory, Bus: bus, Members: members})
		a.OnAdopt(func(*tables.Tables) { adopted <- name })
		assert.NilError(t, bus.Start())
		adopters = append(adopters, a)
		wg.Go(func() { assert.Check(t, members.Run(ctx) != nil) })
		wg.Go(func() { assert.Check(t, a.Run(ctx) != nil) })
	}
	for range 3 {
		<-joined
	}
	// An apply is refused until a probe of the acceptor has been answered.
	for !adopters[0].inContact() {
		assert.NilError(t, ctx.Err())
	}
	version, err := NewStore(adopters[0]).Apply(ctx, 0, sample("first"))
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	for range 3 {
		<-adopted
	}
	cancel()
	wg.Wait()
}
