package membership

import (
	"context"
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

func TestMembershipRunsOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	var seed string
	var all []*Membership
	completeViews := make(chan string, 64)
	for i := range 3 {
		bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a shared secret of tests")})
		assert.NilError(t, err)
		defer func() { assert.Check(t, bus.Close()) }()
		if i == 0 {
			seed = bus.Address()
		}
		name := fmt.Sprintf("m%d", i)
		m := New(Options{Self: Member{Name: name, PeerAddress: bus.Address()}, Bus: bus, Seeds: []string{seed}})
		m.OnChange(func(v *View) {
			if len(v.Members) == 3 {
				completeViews <- name
			}
		})
		assert.NilError(t, bus.Start())
		all = append(all, m)
		wg.Go(func() { assert.Check(t, m.Run(ctx) != nil) })
	}
	complete := make(map[string]bool)
	for len(complete) < 3 {
		complete[<-completeViews] = true
	}
	all[2].MarkLeaving()
	assert.NilError(t, all[2].Leave(ctx))
	cancel()
	wg.Wait()
}
