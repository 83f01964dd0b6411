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

// cluster drives memberships over an in-memory network by a fake clock.
type cluster struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	network *peer.Network
	// blocked holds the directions that lose everything.
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

func (c *cluster) start(self Member, list platform.InstanceList, seeds ...string) *Membership {
	bus := c.network.Bus(self.PeerAddress)
	m := New(Options{
		Self: self, Bus: bus, Seeds: seeds, List: list, Clock: c.clock,
		Rand: rand.New(rand.NewPCG(uint64(len(c.running)), 7)),
	})
	assert.NilError(c.t, bus.Start())
	c.running = append(c.running, m)
	return m
}

// startMany starts n members that know the first one and joins them.
func (c *cluster) startMany(n int) []*Membership {
	first := memberAt("m000", 1000)
	for i := range n {
		c.start(memberAt(fmt.Sprintf("m%03d", i), 1000+i), nil, first.PeerAddress)
	}
	for _, m := range c.running {
		m.joinOnce(context.Background())
	}
	return c.running
}

// run advances time in ticks; each live member ticks and now and then joins
// and compares, as its loops would.
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
				m.syncOnce(context.Background())
			}
		}
	}
}

// crash stops a member without a word.
func (c *cluster) crash(m *Membership) {
	c.running = slices.DeleteFunc(c.running, func(other *Membership) bool { return other == m })
	assert.NilError(c.t, m.bus.Close())
}

func (c *cluster) cut(a, b *Membership) {
	c.block(a, b)
	c.block(b, a)
}

func (c *cluster) block(from, to *Membership) {
	c.blocked[[2]string{from.self.PeerAddress, to.self.PeerAddress}] = true
}

func names(m *Membership) []string {
	var all []string
	for _, member := range m.View().Members {
		all = append(all, member.Name)
	}
	return all
}

func (c *cluster) assertViews(want ...string) {
	c.t.Helper()
	for _, m := range c.running {
		assert.DeepEqual(c.t, names(m), want)
	}
}

func TestMembersFindEachOtherBySeed(t *testing.T) {
	c := newCluster(t)
	c.startMany(5)
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
		{Name: "gone", Role: platform.RoleEntry, Address: "127.0.0.1:1"},
		{Name: "b", Role: platform.RoleEntry, Address: "127.0.0.1:2002"},
	})
	a := c.start(memberAt("a", 2001), memory)
	c.start(memberAt("b", 2002), memory)
	a.readList(context.Background())
	a.joinOnce(context.Background())
	assert.DeepEqual(t, names(a), []string{"a"})
	down = false
	a.readList(context.Background())
	a.joinOnce(context.Background())
	c.assertViews("a", "b")
}

func TestCrashedMemberIsRemovedEverywhere(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(7)
	c.run(3 * time.Second)
	c.crash(members[3])
	c.run(10 * time.Second)
	c.assertViews("m000", "m001", "m002", "m004", "m005", "m006")
	assert.Equal(t, members[0].Reach().Known, 7)
	assert.Check(t, members[0].Reach().Majority())
}

func TestDeadMemberThatTheListDropsIsNotMissed(t *testing.T) {
	cases := []struct {
		name  string
		list  []platform.ListedInstance
		known int
	}{
		{"dropped", []platform.ListedInstance{{Name: "m000", Role: platform.RoleEntry}}, 3},
		{"still shown", []platform.ListedInstance{{Name: "m000", Role: platform.RoleEntry}, {Name: "m003", Role: platform.RoleEntry}}, 4},
		{"empty", nil, 4},
	}
	for _, listed := range cases {
		t.Run(listed.name, func(t *testing.T) {
			c := newCluster(t)
			members := c.startMany(4)
			c.run(3 * time.Second)
			c.crash(members[3])
			c.run(10*time.Second + listLag)
			memory := platform.NewMemory()
			memory.SetInstances(listed.list)
			members[0].list = memory
			members[0].readList(context.Background())
			assert.Equal(t, members[0].Reach().Known, listed.known)
		})
	}
}

