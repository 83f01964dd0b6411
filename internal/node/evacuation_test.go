package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

var evacuationStart = time.Unix(1000, 0)

func inEra(era, version uint64) Position { return Position{Era: era, Version: version} }

func sentSet(position Position, ownAge uint32, domains ...string) *sentEvacuations {
	return &sentEvacuations{Era: position.Era, Version: position.Version, AgeMs: 100, OwnAgeMs: ownAge, Domains: domains}
}

// A message that was sent before a change, or by an instance that was frozen, must not undo it.
func TestHigherPositionOfEvacuationsWins(t *testing.T) {
	var s evacuationSet
	s.merge(sentSet(inEra(1, 10), 50, "b", "a", "b"), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"a", "b"})
	s.merge(sentSet(inEra(1, 9), 50), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"a", "b"})
	s.replace(nil, inEra(1, 9), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"a", "b"})
	s.merge(sentSet(inEra(1, 11), 50, "b"), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"b"})
	// The store has returned from an earlier copy: its versions are lower, its word is newer.
	s.replace([]string{"a"}, inEra(2, 3), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"a"})
	s.merge(sentSet(inEra(1, 12), 50, "b"), evacuationStart)
	assert.DeepEqual(t, s.domains, []string{"a"})
}

// A watch reports only changes: rows that were removed before must not be missed, and changes
// that another instance has told of before must not be applied again.
func TestChangesApplyOnlyToTheSetThatTheyFollow(t *testing.T) {
	var s evacuationSet
	change := func(from, to Position, changes ...EvacuationChange) bool {
		return s.change(changes, from, to, evacuationStart)
	}
	assert.Assert(t, !change(inEra(1, 1), inEra(1, 2)), "nothing was known")
	s.replace([]string{"a"}, inEra(1, 10), evacuationStart)
	assert.Assert(t, !change(inEra(1, 11), inEra(1, 12)), "the set was older")
	assert.Assert(t, !change(inEra(1, 10), inEra(2, 12)), "the era was another one")
	assert.Assert(t, change(inEra(1, 8), inEra(1, 14),
		EvacuationChange{Domain: "a", Ended: true, Version: 9}, EvacuationChange{Domain: "b", Version: 12}, EvacuationChange{Domain: "c", Version: 13},
		EvacuationChange{Domain: "c", Ended: true, Version: 14}))
	assert.DeepEqual(t, s.domains, []string{"a", "b"})
	assert.Equal(t, s.position, inEra(1, 14))
	assert.Assert(t, change(inEra(1, 10), inEra(1, 13), EvacuationChange{Domain: "b", Ended: true, Version: 13}))
	assert.DeepEqual(t, s.domains, []string{"a", "b"})
	// A full read that lacks a row removes it.
	s.replace(nil, inEra(1, 15), evacuationStart)
	assert.Equal(t, len(s.domains), 0)
}

// Confirmations that instances pass on to each other would never grow old after the store has
// failed, and no instance would ask it again.
func TestPassedOnConfirmationsDoNotCirculate(t *testing.T) {
	var a, b evacuationSet
	a.replace([]string{"x"}, inEra(1, 10), evacuationStart)
	now := evacuationStart
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		b.merge(a.encode(now), now.Add(50*time.Millisecond))
		a.merge(b.encode(now), now.Add(50*time.Millisecond))
	}
	assert.Assert(t, now.Sub(a.confirmedAt) > 4*time.Second && now.Sub(b.confirmedAt) > 4*time.Second)
	// The word of the store itself counts at the same position, too.
	a.replace([]string{"x"}, inEra(1, 10), now)
	b.merge(a.encode(now), now)
	assert.Equal(t, b.confirmedAt, now)
}

// A set of more domains than a message holds was sent as if it were complete: the others ended
// the evacuation of the rest. One with long names kept the whole message from being sent.
func TestSetThatExceedsAMessageIsNotSent(t *testing.T) {
	for name, tc := range map[string]struct{ count, length int }{
		"many": {17, 8}, "long": {8, 190}, "many and long": {40, 190},
	} {
		t.Run(name, func(t *testing.T) {
			var domains []string
			for i := range tc.count {
				domains = append(domains, fmt.Sprintf("%s%03d", strings.Repeat("z", tc.length-3), i))
			}
			var a, b evacuationSet
			b.replace(domains, inEra(1, 9), evacuationStart)
			a.replace(domains, inEra(1, 10), evacuationStart)
			sent := a.encode(evacuationStart)
			if sent != nil {
				b.merge(sent, evacuationStart)
			}
			assert.Check(t, slices.Equal(b.domains, domains), "%d of %d domains evacuated at another instance", len(b.domains), len(domains))
			m := &message{Name: "edge-1"}
			assert.NilError(t, m.append(sent))
			body, err := encodeMessage(m)
			assert.NilError(t, err)
			assert.Check(t, len(body) <= peer.MaxDatagramBytes/2, "the message has %d bytes", len(body))
		})
	}
}

