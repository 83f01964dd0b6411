package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func targetsOf(ids ...string) []*catalog.Target {
	var targets []*catalog.Target
	for _, id := range ids {
		targets = append(targets, &catalog.Target{ID: id, Slots: 1})
	}
	return targets
}

func TestTargetListDropsMissingEntriesButAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	assert.Assert(t, l.apply(targetsOf("a", "b"), 1, now))
	assert.Assert(t, l.apply(targetsOf("a"), 2, now.Add(400*time.Millisecond)))
	assert.Equal(t, len(l.list()), 1)

	// After an outage an entry may come back within a while.
	back := now.Add(10 * time.Second)
	assert.Assert(t, !l.apply(nil, 3, back))
	assert.Equal(t, len(l.list()), 1)
	assert.Assert(t, l.apply(targetsOf("b"), 4, back.Add(time.Second)))
	assert.Equal(t, len(l.list()), 2)
	assert.Assert(t, l.apply(targetsOf("b"), 5, back.Add(returnTime+time.Millisecond)))
	assert.Equal(t, len(l.list()), 1)
}

func TestTargetListTakesNoOlderReadAndKnowsIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	l.apply(targetsOf("a"), 5, now)
	assert.Assert(t, !l.apply(nil, 4, now))
	reborn := targetsOf("a")
	reborn[0].Born = 77
	digest := l.digest()
	assert.Assert(t, l.apply(reborn, 6, now))
	assert.Assert(t, l.digest() != digest)
	assert.Equal(t, len(l.list()), 1)
}

func TestReadOfAnotherInstanceIsNoOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	l.apply(targetsOf("a"), 1, now)
	l.confirm(now.Add(5*time.Second), 1)
	assert.Assert(t, l.apply(nil, 2, now.Add(6*time.Second)))
}

func address(i int) string { return fmt.Sprintf("10.0.0.%03d:1", i) }

func TestTopologyMeshesFewAndGathersMany(t *testing.T) {
	clock := clockwork.NewFakeClock()
	few := newPeerTable(clock, address(20), nil)
	for i := range meshLimit - 1 {
		few.introduceAddresses([]string{address(i)})
	}
	got := few.topology()
	assert.Assert(t, !got.gather)
	assert.Equal(t, len(got.to), meshLimit-1)

	for i := range 2 * meshLimit {
		few.introduceAddresses([]string{address(i)})
	}
	got = few.topology()
	assert.Assert(t, got.gather && !got.gathers)
	assert.Equal(t, len(got.to), gatherers)
	assert.Assert(t, !slices.Contains(got.to, address(gatherers)))
}

func TestTopologyPassesOverThoseThatDoNotAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(30), nil)
	for i := range 2 * meshLimit {
		p.introduceAddresses([]string{address(i)})
	}
	preferred := p.topology().to[0]
	clock.Advance(answerTime + time.Millisecond)
	got := p.topology()
	assert.Assert(t, !slices.Contains(got.to, preferred))
	assert.Assert(t, slices.Contains(got.to, address(gatherers)), "the next one takes its place")
}

// An instance that joins changes which one is asked to gather; the one asked
// before is not taken for silent.
func TestFormerGathererIsNotPassedOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(40), nil)
	for i := 10; i < 30; i++ {
		p.introduceAddresses([]string{address(i)})
	}
	former := p.topology().to[0]
	p.introduceAddresses([]string{address(1)})
	now := p.topology().to[0]
	assert.Assert(t, now != former && slices.Contains(p.topology().to, former))
	for range 10 {
		clock.Advance(answerTime / 3)
		p.heard(now, &message{Name: "now", WatchAgeMs: noRead, PeerWatchAgeMs: noRead})
		assert.Assert(t, slices.Contains(p.topology().to, former))
	}
}

func TestFirstAddressesGather(t *testing.T) {
	p := newPeerTable(clockwork.NewFakeClock(), address(0), nil)
	for i := range 2 * meshLimit {
		p.introduceAddresses([]string{address(i)})
	}
	got := p.topology()
	assert.Assert(t, got.gather && got.gathers)
	assert.Equal(t, len(got.to), gatherers-1)
}

func TestSilentInstancesAreForgotten(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(0), []string{address(1)})
	p.heard(address(2), &message{Name: "two", ConfigVersion: 4, WatchAgeMs: noRead, PeerWatchAgeMs: noRead})
	assert.Equal(t, len(p.live()), 1)
	assert.Equal(t, p.rank(), 0)
	clock.Advance(peerSilence + time.Millisecond)
	assert.Equal(t, len(p.live()), 0)
	clock.Advance(peerForget)
	assert.Equal(t, len(p.addresses()), 0)
}

// TestFailedWatchIsNotReliedOn plays the moment at which the store refuses the
// instances that watch for all: the others must take over at once.
func TestFailedWatchIsNotReliedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(9), nil)
	watching := &message{WatchAgeMs: 100, PeerWatchAgeMs: 0}
	p.heard(address(1), watching)
	p.heard(address(2), watching)
	assert.Assert(t, p.watched(false))
	failed := &message{WatchAgeMs: noRead, PeerWatchAgeMs: 100}
	p.heard(address(1), failed)
	p.heard(address(2), failed)
	assert.Assert(t, !p.watched(false), "what others have only heard of does not count")
	assert.Equal(t, p.heardWatchAge(), uint32(noRead))
	assert.Assert(t, p.watched(true))

	p.heard(address(1), watching)
	clock.Advance(watchFresh)
	assert.Assert(t, !p.watched(false), "a silent watch is not relied on for long")
}

// Reads of the list arrive late, twice and in any order: the newest stands, and
// none that is older changes anything.
func TestTargetListEndsWithTheNewestReadInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ids = 4
		reads := make([][]*catalog.Target, rapid.IntRange(1, 6).Draw(t, "reads"))
		for i := range reads {
			for id := range ids {
				if rapid.Bool().Draw(t, "listed") {
					reads[i] = append(reads[i], &catalog.Target{
						ID: fmt.Sprint(id), Service: "s", Address: address(id), Slots: 1,
						Draining: rapid.Bool().Draw(t, "draining"), Born: int64(rapid.IntRange(1, 2).Draw(t, "born")),
					})
				}
			}
		}
		order := rapid.SliceOfN(rapid.IntRange(0, len(reads)-1), 1, 3*len(reads)).Draw(t, "order")
		now, newest := time.Unix(1000, 0), 0
		list := &targetList{}
		for _, at := range order {
			now = now.Add(outageAfter / 20)
			list.apply(reads[at], uint64(at+1), now)
			newest = max(newest, at)
			assert.Equal(t, list.position, uint64(newest+1))
			assert.Equal(t, len(list.present), len(reads[newest]))
			for _, target := range reads[newest] {
				assert.DeepEqual(t, list.present[target.Key()], target)
			}
		}
	})
}

// An instance that hears of no reads of others reads by itself; the time between
// two such reads must not be taken for an outage, in which missing entries are kept.
func TestRegularReadsAreNoOutage(t *testing.T) {
	const delays = 300 * time.Millisecond
	assert.Assert(t, targetPeriod+maxRank*targetStagger+delays < outageAfter)
}
