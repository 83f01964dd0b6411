package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
)

// newTargetsNode returns an instance that has started long enough ago to use a part of the list.
func newTargetsNode(clock *clockwork.FakeClock) (*Node, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	n := &Node{
		clock: clock, startedAt: clock.Now(), peers: newPeerTable(clock, address(9), nil), pool: dispatch.NewPool(clock), logger: zap.New(core),
	}
	n.placement = placement.New(placement.Options{
		Self: address(9), Clock: clock, Draining: func() bool { return false }, IsResuming: func() bool { return false },
		PeerAddresses: func() []string { return nil }, Logger: zap.NewNop(), Send: func(string, []byte) error { return nil },
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) },
	})
	clock.Advance(partialTargetsDelay)
	return n, logs
}

// newAddressedTargets returns targets that can be used.
func newAddressedTargets(ids ...string) []*catalog.Target {
	targets := newTargets(ids...)
	for _, target := range targets {
		target.Service, target.Address, target.Born = "engines", "127.0.0.1:1", 77
	}
	return targets
}

// idsInUse returns the targets to which requests may be sent.
func (n *Node) idsInUse() (ids []string) {
	for key := range n.targetsInUse {
		ids = append(ids, key.ID)
	}
	slices.Sort(ids)
	return ids
}

// The targets of the pages that had been read were dropped with one that could not be, so that an instance
// without a list was not ready for as long.
func TestPartOfTheListIsUsedUntilAWholeOneIsKnown(t *testing.T) {
	n, logs := newTargetsNode(clockwork.NewFakeClock())
	n.applyPartOfTargets(nil)
	assert.Assert(t, !n.targetsKnown.Load() && n.lacksTargets())
	n.applyPartOfTargets(newAddressedTargets("a", "b"))
	n.applyPartOfTargets(newAddressedTargets("a", "b"))
	assert.Assert(t, n.targetsKnown.Load() && n.lacksTargets())
	assert.DeepEqual(t, n.idsInUse(), []string{"a", "b"})
	warnings := logs.FilterLevelExact(zap.WarnLevel).All()
	assert.Equal(t, len(warnings), 1)
	assert.Equal(t, warnings[0].ContextMap()["targets"], int64(2))

	n.applyTargets(newAddressedTargets("b", "c"), at(1), 0)
	assert.Assert(t, !n.lacksTargets())
	assert.DeepEqual(t, n.idsInUse(), []string{"b", "c"})
}

func TestPartOfTheListIsNotUsedRightAfterTheStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n, _ := newTargetsNode(clock)
	n.startedAt = clock.Now()
	n.applyPartOfTargets(newAddressedTargets("a"))
	assert.Assert(t, !n.targetsKnown.Load())
	clock.Advance(partialTargetsDelay)
	n.applyPartOfTargets(newAddressedTargets("a"))
	assert.Assert(t, n.targetsKnown.Load())
}

// Others would use a part in place of the list, or take it for a read.
func TestPartOfTheListIsNotPassedOn(t *testing.T) {
	n, _ := newTargetsNode(clockwork.NewFakeClock())
	n.applyPartOfTargets(newAddressedTargets("a"))
	digest, position, age := n.targetsState()
	assert.Equal(t, digest, uint32(0))
	assert.Assert(t, position.IsZero())
	assert.Equal(t, age, uint32(unknownAge))
	assert.Equal(t, n.untilNextTargetRead(), time.Duration(0))
	assert.Equal(t, n.clusterView().TargetsAge, time.Duration(0))
	for _, known := range []uint32{0, 5, digestOf(n.targets.present)} {
		request, err := json.Marshal(targetsRequest{Known: known})
		assert.NilError(t, err)
		response, err := n.handleTargetsRequest(t.Context(), "", request)
		assert.NilError(t, err)
		assert.DeepEqual(t, response, targetsResponse{})
	}
}

// Another instance's list has the digest 0 if it is empty, as has this one's before a read.
func TestPartOfTheListIsReplacedByAnEmptyListOfAnotherInstance(t *testing.T) {
	n, _ := newTargetsNode(clockwork.NewFakeClock())
	n.applyPartOfTargets(newAddressedTargets("a"))
	n.handleTargetsState(address(1), &message{TargetsPosition: 5, TargetsAgeMs: unknownAge})
	assert.DeepEqual(t, n.idsInUse(), []string{"a"})
	n.handleTargetsState(address(1), &message{TargetsPosition: 5})
	assert.Equal(t, len(n.idsInUse()), 0)
	assert.Assert(t, !n.lacksTargets())
	assert.Equal(t, n.targets.position, at(5))
}

