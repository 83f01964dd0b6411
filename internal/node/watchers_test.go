package node

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// newArriving returns the message of an instance that watches, whose response has been arriving
// for some time.
func newArriving(t *testing.T, capacity uint16, arrivingFor time.Duration) *message {
	t.Helper()
	m := &message{Capacity: capacity}
	assert.NilError(t, m.setAdditions(0, nil, unknownAge, 0))
	assert.NilError(t, m.append(nil, 0, nil, ageMillis(arrivingFor)))
	return m
}

// All instances relied on the two watchers while these received a version slowly.
func TestOtherInstancesWatchWhileResponsesArriveSlowly(t *testing.T) {
	const large, small = 8, 90
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(99), nil)
	arriving := map[string]time.Duration{}
	choose := func() []string {
		for i := range large + small {
			capacity := uint16(80)
			if i >= large {
				capacity = 13
			}
			p.recordMessage(address(i), newArriving(t, capacity, arriving[address(i)]))
		}
		return p.chooseWatchers(peerState{address: address(99), capacity: 13})
	}
	first := []string{address(0), address(1)}
	assert.DeepEqual(t, choose(), first)
	arriving[address(0)], arriving[address(1)] = slowArrivalTime-time.Millisecond, slowArrivalTime-time.Millisecond
	assert.DeepEqual(t, choose(), first)
	arriving[address(0)] = slowArrivalTime
	assert.Equal(t, len(choose()), watcherCount+1)
	arriving[address(1)] = slowArrivalTime
	supplemented := choose()
	assert.Equal(t, len(supplemented), 2*watcherCount)
	assert.DeepEqual(t, supplemented[:watcherCount], first)
	for _, a := range supplemented {
		assert.Assert(t, slices.Index(addresses(large), a) >= 0, "%s has a small capacity", a)
	}
	// Not all instances watch where all links are slow.
	for i := range large + small {
		arriving[address(i)] = time.Second
	}
	assert.Equal(t, len(choose()), maxWatchers)
	clear(arriving)
	assert.DeepEqual(t, choose(), first)
}

// A response counted as an answered watch for as long as it arrived.
func TestArrivingResponseCountsForALimitedTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, startedAt: clock.Now()}
	const step = 100 * time.Millisecond
	clock.Advance(step)
	for began := clock.Now(); clock.Since(began) < 2*maxArrivalTime; clock.Advance(step) {
		n.recordProgress()
		wantAge := max(0, clock.Since(began)-maxArrivalTime)
		assert.Equal(t, n.watchAgeMillis(&n.lastWatchNanos), ageMillis(wantAge))
	}
}

func addresses(count int) []string {
	var list []string
	for i := range count {
		list = append(list, address(i))
	}
	return list
}
