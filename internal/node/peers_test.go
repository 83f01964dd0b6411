package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// An aggregator that serves instances in turn sends addresses to each of them.
// One that receives none would not learn of instances that joined later.
func TestAggregatesCarryAddressesToEveryRecipient(t *testing.T) {
	recipients := []string{"10.0.0.1:1", "10.0.0.2:1"}
	peers := newPeerTable(clockwork.NewFakeClock(), "10.0.0.9:1", recipients)
	received := make(map[string]int)
	for range 2 * knownAddressesEvery {
		for _, address := range recipients {
			if peers.countAggregate(address)%knownAddressesEvery == 0 {
				received[address]++
			}
		}
	}
	for _, address := range recipients {
		assert.Equal(t, received[address], 2, address)
	}
}

// Nothing told an instance that ended by itself from one that was stopped, or how often it did.
func TestRestartsWithoutShutdownAreCounted(t *testing.T) {
	const address = "10.0.0.1:1"
	clock := clockwork.NewFakeClock()
	peers := newPeerTable(clock, "10.0.0.9:1", []string{address})
	first := peers.recordMessage(address, &message{Name: "edge-1", Incarnation: 1})
	assert.Equal(t, *first, restart{})
	assert.Assert(t, peers.recordMessage(address, &message{Name: "edge-1", Incarnation: 1}) == nil)
	clock.Advance(time.Second)
	ended := peers.recordMessage(address, &message{Name: "edge-1", Incarnation: 2})
	assert.Equal(t, *ended, restart{before: 1, silence: time.Second, restarts: 1, endedAlone: 1})
	assert.Assert(t, peers.recordMessage(address, &message{Name: "edge-1", Incarnation: 2, Draining: true}) == nil)
	stopped := peers.recordMessage(address, &message{Name: "edge-1", Incarnation: 3})
	assert.Equal(t, *stopped, restart{before: 2, hadShutDown: true, restarts: 2, endedAlone: 1})
	restarts, endedAlone := peers.restartCounts()
	assert.Equal(t, restarts, 2)
	assert.Equal(t, endedAlone, 1)
}
