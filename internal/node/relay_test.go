package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// An instance that hears only its aggregator had all its connections relayed by that one.
func TestAllKnownInstancesMayRelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	address := func(i int) string { return fmt.Sprintf("10.0.0.%02d:7780", i) }
	p := newPeerTable(clock, address(90), nil)
	for i := range 78 {
		p.add(address(i))
	}
	p.recordMessage(address(3), &message{Name: "edge-3", Incarnation: 1})
	assert.Equal(t, len(p.mayRelay()), 78)

	p.recordMessage(address(4), &message{Name: "edge-4", Incarnation: 1, Draining: true})
	assert.Assert(t, !slices.Contains(p.mayRelay(), address(4)))
	clock.Advance(addressRetention + time.Second)
	assert.Equal(t, len(p.mayRelay()), 0)
}

func TestOnlyLiveInstancesOfAMeshRelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, "10.0.0.9:7780", []string{"10.0.0.1:7780", "10.0.0.2:7780"})
	p.recordMessage("10.0.0.1:7780", &message{Name: "edge-1", Incarnation: 1})
	assert.DeepEqual(t, p.mayRelay(), []string{"10.0.0.1:7780"})
}
