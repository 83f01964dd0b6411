package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func newInstances(addresses ...string) []Instance {
	all := make([]Instance, 0, len(addresses))
	for _, address := range addresses {
		all = append(all, Instance{Address: address, Capacity: 20})
	}
	return all
}

func TestRosterKeepsPositionsOfLiveInstances(t *testing.T) {
	roster := &Roster{Epoch: 4, Addresses: []string{"a", "b", "c"}}
	same, changed := roster.Next(3, newInstances("d", "c", "b", "a"))
	assert.Assert(t, !changed, "%v", same)

	next, changed := roster.Next(3, newInstances("a", "c", "d"))
	assert.Assert(t, changed)
	assert.DeepEqual(t, next.Addresses, []string{"a", "d", "c"})
	assert.Assert(t, next.Supersedes(roster) && !roster.Supersedes(next))

	fewer, _ := roster.Next(2, newInstances("a", "b", "c"))
	assert.DeepEqual(t, fewer.Addresses, []string{"a", "b"})
	single, _ := roster.Next(3, newInstances("c"))
	assert.DeepEqual(t, single.Addresses, []string{"c"})
}

func TestRosterPrefersInstancesWithMostCapacity(t *testing.T) {
	all := append(newInstances("a", "b", "c", "d"), Instance{Address: "e", Capacity: 80}, Instance{Address: "f", Capacity: 40})
	roster, _ := (&Roster{}).Next(2, all)
	assert.DeepEqual(t, roster.Addresses, []string{"e", "f"})
}

func TestOneOfTwoRostersWinsEverywhere(t *testing.T) {
	first, second := &Roster{Epoch: 3, Addresses: []string{"a"}}, &Roster{Epoch: 3, Addresses: []string{"b"}}
	assert.Assert(t, first.Supersedes(second) != second.Supersedes(first))
	assert.Assert(t, !first.Supersedes(first))
	assert.Assert(t, first.Digest() != second.Digest())
}

func TestGroupsOfUnavailableCoordinatorMoveToNext(t *testing.T) {
	roster := &Roster{Epoch: 1, Addresses: []string{"a", "b", "c"}}
	unavailable := func(address string) bool { return address == "b" }
	assert.Equal(t, roster.coordinator(3, unavailable), "a")
	assert.Equal(t, roster.coordinator(1, unavailable), "c")
	assert.Equal(t, roster.coordinator(1, func(string) bool { return true }), "")
	assert.Equal(t, (&Roster{}).coordinator(1, unavailable), "")
}

func TestGroupsDependOnTargetsOnly(t *testing.T) {
	for _, c := range []struct{ targets, groups int }{{1, 1}, {16, 1}, {17, 2}, {33, 4}, {90, 8}, {112, 8}, {128, 8}} {
		targets := make([]*catalog.Target, c.targets)
		reversed := make([]*catalog.Target, c.targets)
		for i := range targets {
			targets[i] = newEngine(fmt.Sprint("engine-", i), 4)
			reversed[c.targets-1-i] = targets[i]
		}
		groups, reversedGroups := NewGroups(targets), NewGroups(reversed)
		assert.Equal(t, groups.Count(), c.groups, "%d targets", c.targets)
		for id, group := range groups.groupOf {
			assert.Equal(t, reversedGroups.groupOf[id], group)
			assert.Assert(t, group.index < c.groups)
		}
	}
}

func TestDrainingTargetIsCountedButNotSelected(t *testing.T) {
	draining := newEngine("draining", 4)
	draining.Draining = true
	groups := NewGroups([]*catalog.Target{newEngine("one", 4), draining})
	assert.Equal(t, len(groups.serving["engines"]), 1)
	assert.Equal(t, len(groups.schedulerTargets()), 2)
}
