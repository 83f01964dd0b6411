package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func instances(addresses ...string) []Instance {
	all := make([]Instance, 0, len(addresses))
	for _, address := range addresses {
		all = append(all, Instance{Address: address, Capacity: 20})
	}
	return all
}

func TestRosterKeepsPlacesOfThoseThatLive(t *testing.T) {
	roster := &Roster{Epoch: 4, Addresses: []string{"a", "b", "c"}}
	same, changed := roster.Next(3, instances("d", "c", "b", "a"))
	assert.Assert(t, !changed, "%v", same)

	next, changed := roster.Next(3, instances("a", "c", "d"))
	assert.Assert(t, changed)
	assert.DeepEqual(t, next.Addresses, []string{"a", "d", "c"})
	assert.Assert(t, next.Supersedes(roster) && !roster.Supersedes(next))

	fewer, _ := roster.Next(2, instances("a", "b", "c"))
	assert.DeepEqual(t, fewer.Addresses, []string{"a", "b"})
	alone, _ := roster.Next(3, instances("c"))
	assert.DeepEqual(t, alone.Addresses, []string{"c"})
}

func TestRosterPrefersTheLargest(t *testing.T) {
	all := append(instances("a", "b", "c", "d"), Instance{Address: "e", Capacity: 80}, Instance{Address: "f", Capacity: 40})
	roster, _ := (&Roster{}).Next(2, all)
	assert.DeepEqual(t, roster.Addresses, []string{"e", "f"})
}

func TestOneOfTwoRostersWinsEverywhere(t *testing.T) {
	one, two := &Roster{Epoch: 3, Addresses: []string{"a"}}, &Roster{Epoch: 3, Addresses: []string{"b"}}
	assert.Assert(t, one.Supersedes(two) != two.Supersedes(one))
	assert.Assert(t, !one.Supersedes(one))
	assert.Assert(t, one.Digest() != two.Digest())
}

func TestGroupsOfACoordinatorThatIsSilentGoToOthers(t *testing.T) {
	roster := &Roster{Epoch: 1, Addresses: []string{"a", "b", "c"}}
	silent := func(address string) bool { return address == "b" }
	assert.Equal(t, roster.coordinator(3, silent), "a")
	assert.Equal(t, roster.coordinator(1, silent), "c")
	assert.Equal(t, roster.coordinator(1, func(string) bool { return true }), "")
	assert.Equal(t, (&Roster{}).coordinator(1, silent), "")
}

func TestDivisionDependsOnTheTargetsOnly(t *testing.T) {
	for _, c := range []struct{ targets, groups int }{{1, 1}, {16, 1}, {17, 2}, {33, 4}, {90, 8}, {112, 8}, {128, 8}} {
		targets := make([]*catalog.Target, c.targets)
		backwards := make([]*catalog.Target, c.targets)
		for i := range targets {
			targets[i] = engine(fmt.Sprint("engine-", i), 4)
			backwards[c.targets-1-i] = targets[i]
		}
		one, two := NewGroups(targets), NewGroups(backwards)
		assert.Equal(t, one.Count(), c.groups, "%d targets", c.targets)
		for id, of := range one.groupOf {
			assert.Equal(t, two.groupOf[id], of)
			assert.Assert(t, of.index < c.groups)
		}
	}
}

func TestLeavingTargetIsCountedAndNotChosen(t *testing.T) {
	leaving := engine("leaving", 4)
	leaving.Draining = true
	groups := NewGroups([]*catalog.Target{engine("one", 4), leaving})
	assert.Equal(t, len(groups.serving["engines"]), 1)
	assert.Equal(t, len(groups.schedulerTargets()), 2)
}
