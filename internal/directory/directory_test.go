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

// testDirectory is a directory with its own platform and rumors.
type testDirectory struct {
	*Directory
	memory      *platform.Memory
	rumors      *membership.LocalRumors
	unavailable bool
}

func newTestDirectory(clock clockwork.Clock, current *tables.Tables) *testDirectory {
	d := &testDirectory{memory: platform.NewMemory(), rumors: membership.NewLocalRumors()}
	d.memory.InjectFault = func(context.Context, string) error {
		if d.unavailable {
			return platform.ErrUnavailable
		}
		return nil
	}
	d.Directory = New(Options{
		Config: func() *tables.Tables { return current }, List: d.memory, Rumors: d.rumors,
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	return d
}

func listedTarget(name, address string) platform.ListedInstance {
	return platform.ListedInstance{
		Name: name, Role: platform.RoleTarget, Address: address, FailureDomain: "zone-a",
		Pool: "pool", Version: "v1", Slots: 4,
	}
}

func asLeaving(l platform.ListedInstance) platform.ListedInstance {
	l.Leaving = true
	return l
}

func tablesWithTargets(targets ...tables.Target) *tables.Tables {
	return &tables.Tables{Version: 1, Pools: []tables.Pool{{Name: "pool", Targets: targets}}}
}

// readTargetNames reads the given list and returns the names of the usable
// targets.
func (d *testDirectory) readTargetNames(list ...platform.ListedInstance) []string {
	d.memory.SetInstances(list)
	_ = d.readList(context.Background())
	names := []string{}
	for _, target := range d.Targets("pool") {
		names = append(names, target.Name)
	}
	return names
}

func TestTargetsAreMergedFromTableAndList(t *testing.T) {
	d := newTestDirectory(clockwork.NewFakeClock(), tablesWithTargets(tables.Target{Name: "t1", Address: "127.0.0.1:1", Slots: 9}))
	otherPool := listedTarget("o", "127.0.0.1:3")
	otherPool.Pool = "other"
	entry := listedTarget("e", "127.0.0.1:4")
	entry.Role = platform.RoleEntry
	got := d.readTargetNames(listedTarget("i-1", "127.0.0.1:1"), listedTarget("i-2", "127.0.0.1:2"), otherPool, entry)
	assert.DeepEqual(t, got, []string{"i-2", "t1"})
	merged := d.Targets("pool")[1]
	assert.Equal(t, merged.Slots, 9, "the table takes precedence over the list")
	assert.Equal(t, merged.Version, "v1", "the list provides values that the table omits")
}

func TestPoolIncludesListedTargetsOfItsFailureDomainsOnly(t *testing.T) {
	current := tablesWithTargets()
	current.Pools[0].FailureDomains = []string{"zone-b"}
	d := newTestDirectory(clockwork.NewFakeClock(), current)
	assert.DeepEqual(t, d.readTargetNames(listedTarget("i-1", "127.0.0.1:1")), []string{})
}

func TestOutageKeepsTheLastList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newTestDirectory(clock, tablesWithTargets())
	assert.DeepEqual(t, d.readTargetNames(listedTarget("i-1", "127.0.0.1:1")), []string{"i-1"})
	d.unavailable = true
	clock.Advance(time.Hour)
	assert.DeepEqual(t, d.readTargetNames(), []string{"i-1"})
	age, ok := d.ListAge()
	assert.Check(t, ok && age == time.Hour)
}

func TestLeavingTargetIsOutOfUseEverywhereAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	target := tables.Target{Name: "t1", Address: "127.0.0.1:1"}
	a, b := newTestDirectory(clock, tablesWithTargets(target)), newTestDirectory(clock, tablesWithTargets(target))
	membership.ConnectLocalRumors(a.rumors, b.rumors)
	changes := 0
	b.OnChange(func() { changes++ })
	a.MarkLeaving("127.0.0.1:1")
	assert.Equal(t, len(a.Targets("pool")), 0)
	assert.Equal(t, len(b.Targets("pool")), 0)
	assert.Equal(t, changes, 1)
	assert.Check(t, b.Entries("pool")[0].Leaving)
}

func TestFirstReaderOfALeavingTargetTellsTheOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestDirectory(clock, tablesWithTargets()), newTestDirectory(clock, tablesWithTargets())
	membership.ConnectLocalRumors(a.rumors, b.rumors)
	target := listedTarget("i-1", "127.0.0.1:1")
	assert.DeepEqual(t, b.readTargetNames(target), []string{"i-1"})
	assert.DeepEqual(t, a.readTargetNames(asLeaving(target)), []string{})
	assert.Equal(t, len(b.Targets("pool")), 0)
	rank := b.rumors.RumorsOfKind(membership.RumorTargetLeaving)[0].Rank
	clock.Advance(time.Second)
	assert.DeepEqual(t, b.readTargetNames(asLeaving(target)), []string{})
	assert.Equal(t, b.rumors.RumorsOfKind(membership.RumorTargetLeaving)[0].Rank, rank, "a known leaving target is not announced again")
}

func TestLeavingMarkAppliesUntilTargetIsReplaced(t *testing.T) {
	const address = "127.0.0.1:1"
	tableTarget := tables.Target{Name: "t1", Address: address}
	cases := []struct {
		name   string
		table  []tables.Target
		before []platform.ListedInstance
		after  []platform.ListedInstance
		want   []string
	}{
		{"still listed", nil, []platform.ListedInstance{listedTarget("a", address)}, []platform.ListedInstance{listedTarget("a", address)}, []string{}},
		{"replaced", nil, []platform.ListedInstance{listedTarget("a", address)}, []platform.ListedInstance{listedTarget("b", address)}, []string{"b"}},
		{"both listed", nil, []platform.ListedInstance{listedTarget("a", address)}, []platform.ListedInstance{asLeaving(listedTarget("a", address)), listedTarget("b", address)}, []string{"b"}},
		{"missing from the list, still in the table", []tables.Target{tableTarget}, []platform.ListedInstance{listedTarget("a", address)}, nil, []string{}},
		{"listed after the mark", []tables.Target{tableTarget}, nil, []platform.ListedInstance{listedTarget("a", address)}, []string{}},
		{"replaced in the list, same name in the table", []tables.Target{tableTarget}, []platform.ListedInstance{listedTarget("a", address)}, []platform.ListedInstance{listedTarget("b", address)}, []string{"t1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDirectory(clockwork.NewFakeClock(), tablesWithTargets(c.table...))
			d.readTargetNames(c.before...)
			d.MarkLeaving(address)
			assert.Equal(t, len(d.Targets("pool")), 0)
			assert.DeepEqual(t, d.readTargetNames(c.after...), c.want)
		})
	}
}

func TestLargeListIsReadLessOften(t *testing.T) {
	d := newTestDirectory(clockwork.NewFakeClock(), tablesWithTargets())
	for i := range 1000 {
		d.listedTargets[string(rune(i))] = platform.ListedInstance{}
	}
	assert.Check(t, d.nextReadWait(true) >= 75*time.Second)
}
