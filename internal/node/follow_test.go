package node

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Entries that are kept after an outage were used until the next regular read, when the
// instance had long been in touch again (DRAIN).
func TestEntriesKeptAfterAnOutageAreReadAgainAtTheEndOfTheGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, peers: newPeerTable(clock, address(9), nil)}
	read := func(ids ...string) {
		n.targets.apply(newTargets(ids...), at(n.targets.position.Version+1), clock.Now())
	}
	read("a", "b")
	assert.Equal(t, n.untilNextTargetRead(), targetReadInterval)
	clock.Advance(2 * outageThreshold)
	read("a")
	assert.Equal(t, len(n.targets.present), 2)
	assert.Equal(t, n.untilNextTargetRead(), targetReadInterval)
	for ended := n.targets.graceUntil; clock.Now().Before(ended); {
		delay := n.untilNextTargetRead()
		assert.Assert(t, delay > 0 && !clock.Now().Add(delay).After(ended), "%v", delay)
		clock.Advance(delay)
		read("a")
	}
	assert.Equal(t, len(n.targets.present), 1)
	assert.Equal(t, n.untilNextTargetRead(), targetReadInterval)
}
