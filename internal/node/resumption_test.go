package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
)

// newRosterNode returns an instance that hears two others and has listed all three as
// coordinators.
func newRosterNode(t *testing.T, clock *clockwork.FakeClock) *Node {
	list, _ := newMemberList(clock, address(0), 2)
	n := list.Node
	n.placement = placement.New(placement.Options{
		Self: address(0), Clock: clock, Draining: n.draining.Load, IsResuming: n.isResuming, PeerAddresses: n.peers.addresses,
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }, Logger: zap.NewNop(),
		Send: func(string, []byte) error { return nil },
	})
	var targets []*catalog.Target
	for i := range 3 {
		targets = append(targets, &catalog.Target{ID: "one", Service: fmt.Sprint("service-", i), Slots: 2})
	}
	n.placement.SetTargets(targets)
	startedAt := clock.Now()
	n.bootTime = func() time.Duration { return clock.Since(startedAt) }
	n.beat()
	n.updateRoster()
	assert.Equal(t, len(n.placement.Roster().Addresses), 3)
	return n
}

func (n *Node) hearOthers() {
	for i := 1; i <= 2; i++ {
		n.peers.recordMessage(address(i), &message{Name: fmt.Sprint("edge-", i), Incarnation: 1})
	}
}

// Guards against a roster by which an instance that goes on after a pause coordinates everything
// alone: the messages of the others still wait in its sockets.
func TestInstanceThatWasPausedKeepsTheRosterUntilItHearsTheOthers(t *testing.T) {
	for _, pause := range []time.Duration{coordinatorTimeout, 5 * time.Second} {
		clock := clockwork.NewFakeClock()
		n := newRosterNode(t, clock)
		before := n.placement.Roster()
		clock.Advance(pause)
		n.updateRoster()
		assert.Equal(t, n.placement.Roster(), before)
		for range placement.ResumeHold / gossipInterval {
			clock.Advance(gossipInterval)
			n.beat()
			n.hearOthers()
			n.updateRoster()
		}
		assert.Assert(t, !n.isResuming())
		assert.Equal(t, n.placement.Roster(), before)
	}
}

// Response times that span a pause are not those of the target. The pause is known before the timer
// of the instance has recorded it: what has arrived in the meantime is read at once.
func TestPauseIsKnownOfTimesThatSpanIt(t *testing.T) {
	const pause = 5 * time.Second
	clock := clockwork.NewFakeClock()
	n := newRosterNode(t, clock)
	run := func() {
		clock.Advance(gossipInterval)
		n.beat()
	}
	run()
	before := clock.Now()
	run()
	assert.Assert(t, !n.wasPausedSince(before))
	clock.Advance(pause)
	assert.Assert(t, n.wasPausedSince(before))
	n.beat()
	resumed := clock.Now()
	for range int(pause / gossipInterval) {
		assert.Assert(t, n.wasPausedSince(before))
		assert.Assert(t, n.wasPausedSince(resumed.Add(-1)))
		assert.Assert(t, !n.wasPausedSince(resumed))
		run()
	}
}

// A slow start, before the instance serves, is no pause.
func TestSlowStartIsNoPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list, _ := newMemberList(clock, address(0), 2)
	startedAt := clock.Now()
	list.Node.bootTime = func() time.Duration { return clock.Since(startedAt) }
	clock.Advance(5 * time.Second)
	assert.Assert(t, !list.Node.wasPausedSince(startedAt))
	list.Node.beat()
	assert.Assert(t, !list.Node.wasPausedSince(startedAt))
}

// The wait after a pause is bounded: an instance that is alone goes on.
func TestInstanceThatIsAloneAfterAPauseCoordinates(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newRosterNode(t, clock)
	clock.Advance(5 * time.Second)
	for range placement.ResumeHold / gossipInterval {
		n.updateRoster()
		assert.Equal(t, len(n.placement.Roster().Addresses), 3)
		clock.Advance(gossipInterval)
		n.beat()
	}
	n.updateRoster()
	assert.DeepEqual(t, n.placement.Roster().Addresses, []string{address(0)})
}

// An instance that was not paused replaces silent coordinators at once, also if its start took long, and a machine that was
// suspended counts as paused although the steady clock tells of nothing.
func TestOnlyAPauseMakesAnInstanceWait(t *testing.T) {
	var r resumption
	isRecent := func(uptime time.Duration, now time.Time) bool {
		_, recent := r.beat(uptime, now)
		return recent
	}
	now := time.Unix(1000, 0)
	for uptime := 3 * time.Second; uptime <= 10*time.Second; uptime += maxCoordinatorGap {
		assert.Assert(t, !isRecent(uptime, now.Add(uptime)))
	}
	now = now.Add(10 * time.Second)
	assert.Assert(t, isRecent(20*time.Second, now))
	assert.Assert(t, isRecent(20*time.Second+400*time.Millisecond, now.Add(400*time.Millisecond)))
	assert.Assert(t, !isRecent(20*time.Second+800*time.Millisecond, now.Add(placement.ResumeHold)))
}