// What an instance knew before it was frozen may be older than evacuations that are in force.
func TestRequestsWaitForTheSetAfterAStartAndAFreeze(t *testing.T) {
	var e evacuations
	at := func(d time.Duration) time.Time { return evacuationStart.Add(d) }
	assert.Assert(t, e.mayLag(evacuationStart, at(time.Second)))
	assert.Assert(t, !e.mayLag(evacuationStart, at(unknownHold)), "only earlier builds are in reach")
	e.set.replace(nil, inEra(1, 1), at(time.Second))
	for d := time.Duration(0); d <= 2*time.Second; d += 100 * time.Millisecond {
		e.beat(d, at(d))
	}
	assert.Assert(t, !e.mayLag(evacuationStart, at(2*time.Second)))
	// The clock that counts suspended time tells of the freeze, the other one may not.
	e.beat(9*time.Second, at(2100*time.Millisecond))
	assert.Assert(t, e.mayLag(evacuationStart, at(2200*time.Millisecond)))
	e.merge(sentSet(inEra(1, 2), 50), at(2050*time.Millisecond))
	assert.Assert(t, e.mayLag(evacuationStart, at(2200*time.Millisecond)), "the message was sent before")
	e.set.replace(nil, inEra(1, 2), e.confirmation(at(2050*time.Millisecond), at(2200*time.Millisecond)))
	assert.Assert(t, e.mayLag(evacuationStart, at(2200*time.Millisecond)), "the watch was sent before")
	e.merge(sentSet(inEra(1, 3), 50), at(2500*time.Millisecond))
	assert.Assert(t, !e.mayLag(evacuationStart, at(2500*time.Millisecond)))
	e.beat(15*time.Second, at(8*time.Second))
	assert.Assert(t, !e.mayLag(evacuationStart, at(8*time.Second+unconfirmedHold)), "the last known set holds")
}

// An instance that went on while the store failed refused all requests for most of a second, and
// served them after that with the same set: the others had no newer confirmation.
func TestRequestsAfterAFreezeDoNotWaitForAStoreThatFails(t *testing.T) {
	at := func(d time.Duration) time.Time { return evacuationStart.Add(d) }
	const end = 10 * time.Second
	for name, tc := range map[string]struct {
		ownAgeMs   uint32
		failedRead time.Duration
		lags       bool
	}{
		"the others have read the set recently":               {1500, 0, false},
		"the others have not, and the store may still answer": {4000, 0, true},
		"the others have not, and the store has failed":       {4000, end + 10*time.Millisecond, false},
		"the store failed before the freeze":                  {4000, time.Second, true},
	} {
		var e evacuations
		e.set.replace(nil, inEra(1, 1), at(time.Second))
		e.beat(time.Second, at(time.Second))
		e.beat(end, at(end))
		e.failedReadAt = at(tc.failedRead)
		sent := sentSet(inEra(1, 2), tc.ownAgeMs, "a")
		sent.AgeMs = tc.ownAgeMs
		e.merge(sent, at(end+50*time.Millisecond))
		assert.Equal(t, e.mayLag(evacuationStart, at(end+50*time.Millisecond)), tc.lags, name)
	}
	var e evacuations
	e.set.replace(nil, inEra(1, 1), at(time.Second))
	e.beat(time.Second, at(time.Second))
	e.beat(end, at(end))
	e.failedReadAt = at(end)
	assert.Assert(t, e.mayLag(evacuationStart, at(end)), "no other instance has been heard")
	sent := sentSet(inEra(1, 1), unknownAge)
	sent.AgeMs = unknownAge
	e.merge(sent, at(end+50*time.Millisecond))
	assert.Assert(t, e.mayLag(evacuationStart, at(end+50*time.Millisecond)), "the other instance was frozen as well")
}

// An instance that goes on after a freeze answers messages that waited in its socket before its timer
// runs. It stated a confirmation from before the freeze, which others that were frozen relied on.
func TestMessagesRightAfterAFreezeStateNoConfirmation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, bootTime: func() time.Duration { return time.Hour }, startedAtBoot: time.Hour - time.Minute}
	n.evacuations.set.replace([]string{"a"}, inEra(1, 1), clock.Now())
	n.evacuations.freeze.lastBeat = n.uptime() - 2*maxBeatGap
	m := &message{}
	assert.NilError(t, m.setAdditions(1, nil, 0, time.Second))
	assert.NilError(t, n.appendAdditions(m))
	var sent *sentEvacuations
	assert.NilError(t, m.addition(additionEvacuations, &sent))
	assert.DeepEqual(t, sent.Domains, []string{"a"})
	assert.Equal(t, sent.AgeMs, uint32(unknownAge))
	assert.Equal(t, sent.OwnAgeMs, uint32(unknownAge))
}