func TestTargetWhosePageCannotBeReadIsNotTakenAsGone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n, logs := newTargetsNode(clock)
	part := newAddressedTargets("a", "b", "c")
	n.applyPartOfTargets(part)
	// The read fails at an earlier page.
	n.applyPartOfTargets(newAddressedTargets("a"))
	assert.DeepEqual(t, n.idsInUse(), []string{"a", "b", "c"})
	// A target that is missing from a page which was read has left.
	part = newAddressedTargets("b", "c")
	part[0].Draining = true
	n.applyPartOfTargets(part)
	assert.DeepEqual(t, n.idsInUse(), []string{"b", "c"})
	assert.Assert(t, n.isLeaving(part[0].Key().String()))

	n.applyTargets(newAddressedTargets("b", "c", "d"), at(1), 0)
	present, digest, gone := n.targets.present, n.targets.digest(), logs.FilterMessage("target gone").Len()
	clock.Advance(2 * outageThreshold)
	n.applyPartOfTargets(newAddressedTargets("d", "e"))
	n.applyPartOfTargets(nil)
	assert.DeepEqual(t, n.idsInUse(), []string{"b", "c", "d"})
	assert.Assert(t, equalTargets(n.targets.present, present))
	assert.Equal(t, n.targets.digest(), digest)
	assert.Equal(t, n.targets.position, at(1))
	assert.Equal(t, logs.FilterMessage("target gone").Len(), gone)
}

func TestPartOfTheListTellsNothingOfTargets(t *testing.T) {
	const expiry = 5 * time.Second
	var l targetList
	start := time.Unix(1000, 0)
	born := newAddressedTargets("a")
	for now := start; now.Before(start.Add(4 * expiry)); now = now.Add(400 * time.Millisecond) {
		l.applyPart(born, now)
	}
	for _, target := range []string{"a@77", "b@77"} {
		assert.Equal(t, l.liveness(target, start, expiry), quarantine.Undecided)
	}
	now := start.Add(4 * expiry)
	l.apply(born, at(1), now, 0)
	for _, target := range []string{"a@77", "b@77"} {
		assert.Equal(t, l.liveness(target, start, expiry), quarantine.Undecided)
	}
}

// Targets that were not in the part are not new in the list.
func TestTargetsBeyondThePartOfTheListAreNotAssumedCold(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n, _ := newTargetsNode(clock)
	n.traits.adopt(coldTraits)
	targets := newAddressedTargets("a", "b", "c")
	for _, target := range targets {
		target.Service = "s"
	}
	targets[0].ColdLeft = time.Second
	n.applyPartOfTargets(targets[:1])
	assert.Equal(t, n.cold.count(clock.Now()), 1)
	n.applyTargets(targets[:2], at(1), 0)
	assert.Equal(t, n.cold.count(clock.Now()), 1)
	n.applyTargets(targets, at(2), 0)
	assert.Equal(t, n.cold.count(clock.Now()), 2)
}

func TestWholeListIsFetchedFromAnotherInstanceWhileAPartIsKnown(t *testing.T) {
	var buses []*peer.NetBus
	for range 2 {
		bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a secret of the deployment")})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = bus.Close() })
		buses = append(buses, bus)
	}
	n, _ := newTargetsNode(clockwork.NewFakeClock())
	n.bus = buses[0]
	buses[1].Handle(methodTargets, func(context.Context, string, json.RawMessage) (any, error) {
		return targetsResponse{Position: 7, Targets: newAddressedTargets("a", "b")}, nil
	})
	assert.NilError(t, n.bus.Start())
	assert.NilError(t, buses[1].Start())
	n.applyPartOfTargets(newAddressedTargets("a"))
	n.peers.recordMessage(buses[1].Address(), &message{})
	ctx, cancel := context.WithCancel(t.Context())
	var syncing sync.WaitGroup
	syncing.Go(func() { n.syncWithPeers(ctx) })
	defer syncing.Wait()
	defer cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.lacksTargets() {
			return poll.Continue("the list is not known")
		}
		return poll.Success()
	})
	_, position, _ := n.targetsState()
	assert.Equal(t, position, at(7))
}
