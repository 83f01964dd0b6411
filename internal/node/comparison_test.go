package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// newArriving returns the message of an instance whose response to its watch is arriving, or is
// not if a is nil.
func newArriving(t *testing.T, capacity uint16, version uint64, a *arrival) *message {
	t.Helper()
	m := &message{Capacity: capacity, ConfigVersion: version}
	assert.NilError(t, m.setAdditions(0, nil, unknownAge, 0))
	assert.NilError(t, m.append(nil, 0, nil, a))
	return m
}

// received returns a message as its recipient decodes it.
func received(t *testing.T, m *message) *message {
	t.Helper()
	body, err := encodeMessage(m)
	assert.NilError(t, err)
	var decoded message
	assert.NilError(t, msgpack.Unmarshal(body, &decoded))
	return &decoded
}

// All instances relied on the two watchers while these received a version slowly.
func TestOneInstanceComparesWhileResponsesArriveSlowly(t *testing.T) {
	const large, small = 4, 20
	slow := uint32(slowArrivalTime.Milliseconds())
	watchers := []string{address(0), address(1)}
	arriving := map[int]*arrival{}
	versions := map[int]uint64{}
	drained := -1
	choose := func(earlierBuilds int) *comparison {
		p := newPeerTable(clockwork.NewFakeClock(), address(99), nil)
		for i := range large + small {
			capacity := uint16(80)
			if i >= large {
				capacity = 13
			}
			m := newArriving(t, capacity, versions[i], arriving[i])
			m.Draining = i == drained
			if i >= watcherCount && i < watcherCount+earlierBuilds {
				m.Additions = m.Additions[:additionArrival]
			}
			p.recordMessage(address(i), received(t, m))
		}
		self := peerState{address: address(99), capacity: 13, mayCompare: true}
		assert.Equal(t, p.anyArrivesSlowly(self), len(arriving) > 0 && (arriving[0].AgeMs >= slow || arriving[1].AgeMs >= slow))
		return p.chooseComparison(self, watchers)
	}
	assert.Assert(t, choose(0) == nil)
	arriving[0], arriving[1] = &arrival{AgeMs: slow - 1, BytesPerSecond: 1000}, &arrival{AgeMs: slow - 1, BytesPerSecond: 3000}
	assert.Assert(t, choose(0) == nil)
	arriving[0].AgeMs, arriving[1] = slow, &arrival{AgeMs: 2, BytesPerSecond: 32_000_000}
	assert.Equal(t, choose(0).BytesPerSecond, uint64(1000), "the rate of a first part counts")
	arriving[1] = &arrival{AgeMs: slow, BytesPerSecond: 3000}
	first := choose(0)
	assert.Equal(t, first.BytesPerSecond, uint64(3000))
	assert.Assert(t, first.Address == address(2) || first.Address == address(3), "%s has a small capacity", first.Address)
	// It stays the same while its own response arrives.
	for i := range large {
		if address(i) == first.Address {
			arriving[i] = &arrival{AgeMs: 10, BytesPerSecond: 5000}
			assert.Equal(t, choose(0).Address, first.Address)
			delete(arriving, i)
			drained = i
		}
	}
	second := choose(0)
	assert.Assert(t, second.Address != first.Address)
	drained = -1
	// Earlier builds would read the whole.
	assert.Assert(t, choose(large+small-watcherCount).Address == address(99))
	versions[7] = 1
	assert.Assert(t, choose(0) == nil, "others receive the version from an instance that has it")
}

func TestComparisonIsNamedToInstancesBehindAnAggregator(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(9), nil)
	m := newArriving(t, 1, 0, nil)
	assert.Assert(t, m.comparison() == nil)
	a, known := received(t, m).arrival()
	assert.Assert(t, a == nil && known)
	assert.NilError(t, m.append(&comparison{Address: address(9), BytesPerSecond: 5}))
	p.assignWatchers([]string{address(0)}, received(t, m).comparison())
	assert.Equal(t, *p.currentComparison(), comparison{Address: address(9), BytesPerSecond: 5})
	clock.Advance(peerTimeout + time.Second)
	assert.Assert(t, p.currentComparison() == nil)
	m.Additions = m.Additions[:additionArrival]
	_, known = m.arrival()
	assert.Assert(t, !known && m.comparison() == nil)
}

// A link that all share is slower for each that reads.
func TestComparedResponseHasToArriveClearlyFaster(t *testing.T) {
	c := comparison{BytesPerSecond: 100_000}
	assert.Assert(t, c.isFaster(20_000, 100*time.Millisecond))
	assert.Assert(t, !c.isFaster(19_999, 100*time.Millisecond))
	assert.Assert(t, !c.isFaster(10_000, 100*time.Millisecond))
}
