package node

import (
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
)

// Entries that are kept after an outage were used until the next regular read, when the
// instance had long been in touch again (DRAIN).
func TestEntriesKeptAfterAnOutageAreReadAgainAtTheEndOfTheGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, peers: newPeerTable(clock, address(9), nil)}
	read := func(ids ...string) {
		n.targets.apply(newTargets(ids...), at(n.targets.position.Version+1), clock.Now(), 0)
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

// A list of targets whose use ended by a panic was taken for known, and used only after its next
// change.
func TestTargetsAreUsedAfterAPanicAlthoughTheyHaveNotChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, peers: newPeerTable(clock, address(9), nil), logger: zap.NewNop()}
	targets := newTargets("a")
	targets[0].Address = "127.0.0.1:1"
	read := func() bool {
		return contain.Run(zap.NewNop(), "step", func() { n.applyTargets(targets, at(1), 0) })
	}
	// There is no placement that takes the targets.
	assert.Assert(t, !read())
	assert.Assert(t, !n.targetsKnown.Load())
	n.placement = placement.New(placement.Options{
		Self: address(9), Clock: clock, Draining: func() bool { return false }, IsResuming: func() bool { return false },
		PeerAddresses: func() []string { return nil }, Logger: zap.NewNop(), Send: func(string, []byte) error { return nil },
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) },
	})
	assert.Assert(t, read())
	assert.Assert(t, n.targetsKnown.Load(), "the targets are not in use")
	assert.Equal(t, n.placement.GroupCount(), 1)
}
