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
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
)

func newTargets(ids ...string) []*catalog.Target {
	var targets []*catalog.Target
	for _, id := range ids {
		targets = append(targets, &catalog.Target{ID: id, Slots: 1})
	}
	return targets
}

// at returns the position of a version in the first era.
func at(version uint64) Position { return Position{Version: version} }

func TestTargetListDropsMissingEntriesButAfterAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	assert.Assert(t, l.apply(newTargets("a", "b"), at(1), now, 0))
	assert.Assert(t, l.apply(newTargets("a"), at(2), now.Add(400*time.Millisecond), 0))
	assert.Equal(t, len(l.list()), 1)

	// After an outage, an entry may reappear within outageGrace.
	afterOutage := now.Add(10 * time.Second)
	assert.Assert(t, !l.apply(nil, at(3), afterOutage, 0))
	assert.Equal(t, len(l.list()), 1)
	assert.Assert(t, l.apply(newTargets("b"), at(4), afterOutage.Add(time.Second), 0))
	assert.Equal(t, len(l.list()), 2)
	assert.Assert(t, l.apply(newTargets("b"), at(5), afterOutage.Add(outageGrace+time.Millisecond), 0))
	assert.Equal(t, len(l.list()), 1)
}

// An instance that was stalled keeps a missing entry for a while. Others, which had
// seen it go, took it from there for a new read and used the target again.
func TestKeptEntryIsNotPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	var stalled, other targetList
	stalled.apply(newTargets("a", "b"), at(1), now, 0)
	other.apply(newTargets("a", "b"), at(1), now, 0)
	other.apply(newTargets("a"), at(2), now.Add(time.Second), 0)
	stalled.apply(newTargets("a"), at(2), now.Add(outageThreshold+time.Second), 0)
	assert.Equal(t, len(stalled.list()), 2)
	assert.Equal(t, len(stalled.lastRead()), 1)
	assert.Equal(t, stalled.digest(), other.digest())
}

func TestTargetListIgnoresOlderReadsAndTracksIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	l.apply(newTargets("a"), at(5), now, 0)
	assert.Assert(t, !l.apply(nil, at(4), now, 0))
	restarted := newTargets("a")
	restarted[0].Born = 77
	digest := l.digest()
	assert.Assert(t, l.apply(restarted, at(6), now, 0))
	assert.Assert(t, l.digest() != digest)
	assert.Equal(t, len(l.list()), 1)
}

func TestReadByPeerIsNoOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	l.apply(newTargets("a"), at(1), now, 0)
	l.confirm(now.Add(5*time.Second), at(1))
	assert.Assert(t, l.apply(nil, at(2), now.Add(6*time.Second), 0))
}

// An instance that only hears of others' reads must drop kept entries as well. It
// kept them until the list changed.
func TestKeptEntriesAreDroppedWithoutAnOwnRead(t *testing.T) {
	now := time.Unix(1000, 0)
	var l targetList
	l.apply(newTargets("a", "b"), at(1), now, 0)
	now = now.Add(outageThreshold + time.Second)
	l.apply(newTargets("a"), at(2), now, 0)
	assert.Equal(t, len(l.list()), 2)
	assert.Assert(t, !l.confirm(now.Add(outageGrace/2), at(2)))
	assert.Equal(t, len(l.list()), 2)
	assert.Assert(t, l.confirm(now.Add(outageGrace+time.Millisecond), at(2)))
	assert.Equal(t, len(l.list()), 1)
}

func address(i int) string { return fmt.Sprintf("10.0.0.%03d:1", i) }

func TestTopologyIsMeshForFewAndAggregatedForMany(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := newPeerTable(clock, address(20), nil)
	for i := range maxMeshSize - 1 {
		table.addAddresses([]string{address(i)})
	}
	got := table.topology()
	assert.Assert(t, !got.aggregated)
	assert.Equal(t, len(got.recipients), maxMeshSize-1)

	for i := range 2 * maxMeshSize {
		table.addAddresses([]string{address(i)})
	}
	got = table.topology()
	assert.Assert(t, got.aggregated && !got.isAggregator)
	assert.Equal(t, len(got.recipients), aggregatorCount)
	assert.Assert(t, !slices.Contains(got.recipients, address(aggregatorCount)))
}

func TestTopologySkipsUnresponsiveAggregators(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(30), nil)
	for i := range 2 * maxMeshSize {
		p.addAddresses([]string{address(i)})
	}
	preferred := p.topology().recipients[0]
	clock.Advance(aggregateTimeout + time.Millisecond)
	got := p.topology()
	assert.Assert(t, !slices.Contains(got.recipients, preferred))
	assert.Assert(t, slices.Contains(got.recipients, address(aggregatorCount)), "the next instance in address order replaces it")
}