// Earlier builds read the first additions and ignore the others; messages of earlier builds
// state nothing about evacuations.
func TestAdditionsOfEarlierBuildsStayInPlace(t *testing.T) {
	m := &message{}
	assert.NilError(t, m.setAdditions(7, nil, 5, time.Second))
	var sent *sentEvacuations
	assert.NilError(t, m.addition(additionEvacuations, &sent))
	assert.Assert(t, sent == nil)
	s := evacuationSet{known: true, position: inEra(7, 8), domains: []string{"a"}}
	assert.NilError(t, m.append(s.encode(evacuationStart), uint64(9), []sentCold{{Target: 1, LeftMs: 2}}))
	assert.NilError(t, m.addition(additionEvacuations, &sent))
	assert.DeepEqual(t, sent.Domains, []string{"a"})
	assert.Equal(t, m.targetsPosition().Era, uint64(7))
	assert.Equal(t, m.sentAfter(), time.Second)
}

var coldTraits = &serviceTraits{Version: 1, Traits: map[string]catalog.ServiceTraits{"s": {ColdStart: 3 * time.Second, ColdRate: 12}}}

func listed(targets ...*catalog.Target) map[catalog.TargetKey]*catalog.Target {
	present := make(map[catalog.TargetKey]*catalog.Target)
	for _, target := range targets {
		present[target.Key()] = target
	}
	return present
}

// The entry of a target that is new, has returned or whose domain is no longer evacuated may
// be older than its state.
func TestTargetsWithOldEntriesAreAssumedToBeCold(t *testing.T) {
	var c coldTargets
	now := evacuationStart
	left := func(target *catalog.Target) time.Duration { return max(0, c.until(target.Key(), now).Sub(now)) }
	a := &catalog.Target{ID: "a", Service: "s", FailureDomain: "x", SequenceNumber: 1}
	b := &catalog.Target{ID: "b", Service: "s", FailureDomain: "y", SequenceNumber: 1}
	assert.Assert(t, !c.observe(listed(a), coldTraits, now))
	assert.Equal(t, left(a), time.Duration(0))
	assert.Assert(t, c.observe(listed(a, b), coldTraits, now))
	assert.Equal(t, left(b), 3*time.Second)
	now = now.Add(10 * time.Second)
	c.observe(listed(a), coldTraits, now)
	now = now.Add(time.Second)
	c.observe(listed(a, b), coldTraits, now)
	assert.Equal(t, left(b), 3*time.Second)
	now = now.Add(10 * time.Second)
	c.assumeAll(listed(a, b), []string{"x", "y"}, []string{"y"}, coldTraits, now)
	assert.Equal(t, left(a), 3*time.Second)
	assert.Equal(t, left(b), time.Duration(0))
	d := &catalog.Target{ID: "d", Service: "other", FailureDomain: "x"}
	c.observe(listed(a, b, d), coldTraits, now)
	assert.Equal(t, left(d), time.Duration(0))
}

// A target may turn cold without a restart. Its value counts from when it was first seen, and
// the same entry read again does not prolong it.
func TestColdTimeCountsFromTheFirstSightOfAnEntry(t *testing.T) {
	var c coldTargets
	now := evacuationStart
	a := &catalog.Target{ID: "a", Service: "s", SequenceNumber: 1}
	c.observe(listed(a), coldTraits, now)
	turned := *a
	turned.SequenceNumber, turned.ColdLeft = 2, 2*time.Second
	assert.Assert(t, sameTarget(a, &turned))
	assert.Equal(t, digestOf(listed(a)), digestOf(listed(&turned)))
	assert.Assert(t, c.observe(listed(&turned), coldTraits, now))
	until := now.Add(2 * time.Second)
	now = now.Add(400 * time.Millisecond)
	assert.Assert(t, !c.observe(listed(&turned), coldTraits, now))
	assert.Equal(t, c.until(a.Key(), now), until)

	// Other instances learn it from the one that read the list, without prolonging it in turn.
	var other coldTargets
	other.observe(listed(a), coldTraits, now)
	for range 10 {
		other.merge(c.encode(now), now.Add(50*time.Millisecond), now.Add(50*time.Millisecond))
		c.merge(other.encode(now), now.Add(50*time.Millisecond), now.Add(50*time.Millisecond))
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, c.until(a.Key(), now), until)
	assert.Equal(t, other.until(a.Key(), now), until.Add(50*time.Millisecond))
}

// A panic while the set of evacuated domains was changed left it locked, and all further requests
// waited.
func TestPanicWhileEvacuationsChangeLeavesThemUsable(t *testing.T) {
	n := &Node{clock: clockwork.NewFakeClock()}
	assert.Assert(t, !contain.Run(zap.NewNop(), "step", func() {
		n.updateEvacuations(sourceStore, func(*evacuationSet) { panic("unexpected value") })
	}))
	assert.Assert(t, n.evacuations.mu.TryLock())
}
