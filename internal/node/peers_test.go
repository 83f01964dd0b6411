package node

import (
	"testing"

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
