package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// targetsPerGroup is about how many targets form a group: enough slots to even
// out different loads, and few enough that one instance's CPU share can handle
// the slot requests for them.
const targetsPerGroup = 16

// groupKey identifies a group of a service's targets.
type groupKey struct {
	service string
	index   int
}

// name returns the name of the group as a service of the coordinator's scheduler.
func (g groupKey) name() string { return g.service + "#" + strconv.Itoa(g.index) }

// targetID identifies one incarnation of a target in messages.
type targetID uint32

func idOf(key catalog.TargetKey) targetID {
	return targetID(hash32(key.ID + "/" + strconv.FormatInt(key.Born, 10)))
}

func hash32(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Groups is the division of all targets into groups. It is immutable.
type Groups struct {
	// ordered lists the groups in the order in which coordinators are assigned.
	ordered []groupKey
	// positions holds the index of each group in ordered.
	positions map[groupKey]int
	// serving holds the targets that are not draining, by service.
	serving map[string][]*catalog.Target
	// servingGroups lists the groups of these targets in the order of their indexes, by
	// service.
	servingGroups map[string][]groupKey
	byID          map[targetID]*catalog.Target
	groupOf       map[targetID]groupKey
}

// NewGroups divides targets into groups. The division depends only on the
// identities of the targets, so all instances with the same list have the same
// division.
func NewGroups(targets []*catalog.Target) *Groups {
	g := &Groups{
		positions: make(map[groupKey]int), serving: make(map[string][]*catalog.Target),
		byID: make(map[targetID]*catalog.Target), groupOf: make(map[targetID]groupKey), servingGroups: make(map[string][]groupKey),
	}
	targetCounts := make(map[string]int)
	for _, t := range targets {
		targetCounts[t.Service]++
	}
	services := make([]string, 0, len(targetCounts))
	for service := range targetCounts {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		for index := range groupCount(targetCounts[service]) {
			group := groupKey{service, index}
			g.positions[group] = len(g.ordered)
			g.ordered = append(g.ordered, group)
		}
	}
	for _, t := range targets {
		id := idOf(t.Key())
		g.byID[id] = t
		g.groupOf[id] = groupKey{t.Service, int(hash32(t.ID)) & (groupCount(targetCounts[t.Service]) - 1)}
		if !t.Draining {
			g.serving[t.Service] = append(g.serving[t.Service], t)
			if groups := g.servingGroups[t.Service]; !slices.Contains(groups, g.groupOf[id]) {
				g.servingGroups[t.Service] = append(groups, g.groupOf[id])
			}
		}
	}
	for _, serving := range g.serving {
		// All instances draw the same targets for the same content.
		slices.SortFunc(serving, func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, groups := range g.servingGroups {
		slices.SortFunc(groups, func(a, b groupKey) int { return a.index - b.index })
	}
	return g
}

// groupCount returns a power of two, so that it rarely changes when targets join
// or leave.
func groupCount(targets int) int {
	if targets <= targetsPerGroup {
		return 1
	}
	return 1 << bits.Len(uint((targets-1)/targetsPerGroup))
}

// schedulerTargets returns the targets for the coordinator's scheduler, with
// groups as services.
func (g *Groups) schedulerTargets() []*catalog.Target {
	targets := make([]*catalog.Target, 0, len(g.byID))
	for id, t := range g.byID {
		grouped := *t
		grouped.Service = g.groupOf[id].name()
		targets = append(targets, &grouped)
	}
	return targets
}

// find returns the group with an index. If the index comes from a target list
// with more groups, it returns the group that holds the targets of that one: a
// target's group is given by the low bits of its hash, so the highest bits of the
// index are cleared until there is such a group. known is false if the service
// has no targets.
func (g *Groups) find(service string, index int) (group groupKey, known bool) {
	group = groupKey{service, index}
	for group.index > 0 {
		if _, known = g.positions[group]; known {
			return group, true
		}
		group.index &^= 1 << (bits.Len(uint(group.index)) - 1)
	}
	_, known = g.positions[group]
	return group, known && group.index == 0
}

// hasSplitService reports whether any service has more than one group.
func (g *Groups) hasSplitService() bool {
	for _, group := range g.ordered {
		if group.index > 0 {
			return true
		}
	}
	return false
}

// Count returns the number of groups of all services.
func (g *Groups) Count() int { return len(g.ordered) }