// A joining instance changes which aggregator is preferred. The previous one is
// no longer asked and must not be skipped as unresponsive.
func TestFormerAggregatorIsNotSkipped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(40), nil)
	for i := 10; i < 30; i++ {
		p.addAddresses([]string{address(i)})
	}
	previous := p.topology().recipients[0]
	p.addAddresses([]string{address(1)})
	current := p.topology().recipients[0]
	assert.Assert(t, current != previous && slices.Contains(p.topology().recipients, previous))
	for range 10 {
		clock.Advance(aggregateTimeout / 3)
		p.recordMessage(current, &message{Name: "now", WatchAgeMs: unknownAge, PeerWatchAgeMs: unknownAge})
		assert.Assert(t, slices.Contains(p.topology().recipients, previous))
	}
}

func TestFirstAddressesAggregate(t *testing.T) {
	p := newPeerTable(clockwork.NewFakeClock(), address(0), nil)
	for i := range 2 * maxMeshSize {
		p.addAddresses([]string{address(i)})
	}
	got := p.topology()
	assert.Assert(t, got.aggregated && got.isAggregator)
	assert.Equal(t, len(got.recipients), aggregatorCount-1)
}

func TestSilentInstancesExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(0), []string{address(1)})
	p.recordMessage(address(2), &message{Name: "two", ConfigVersion: 4, WatchAgeMs: unknownAge, PeerWatchAgeMs: unknownAge})
	assert.Equal(t, len(p.live()), 1)
	assert.Equal(t, p.rank(), 0)
	clock.Advance(peerTimeout + time.Millisecond)
	assert.Equal(t, len(p.live()), 0)
	clock.Advance(addressRetention)
	assert.Equal(t, len(p.addresses()), 0)
}

// TestFailedWatchIsNotReliedOn covers the store refusing the instances that
// watch for all: the others must start to watch at once.
func TestFailedWatchIsNotReliedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(9), nil)
	watching := &message{WatchAgeMs: 100, PeerWatchAgeMs: 0}
	p.recordMessage(address(1), watching)
	p.recordMessage(address(2), watching)
	assert.Assert(t, p.watchedRecently(false))
	failed := &message{WatchAgeMs: unknownAge, PeerWatchAgeMs: 100}
	p.recordMessage(address(1), failed)
	p.recordMessage(address(2), failed)
	assert.Assert(t, !p.watchedRecently(false), "watch ages passed on by others must not count without an aggregator")
	assert.Equal(t, p.lowestWatchAge(), uint32(unknownAge))
	assert.Assert(t, p.watchedRecently(true))

	p.recordMessage(address(1), watching)
	clock.Advance(maxWatchAge)
	assert.Assert(t, !p.watchedRecently(false), "a watch without a recent response must not be relied on")
}

// Reads of the list may arrive late, twice and in any order. The newest read
// determines the list; older ones change nothing.
func TestTargetListKeepsNewestReadInAnyOrder(t *testing.T) {
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
		for _, index := range order {
			now = now.Add(outageThreshold / 20)
			list.apply(reads[index], at(uint64(index+1)), now, 0)
			newest = max(newest, index)
			assert.Equal(t, list.position, at(uint64(newest+1)))
			assert.Equal(t, len(list.present), len(reads[newest]))
			for _, target := range reads[newest] {
				assert.DeepEqual(t, list.present[target.Key()], target)
			}
		}
	})
}

// An instance that receives no gossip about others' reads reads at its longest
// interval. Two such reads must not be taken for an outage, in which missing
// entries are kept.
func TestRegularReadsAreNoOutage(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	assert.Assert(t, targetReadInterval+maxRank*targetReadStagger+maxDelay < outageThreshold)
}

// readRegularly applies the same list until a time.
func readRegularly(l *targetList, listed []*catalog.Target, from, until time.Time) {
	for readAt := from; !readAt.After(until); readAt = readAt.Add(targetReadInterval) {
		l.apply(listed, at(l.position.Version+1), readAt, 0)
	}
}

func TestListTellsWhetherATargetSurvived(t *testing.T) {
	const expiry = 5 * time.Second
	start := time.Unix(1000, 0)
	after := start.Add(10 * time.Second)
	born := newTargets("a", "b")
	born[0].Born = 77
	for name, tc := range map[string]struct {
		// listed is read from after on for a time.
		listed []*catalog.Target
		span   time.Duration
		want   quarantine.Liveness
	}{
		"entry missing, too early":              {nil, expiry - time.Second, quarantine.Undecided},
		"entry missing":                         {nil, expiry + time.Second, quarantine.Ended},
		"entry present, a renewal may be late":  {born, expiry + time.Second, quarantine.Undecided},
		"entry present":                         {born, expiry + maxRenewalDelay + time.Second, quarantine.Survived},
		"another incarnation under the same ID": {newTargets("a"), expiry + maxRenewalDelay + time.Second, quarantine.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			var l targetList
			readRegularly(&l, born, start, after)
			readRegularly(&l, tc.listed, after, after.Add(tc.span))
			assert.Equal(t, l.liveness("a@77", after, expiry), tc.want)
			assert.Assert(t, l.liveness("b", after, expiry) != quarantine.Survived, "its incarnation is not known")
		})
	}
}

