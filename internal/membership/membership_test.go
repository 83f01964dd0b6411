package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// cluster runs memberships over an in-memory network with a fake clock.
type cluster struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	network *peer.Network
	// blocked holds the directions, from one address to another, in which all
	// messages are lost.
	blocked map[[2]string]bool
	running []*Membership
	packets atomic.Int64
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, clock: clockwork.NewFakeClock(), network: peer.NewNetwork(),
		blocked: make(map[[2]string]bool),
	}
	c.network.Deliver = func(from, to string) bool {
		c.packets.Add(1)
		return !c.blocked[[2]string{from, to}]
	}
	return c
}

func memberAt(name string, port int) Member {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	domains := []string{"zone-a", "zone-b", "zone-c"}
	return Member{Name: name, PeerAddress: address, FailureDomain: domains[port%3]}
}

func (c *cluster) addMember(self Member, list platform.InstanceList, seeds ...string) *Membership {
	bus := c.network.Bus(self.PeerAddress)
	m := New(Options{
		Self: self, Bus: bus, Seeds: seeds, List: list, Clock: c.clock,
		Rand: rand.New(rand.NewPCG(uint64(len(c.running)), 7)),
	})
	assert.NilError(c.t, bus.Start())
	c.running = append(c.running, m)
	return m
}

// addMembers adds n members that have the first one as their seed, and joins
// them.
func (c *cluster) addMembers(n int) []*Membership {
	first := memberAt("m000", 1000)
	for i := range n {
		c.addMember(memberAt(fmt.Sprintf("m%03d", i), 1000+i), nil, first.PeerAddress)
	}
	for _, m := range c.running {
		m.joinOnce(context.Background())
	}
	return c.running
}

// run advances the clock tick by tick. Each member ticks, and at some ticks
// joins and syncs, as its loops would.
func (c *cluster) run(d time.Duration) {
	ticks := int(d / tickInterval)
	for i := range ticks {
		c.clock.Advance(tickInterval)
		for j, m := range c.running {
			m.tick()
			if (i+j)%50 == 0 {
				m.joinOnce(context.Background())
			}
			if (i+j)%100 == 0 {
				m.syncWithRandomMember(context.Background())
			}
		}
	}
}

// stopMember stops a member without a leave announcement.
func (c *cluster) stopMember(m *Membership) {
	c.running = slices.DeleteFunc(c.running, func(other *Membership) bool { return other == m })
	assert.NilError(c.t, m.bus.Close())
}

func (c *cluster) disconnect(a, b *Membership) {
	c.block(a, b)
	c.block(b, a)
}

func (c *cluster) block(from, to *Membership) {
	c.blocked[[2]string{from.self.PeerAddress, to.self.PeerAddress}] = true
}

func memberNames(m *Membership) []string {
	var all []string
	for _, member := range m.View().Members {
		all = append(all, member.Name)
	}
	return all
}

func (c *cluster) assertViews(want ...string) {
	c.t.Helper()
	for _, m := range c.running {
		assert.DeepEqual(c.t, memberNames(m), want)
	}
}

func TestMembersJoinThroughSeed(t *testing.T) {
	c := newCluster(t)
	c.addMembers(5)
	c.run(3 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004")
}

func TestMembersFindEachOtherByListThatLagsAndFails(t *testing.T) {
	c := newCluster(t)
	memory := platform.NewMemory()
	down := true
	memory.InjectFault = func(context.Context, string) error {
		if down {
			return platform.ErrUnavailable
		}
		return nil
	}
	memory.SetInstances([]platform.ListedInstance{
		{Name: "stopped", Role: platform.RoleEntry, Address: "127.0.0.1:1"},
		{Name: "b", Role: platform.RoleEntry, Address: "127.0.0.1:2002"},
	})
	a := c.addMember(memberAt("a", 2001), memory)
	c.addMember(memberAt("b", 2002), memory)
	a.readInstanceList(context.Background())
	a.joinOnce(context.Background())
	assert.DeepEqual(t, memberNames(a), []string{"a"})
	down = false
	a.readInstanceList(context.Background())
	a.joinOnce(context.Background())
	c.assertViews("a", "b")
}

func TestCrashedMemberIsRemovedEverywhere(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(7)
	c.run(3 * time.Second)
	c.stopMember(members[3])
	c.run(10 * time.Second)
	c.assertViews("m000", "m001", "m002", "m004", "m005", "m006")
	assert.Equal(t, members[0].Reach().Known, 7)
	assert.Check(t, members[0].Reach().Majority())
}

func TestDeadMemberMissingFromListIsNotKnown(t *testing.T) {
	cases := []struct {
		name  string
		list  []platform.ListedInstance
		known int
	}{
		{"missing from the list", []platform.ListedInstance{{Name: "m000", Role: platform.RoleEntry}}, 3},
		{"still listed", []platform.ListedInstance{{Name: "m000", Role: platform.RoleEntry}, {Name: "m003", Role: platform.RoleEntry}}, 4},
		{"empty list", nil, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			members := c.addMembers(4)
			c.run(3 * time.Second)
			c.stopMember(members[3])
			c.run(10*time.Second + maxListLag)
			memory := platform.NewMemory()
			memory.SetInstances(tc.list)
			members[0].list = memory
			members[0].readInstanceList(context.Background())
			assert.Equal(t, members[0].Reach().Known, tc.known)
		})
	}
}