func TestLeavingMemberIsShownAndThenGoneAtOnce(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(4)
	c.run(3 * time.Second)
	leaver := members[2]
	leaver.MarkLeaving()
	c.run(time.Second)
	for _, m := range c.running {
		assert.Check(t, m.View().Members[2].Leaving, "%s", m.self.Name)
		assert.Check(t, Owner(m.View(), "a duty").Name != leaver.self.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, leaver.Leave(ctx) != nil)
	c.run(5 * time.Second)
	c.crash(leaver)
	c.assertViews("m000", "m001", "m003")
	assert.Equal(t, members[0].Reach().Known, 3, "who left is not missed")
}

func TestPairThatCannotTalkKeepsEachOtherInView(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(3)
	c.run(3 * time.Second)
	c.cut(members[0], members[2])
	c.run(30 * time.Second)
	c.assertViews("m000", "m001", "m002")
}

func TestOneWayLossKeepsEachOtherInView(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(4)
	c.run(3 * time.Second)
	c.block(members[1], members[0])
	c.block(members[1], members[2])
	c.run(30 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003")
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(5)
	c.run(3 * time.Second)
	accused := members[4].self
	members[0].change(func(now time.Time) {
		members[0].merge(update{Member: accused, State: stateSuspect}, now)
	})
	c.run(10 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004")
	assert.Check(t, members[4].self.Incarnation > accused.Incarnation)
}

func TestRegionsPartedForMinutesFindEachOtherAgain(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(6)
	c.run(3 * time.Second)
	for _, a := range members[:3] {
		for _, b := range members[3:] {
			c.cut(a, b)
		}
	}
	c.run(3 * time.Minute)
	assert.DeepEqual(t, names(members[0]), []string{"m000", "m001", "m002"})
	assert.Check(t, !members[0].Reach().Majority(), "half is no majority")
	clear(c.blocked)
	c.run(20 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004", "m005")
}

func TestReplacementAtTheSameAddressTakesOver(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(4)
	c.run(3 * time.Second)
	c.crash(members[2])
	heir := memberAt("zz-heir", 1002)
	c.start(heir, nil, members[0].self.PeerAddress).joinOnce(context.Background())
	c.run(2 * time.Second)
	c.assertViews("m000", "m001", "m003", "zz-heir")
	assert.Equal(t, members[0].Reach().Known, 4, "the replaced one is not missed")
}

func TestReplacementThatNobodyToldOfIsFoundByProbe(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(3)
	c.run(3 * time.Second)
	c.crash(members[2])
	c.start(memberAt("heir", 1002), nil)
	c.run(8 * time.Second)
	c.assertViews("heir", "m000", "m001")
}

func TestNewProcessOfTheSameNameOutranksTheOld(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(3)
	c.run(3 * time.Second)
	c.crash(members[2])
	again := memberAt("m002", 4000)
	c.start(again, nil, members[0].self.PeerAddress).joinOnce(context.Background())
	c.run(2 * time.Second)
	c.assertViews("m000", "m001", "m002")
	assert.Equal(t, members[0].View().Members[2].PeerAddress, again.PeerAddress)
}

func TestPausedMemberAsksBeforeItAnalyzers(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(5)
	c.run(3 * time.Second)
	paused := members[1]
	var gap time.Duration
	paused.OnPause(func(d time.Duration) { gap = d })
	c.running = slices.Delete(slices.Clone(c.running), 1, 2)
	for _, m := range c.running {
		c.cut(paused, m)
	}
	c.run(time.Minute)
	assert.Equal(t, len(names(members[0])), 4)
	clear(c.blocked)
	before := paused.self.Incarnation
	paused.tick()
	assert.Check(t, gap >= time.Minute)
	assert.Check(t, paused.self.Incarnation > before)
	assert.Check(t, paused.resync)
	paused.syncOnce(context.Background())
	assert.Check(t, !paused.resync)
	c.running = append(c.running, paused)
	c.run(5 * time.Second)
	c.assertViews("m000", "m001", "m002", "m003", "m004")
}

func TestRumorReachesAllOnceAndOlderOnesDoNot(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(6)
	heard := make(map[string][]uint64)
	for _, m := range members {
		m.Subscribe(RumorTakenBack, func(r Rumor) {
			heard[m.self.Name] = append(heard[m.self.Name], r.Rank)
		})
	}
	c.run(3 * time.Second)
	members[0].Publish(Rumor{Kind: RumorTakenBack, Subject: "pool/v2", Rank: 5, Body: []byte("why")})
	c.run(3 * time.Second)
	members[1].Publish(Rumor{Kind: RumorTakenBack, Subject: "pool/v2", Rank: 4})
	c.run(3 * time.Second)
	for _, m := range members {
		assert.DeepEqual(t, heard[m.self.Name], []uint64{5})
		assert.Equal(t, string(m.Known(RumorTakenBack)[0].Body), "why")
	}
	late := c.start(memberAt("n", 3000), nil, members[0].self.PeerAddress)
	late.joinOnce(context.Background())
	assert.Equal(t, len(late.Known(RumorTakenBack)), 1)
}

func TestRumorsAreBoundedAndAge(t *testing.T) {
	now := time.Now()
	set := newRumorSet()
	limit := rumorLimits[RumorTakenBack].count
	for i := range limit + 10 {
		set.add(Rumor{Kind: RumorTakenBack, Subject: fmt.Sprint(i), Rank: uint64(i + 1)}, now)
	}
	assert.Equal(t, len(set.all(RumorTakenBack, now)), limit)
	assert.Check(t, !set.add(Rumor{Kind: RumorTakenBack, Subject: "low", Rank: 1}, now))

	leaving := Rumor{Kind: RumorTargetLeaving, Subject: "127.0.0.1:1", Rank: uint64(now.UnixMilli())}
	assert.Check(t, set.add(leaving, now))
	later := now.Add(16 * time.Minute)
	assert.Equal(t, len(set.all(RumorTargetLeaving, later)), 0)
	assert.Check(t, !set.add(leaving, later), "an expired rumour does not come back")
}

func TestStatusTravelsWithTheTimeOfItsProbe(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(2)
	members[1].CarryStatus(func() Status {
		return Status{Version: 9, TableAge: 250 * time.Microsecond, TableKnown: true}
	}, func(Heard) {})
	var heard []Heard
	members[0].CarryStatus(func() Status { return Status{} }, func(h Heard) { heard = append(heard, h) })
	c.run(2 * time.Second)
	solicited := 0
	for _, h := range heard {
		assert.DeepEqual(t, h.Status, Status{Version: 9, TableAge: time.Millisecond, TableKnown: true})
		if !h.AsOf.IsZero() {
			solicited++
		}
	}
	assert.Check(t, solicited > 0)
	assert.Equal(t, members[0].Statuses()[1].Status.Version, uint64(9))
}

func TestPacketsPerMemberDoNotGrowWithMembers(t *testing.T) {
	rate := func(n int) float64 {
		c := newCluster(t)
		c.startMany(n)
		c.run(20 * time.Second)
		c.packets.Store(0)
		c.run(10 * time.Second)
		return float64(c.packets.Load()) / float64(n) / 10
	}
	small, large := rate(10), rate(40)
	assert.Check(t, large < 1.2*small, "%.2f and %.2f packets a second", small, large)
}

func TestLeaveEndsWithItsContext(t *testing.T) {
	c := newCluster(t)
	m := c.startMany(1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, errors.Is(m.Leave(ctx), context.Canceled))
}

func TestComparisonExchangesOnlyWhatDiffers(t *testing.T) {
	c := newCluster(t)
	members := c.startMany(60)
	c.run(5 * time.Second)
	a, b := members[0], members[1]
	now := c.clock.Now()
	assert.Equal(t, len(b.answerSync(a.openSync(), now).Updates), 0)
	a.mu.Lock()
	a.merge(update{Member: memberAt("zz", 5000), State: stateAlive}, now)
	a.rumors.add(Rumor{Kind: RumorTakenBack, Subject: "pool/v2", Rank: 1}, now)
	a.mu.Unlock()
	answer := b.answerSync(a.openSync(), now)
	assert.Check(t, len(answer.Updates) < 12, "%d of 60", len(answer.Updates))
	assert.NilError(t, a.syncWith(context.Background(), b.self.PeerAddress))
	assert.Equal(t, len(b.View().Members), 61)
	assert.Equal(t, len(b.Known(RumorTakenBack)), 1)
}

func TestInstanceCountsItselfAloneOnlyAfterItHasSoughtOthers(t *testing.T) {
	c := newCluster(t)
	first := c.start(memberAt("a", 1), nil, memberAt("a", 1).PeerAddress)
	assert.Check(t, first.Reach().Joined, "it has nobody to seek")
	second := c.start(memberAt("b", 2), nil, "127.0.0.1:9")
	assert.Check(t, !second.Reach().Joined)
	c.run(joinPatience)
	assert.Check(t, !second.Reach().Joined)
	c.run(tickInterval)
	assert.Check(t, second.Reach().Joined)
	third := c.start(memberAt("c", 3), platform.NewMemory(), "127.0.0.1:1")
	assert.Check(t, !third.Reach().Joined)
	third.joinOnce(context.Background())
	assert.Check(t, third.Reach().Joined)
}