// A renewal that takes effect late lists a target that has ended.
func TestEntryThatComesBackIsNoSurvival(t *testing.T) {
	const expiry = 5 * time.Second
	after := time.Unix(1000, 0)
	born := newTargets("a")
	born[0].Born = 77
	var l targetList
	readRegularly(&l, born, after.Add(-time.Second), after.Add(4*time.Second))
	readRegularly(&l, nil, after.Add(4*time.Second), after.Add(5*time.Second))
	back := after.Add(5 * time.Second)
	readRegularly(&l, born, back, back.Add(expiry+maxRenewalDelay-time.Second))
	assert.Equal(t, l.liveness("a@77", after, expiry), quarantine.Undecided)
	ended := l
	readRegularly(&ended, nil, back.Add(expiry+maxRenewalDelay), back.Add(expiry+maxRenewalDelay+time.Second))
	assert.Equal(t, ended.liveness("a@77", after, expiry), quarantine.Ended)
	// Another writer had spoilt the entry of a target that lives.
	readRegularly(&l, born, back.Add(expiry+maxRenewalDelay), back.Add(expiry+maxRenewalDelay+time.Second))
	assert.Equal(t, l.liveness("a@77", after, expiry), quarantine.Survived)
}

// Entries are not renewed during an outage of the store.
func TestOutageTellsNothingOfTargets(t *testing.T) {
	const expiry = 5 * time.Second
	after := time.Unix(1000, 0)
	born := newTargets("a")
	born[0].Born = 77
	var l targetList
	readRegularly(&l, born, after.Add(-time.Second), after)
	back := after.Add(20 * time.Second)
	readRegularly(&l, born, back, back.Add(expiry-time.Second))
	assert.Equal(t, l.liveness("a@77", after, expiry), quarantine.Undecided)
	readRegularly(&l, born, back.Add(expiry), back.Add(expiry+maxRenewalDelay+time.Second))
	assert.Equal(t, l.liveness("a@77", after, expiry), quarantine.Survived)
}

// What changed since a read that an instance holds leads it to the last one, or the
// whole list is needed.
func TestChangesOfTheListLeadToTheLastRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var source targetList
		var holders []*targetList
		reads := rapid.IntRange(1, 2*maxEarlierReads).Draw(t, "reads")
		for version := range reads {
			var targets []*catalog.Target
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 8, rapid.ID[int]).Draw(t, "targets") {
				targets = append(targets, &catalog.Target{
					ID: fmt.Sprint("i-", i), Slots: 1, Draining: rapid.Bool().Draw(t, "draining"),
					Address: fmt.Sprint("10.0.0.", rapid.IntRange(1, 2).Draw(t, "address")), SequenceNumber: int64(version),
				})
			}
			source.apply(targets, at(uint64(version+1)), now, 0)
			holder := &targetList{}
			holder.apply(targets, at(uint64(version+1)), now, 0)
			holders = append(holders, holder)
		}
		for _, holder := range holders {
			changed, removed, ok := source.changesSince(holder.digest())
			if !ok {
				continue
			}
			_, other := holder.withChanges(holder.digest()+1, changed, removed)
			assert.Assert(t, !other)
			targets, ok := holder.withChanges(holder.digest(), changed, removed)
			assert.Assert(t, ok)
			holder.apply(targets, source.position, now, 0)
			assert.Equal(t, holder.digest(), source.digest())
			assert.Assert(t, equalTargets(holder.read, source.read))
		}
		assert.Assert(t, len(source.earlier) <= maxEarlierReads)
	})
}

// One target of many starts to drain: what that costs an instance must not grow with
// their number.
func TestChangeOfOneTargetIsNotSentAsAWholeList(t *testing.T) {
	for _, count := range []int{10, 940} {
		now := time.Unix(1000, 0)
		ids := make([]string, count)
		for i := range ids {
			ids[i] = fmt.Sprint("i-", i)
		}
		var l targetList
		l.apply(newTargets(ids...), at(1), now, 0)
		before := l.digest()
		drained := newTargets(ids...)
		drained[0].Draining = true
		for _, target := range drained {
			target.SequenceNumber++
		}
		l.apply(drained, at(2), now, 0)
		changed, removed, ok := l.changesSince(before)
		assert.Assert(t, ok)
		assert.Equal(t, len(changed), 1)
		assert.Equal(t, len(removed), 0)
	}
}

// Each read of a list of many pages, which took longer than outageThreshold, was taken for the end of an
// outage: entries that had gone were kept for as long as reads took long.
func TestLongReadsAreNoOutage(t *testing.T) {
	const took = 3 * time.Second
	now := time.Unix(100, 0)
	var l targetList
	l.apply(newTargets("a", "b"), at(1), now, took)
	now = now.Add(targetReadInterval + took)
	assert.Assert(t, l.apply(newTargets("a"), at(2), now, took), "a missing entry is kept")
	assert.Equal(t, len(l.present), 1)
	assert.Assert(t, !now.Before(l.graceUntil))

	// A read that waits for the store as long as any may is one after an outage.
	now = now.Add(outageThreshold + time.Millisecond)
	assert.Assert(t, !l.apply(nil, at(3), now, maxResponseWait))
	assert.Equal(t, len(l.present), 1)
}