func TestLeavingMemberIsMarkedAndThenRemoved(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(4)
	c.run(3 * time.Second)
	leaving := members[2]
	leaving.MarkLeaving()
	c.run(time.Second)
	for _, m := range c.running {
		assert.Check(t, m.View().Members[2].Leaving, "%s", m.self.Name)
		assert.Check(t, Owner(m.View(), "a key").Name != leaving.self.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, leaving.Leave(ctx) != nil)
	c.run(5 * time.Second)
	c.stopMember(leaving)
	c.assertViews("m000", "m001", "m003")
	assert.Equal(t, members[0].Reach().Known, 3, "a member that left does not count as known")
}

func TestDisconnectedPairStaysInViewByIndirectProbes(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(3)
	c.run(3 * time.Second)
	c.disconnect(members[0], members[2])
	c.run(30 * time.Second)
	c.assertViews("m000", "m001", "m002")
}

func TestOneWayLossKeepsMembersInView(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(4)
	c.run(3 * time.Second)
	c.block(members[1], members[0])
	c.block(members[1], members[2])
	c.run(30 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003")
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(5)
	c.run(3 * time.Second)
	suspected := members[4].self
	members[0].change(func(now time.Time) {
		members[0].mergeUpdate(memberUpdate{Member: suspected, State: stateSuspect}, now)
	})
	c.run(10 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004")
	assert.Check(t, members[4].self.Incarnation > suspected.Incarnation)
}

func TestRegionsPartedForMinutesFindEachOtherAgain(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(6)
	c.run(3 * time.Second)
	for _, a := range members[:3] {
		for _, b := range members[3:] {
			c.disconnect(a, b)
		}
	}
	c.run(3 * time.Minute)
	assert.DeepEqual(t, memberNames(members[0]), []string{"m000", "m001", "m002"})
	assert.Check(t, !members[0].Reach().Majority(), "half of the known members is not a majority")
	clear(c.blocked)
	c.run(20 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004", "m005")
}

func TestReplacementAtSameAddressSupersedesMember(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(4)
	c.run(3 * time.Second)
	c.stopMember(members[2])
	replacement := memberAt("zz-replacement", 1002)
	c.addMember(replacement, nil, members[0].self.PeerAddress).joinOnce(context.Background())
	c.run(2 * time.Second)
	c.assertViews("m000", "m001", "m003", "zz-replacement")
	assert.Equal(t, members[0].Reach().Known, 4, "a replaced member does not count as known")
}

func TestUnannouncedReplacementIsDetectedByProbe(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(3)
	c.run(3 * time.Second)
	c.stopMember(members[2])
	c.addMember(memberAt("another", 1002), nil)
	c.run(8 * time.Second)
	c.assertViews("another", "m000", "m001")
}

func TestNewProcessOfSameNameSupersedesOldOne(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(3)
	c.run(3 * time.Second)
	c.stopMember(members[2])
	restarted := memberAt("m002", 4000)
	c.addMember(restarted, nil, members[0].self.PeerAddress).joinOnce(context.Background())
	c.run(2 * time.Second)
	c.assertViews("m000", "m001", "m002")
	assert.Equal(t, members[0].View().Members[2].PeerAddress, restarted.PeerAddress)
}

func TestPausedMemberSyncsBeforeItSuspectsOthers(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(5)
	c.run(3 * time.Second)
	paused := members[1]
	var gap time.Duration
	paused.OnPause(func(d time.Duration) { gap = d })
	c.running = slices.Delete(slices.Clone(c.running), 1, 2)
	for _, m := range c.running {
		c.disconnect(paused, m)
	}
	c.run(time.Minute)
	assert.Equal(t, len(memberNames(members[0])), 4)
	clear(c.blocked)
	before := paused.self.Incarnation
	paused.tick()
	assert.Check(t, gap >= time.Minute)
	assert.Check(t, paused.self.Incarnation > before)
	assert.Check(t, paused.resyncPending)
	paused.syncWithRandomMember(context.Background())
	assert.Check(t, !paused.resyncPending)
	c.running = append(c.running, paused)
	c.run(5 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004")
}

func TestRumorIsDeliveredOnceAndOlderOneIsDropped(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(6)
	received := make(map[string][]uint64)
	for _, m := range members {
		m.Subscribe(RumorRollback, func(r Rumor) {
			received[m.self.Name] = append(received[m.self.Name], r.Rank)
		})
	}
	c.run(3 * time.Second)
	members[0].Publish(Rumor{Kind: RumorRollback, Subject: "pool/v2", Rank: 5, Body: []byte("reason")})
	c.run(3 * time.Second)
	members[1].Publish(Rumor{Kind: RumorRollback, Subject: "pool/v2", Rank: 4})
	c.run(3 * time.Second)
	for _, m := range members {
		assert.DeepEqual(t, received[m.self.Name], []uint64{5})
		assert.Equal(t, string(m.RumorsOfKind(RumorRollback)[0].Body), "reason")
	}
	joined := c.addMember(memberAt("n", 3000), nil, members[0].self.PeerAddress)
	joined.joinOnce(context.Background())
	assert.Equal(t, len(joined.RumorsOfKind(RumorRollback)), 1)
}

func TestRumorsAreBoundedAndExpire(t *testing.T) {
	now := time.Now()
	set := newRumorSet()
	limit := rumorLimits[RumorRollback].count
	for i := range limit + 10 {
		set.add(Rumor{Kind: RumorRollback, Subject: fmt.Sprint(i), Rank: uint64(i + 1)}, now)
	}
	assert.Equal(t, len(set.ofKind(RumorRollback, now)), limit)
	assert.Check(t, !set.add(Rumor{Kind: RumorRollback, Subject: "low", Rank: 1}, now))

	leaving := Rumor{Kind: RumorTargetLeaving, Subject: "127.0.0.1:1", Rank: uint64(now.UnixMilli())}
	assert.Check(t, set.add(leaving, now))
	later := now.Add(16 * time.Minute)
	assert.Equal(t, len(set.ofKind(RumorTargetLeaving, later)), 0)
	assert.Check(t, !set.add(leaving, later), "an expired rumor is not stored again")
}

func TestStatusOfAckCarriesProbeTime(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(2)
	members[1].PiggybackStatus(func() Status {
		return Status{Version: 9, TableAge: 250 * time.Microsecond, TableAgeKnown: true}
	}, func(ReceivedStatus) {})
	var received []ReceivedStatus
	members[0].PiggybackStatus(func() Status { return Status{} }, func(h ReceivedStatus) { received = append(received, h) })
	c.run(2 * time.Second)
	fromAcks := 0
	for _, h := range received {
		assert.DeepEqual(t, h.Status, Status{Version: 9, TableAge: time.Millisecond, TableAgeKnown: true})
		if !h.AsOf.IsZero() {
			fromAcks++
		}
	}
	assert.Check(t, fromAcks > 0)
	assert.Equal(t, members[0].Statuses()[1].Status.Version, uint64(9))
}

func TestPacketsPerMemberDoNotGrowWithMembers(t *testing.T) {
	rate := func(n int) float64 {
		c := newCluster(t)
		c.addMembers(n)
		c.run(20 * time.Second)
		c.packets.Store(0)
		c.run(10 * time.Second)
		return float64(c.packets.Load()) / float64(n) / 10
	}
	small, large := rate(10), rate(40)
	assert.Check(t, large < 1.2*small, "packets per member and second: %.2f with 10 members, %.2f with 40", small, large)
}

func TestLeaveEndsWithItsContext(t *testing.T) {
	c := newCluster(t)
	m := c.addMembers(1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, errors.Is(m.Leave(ctx), context.Canceled))
}

func TestSyncExchangesOnlyDifferences(t *testing.T) {
	c := newCluster(t)
	members := c.addMembers(60)
	c.run(5 * time.Second)
	a, b := members[0], members[1]
	now := c.clock.Now()
	assert.Equal(t, len(b.buildSyncResponse(a.newSyncRequest(), now).Updates), 0)
	a.mu.Lock()
	a.mergeUpdate(memberUpdate{Member: memberAt("zz", 5000), State: stateAlive}, now)
	a.rumors.add(Rumor{Kind: RumorRollback, Subject: "pool/v2", Rank: 1}, now)
	a.mu.Unlock()
	response := b.buildSyncResponse(a.newSyncRequest(), now)
	assert.Check(t, len(response.Updates) < 12, "%d of 60 members sent in the response, want less than 12", len(response.Updates))
	assert.NilError(t, a.syncWith(context.Background(), b.self.PeerAddress))
	assert.Equal(t, len(b.View().Members), 61)
	assert.Equal(t, len(b.RumorsOfKind(RumorRollback)), 1)
}

func TestInstanceWithoutOthersHasJoinedOnlyAfterGracePeriod(t *testing.T) {
	c := newCluster(t)
	first := c.addMember(memberAt("a", 1), nil, memberAt("a", 1).PeerAddress)
	assert.Check(t, first.Reach().Joined, "it has no seed other than itself")
	second := c.addMember(memberAt("b", 2), nil, "127.0.0.1:9")
	assert.Check(t, !second.Reach().Joined)
	c.run(joinGracePeriod)
	assert.Check(t, !second.Reach().Joined)
	c.run(tickInterval)
	assert.Check(t, second.Reach().Joined)
	third := c.addMember(memberAt("c", 3), platform.NewMemory(), "127.0.0.1:1")
	assert.Check(t, !third.Reach().Joined)
	third.joinOnce(context.Background())
	assert.Check(t, third.Reach().Joined)
}
