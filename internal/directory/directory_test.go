package directory

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// node is one directory with its platform.
type node struct {
	*Directory
	memory *platform.Memory
	rumors *membership.LocalRumors
	down   bool
}

func newNode(clock clockwork.Clock, current *tables.Tables) *node {
	n := &node{memory: platform.NewMemory(), rumors: membership.NewLocalRumors()}
	n.memory.InjectFault = func(context.Context, string) error {
		if n.down {
			return platform.ErrUnavailable
		}
		return nil
	}
	n.Directory = New(Options{
		Current: func() *tables.Tables { return current }, List: n.memory, Rumors: n.rumors,
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	return n
}

func listed(name, address string) platform.ListedInstance {
	return platform.ListedInstance{
		Name: name, Role: platform.RoleTarget, Address: address, FailureDomain: "zone-a",
		Pool: "pool", Version: "v1", Slots: 4,
	}
}

func leaving(l platform.ListedInstance) platform.ListedInstance {
	l.Leaving = true
	return l
}

func pools(targets ...tables.Target) *tables.Tables {
	return &tables.Tables{Version: 1, Pools: []tables.Pool{{Name: "pool", Targets: targets}}}
}

// names returns the usable targets after a read of the list.
func (n *node) names(list ...platform.ListedInstance) []string {
	n.memory.SetInstances(list)
	_ = n.read(context.Background())
	names := []string{}
	for _, target := range n.Targets("pool") {
		names = append(names, target.Name)
	}
	return names
}

func TestTargetsComeFromTableAndList(t *testing.T) {
	n := newNode(clockwork.NewFakeClock(), pools(tables.Target{Name: "t1", Address: "127.0.0.1:1", Slots: 9}))
	other := listed("o", "127.0.0.1:3")
	other.Pool = "other"
	entry := listed("e", "127.0.0.1:4")
	entry.Role = platform.RoleEntry
	got := n.names(listed("i-1", "127.0.0.1:1"), listed("i-2", "127.0.0.1:2"), other, entry)
	assert.DeepEqual(t, got, []string{"i-2", "t1"})
	merged := n.Targets("pool")[1]
	assert.Equal(t, merged.Slots, 9, "the table goes first")
	assert.Equal(t, merged.Version, "v1", "the list fills what it leaves open")
}

func TestPoolTakesListedTargetsOfItsFailureDomainsOnly(t *testing.T) {
	current := pools()
	current.Pools[0].FailureDomains = []string{"zone-b"}
	n := newNode(clockwork.NewFakeClock(), current)
	assert.DeepEqual(t, n.names(listed("i-1", "127.0.0.1:1")), []string{})
}

func TestOutageKeepsTheLastList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newNode(clock, pools())
	assert.DeepEqual(t, n.names(listed("i-1", "127.0.0.1:1")), []string{"i-1"})
	n.down = true
	clock.Advance(time.Hour)
	assert.DeepEqual(t, n.names(), []string{"i-1"})
	age, ok := n.ListAge()
	assert.Check(t, ok && age == time.Hour)
}

func TestLeavingTargetIsOutOfUseEverywhereAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	target := tables.Target{Name: "t1", Address: "127.0.0.1:1"}
	a, b := newNode(clock, pools(target)), newNode(clock, pools(target))
	membership.Join(a.rumors, b.rumors)
	changed := 0
	b.OnChange(func() { changed++ })
	a.MarkLeaving("127.0.0.1:1")
	assert.Equal(t, len(a.Targets("pool")), 0)
	assert.Equal(t, len(b.Targets("pool")), 0)
	assert.Equal(t, changed, 1)
	assert.Check(t, b.Entries("pool")[0].Leaving)
}

func TestFirstReaderOfALeavingTargetTellsTheOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newNode(clock, pools()), newNode(clock, pools())
	membership.Join(a.rumors, b.rumors)
	stays := listed("i-1", "127.0.0.1:1")
	assert.DeepEqual(t, b.names(stays), []string{"i-1"})
	assert.DeepEqual(t, a.names(leaving(stays)), []string{})
	assert.Equal(t, len(b.Targets("pool")), 0)
	rank := b.rumors.Known(membership.RumorTargetLeaving)[0].Rank
	clock.Advance(time.Second)
	assert.DeepEqual(t, b.names(leaving(stays)), []string{})
	assert.Equal(t, b.rumors.Known(membership.RumorTargetLeaving)[0].Rank, rank, "told once")
}

func TestLeavingEndsOnlyWithAnotherTarget(t *testing.T) {
	const address = "127.0.0.1:1"
	fixed := tables.Target{Name: "t1", Address: address}
	cases := []struct {
		name   string
		table  []tables.Target
		before []platform.ListedInstance
		after  []platform.ListedInstance
		want   []string
	}{
		{"still listed", nil, []platform.ListedInstance{listed("a", address)}, []platform.ListedInstance{listed("a", address)}, []string{}},
		{"replaced", nil, []platform.ListedInstance{listed("a", address)}, []platform.ListedInstance{listed("b", address)}, []string{"b"}},
		{"both listed", nil, []platform.ListedInstance{listed("a", address)}, []platform.ListedInstance{leaving(listed("a", address)), listed("b", address)}, []string{"b"}},
		{"dropped by the list, kept by the table", []tables.Target{fixed}, []platform.ListedInstance{listed("a", address)}, nil, []string{}},
		{"listed late", []tables.Target{fixed}, nil, []platform.ListedInstance{listed("a", address)}, []string{}},
		{"replaced under the table's name", []tables.Target{fixed}, []platform.ListedInstance{listed("a", address)}, []platform.ListedInstance{listed("b", address)}, []string{"t1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(clockwork.NewFakeClock(), pools(c.table...))
			n.names(c.before...)
			n.MarkLeaving(address)
			assert.Equal(t, len(n.Targets("pool")), 0)
			assert.DeepEqual(t, n.names(c.after...), c.want)
		})
	}
}

func TestReadsOfALargeListAreRarer(t *testing.T) {
	n := newNode(clockwork.NewFakeClock(), pools())
	for i := range 1000 {
		n.listed[string(rune(i))] = platform.ListedInstance{}
	}
	assert.Check(t, n.wait(true) >= 75*time.Second)
}
