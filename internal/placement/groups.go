package placement

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// groupSize is about how many targets form a group: enough places that unlike
// loads even out, and few enough that one instance's share of a processor
// serves the questions for them.
const groupSize = 16

// group names one group of a service's targets.
type group struct {
	service string
	index   int
}

// name is what the group is called as a service of the coordinator's scheduler.
func (g group) name() string { return g.service + "#" + strconv.Itoa(g.index) }

// targetID names one incarnation of a target in messages.
type targetID uint32

func idOf(key catalog.TargetKey) targetID {
	return targetID(hash(key.ID + "/" + strconv.FormatInt(key.Born, 10)))
}

func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Groups is the division of all targets; it must not be changed.
type Groups struct {
	// all lists the groups in the order in which coordinators are assigned.
	all []group
	// place is the position of a group in all.
	place map[group]int
	// byService holds the targets that may take requests.
	byService map[string][]*catalog.Target
	byID      map[targetID]*catalog.Target
	groupOf   map[targetID]group
}

// NewGroups divides targets into groups. The division depends on the targets'
// identities only, so that all instances with the same list have the same.
func NewGroups(targets []*catalog.Target) *Groups {
	g := &Groups{
		place: make(map[group]int), byService: make(map[string][]*catalog.Target),
		byID: make(map[targetID]*catalog.Target), groupOf: make(map[targetID]group),
	}
	count := make(map[string]int)
	for _, t := range targets {
		count[t.Service]++
	}
	services := make([]string, 0, len(count))
	for service := range count {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		for index := range groupCount(count[service]) {
			of := group{service, index}
			g.place[of] = len(g.all)
			g.all = append(g.all, of)
		}
	}
	for _, t := range targets {
		id := idOf(t.Key())
		g.byID[id] = t
		g.groupOf[id] = group{t.Service, int(hash(t.ID)) & (groupCount(count[t.Service]) - 1)}
		if !t.Draining {
			g.byService[t.Service] = append(g.byService[t.Service], t)
		}
	}
	return g
}

// groupCount is a power of two, so that it seldom changes when targets come
// and go.
func groupCount(targets int) int {
	if targets <= groupSize {
		return 1
	}
	return 1 << bits.Len(uint((targets-1)/groupSize))
}

// scheduled returns the targets as the coordinator's scheduler takes them, with
// groups for services.
func (g *Groups) scheduled() []*catalog.Target {
	targets := make([]*catalog.Target, 0, len(g.byID))
	for id, t := range g.byID {
		grouped := *t
		grouped.Service = g.groupOf[id].name()
		targets = append(targets, &grouped)
	}
	return targets
}

// find returns the group with an index, or the one that has taken its place
// where another list of targets had more groups; known is false when there are
// no targets of the service.
func (g *Groups) find(service string, index int) (of group, known bool) {
	of = group{service, index}
	for ; of.index >= 0; of.index /= 2 {
		if _, known = g.place[of]; known || of.index == 0 {
			return of, known
		}
	}
	return of, false
}

// several reports whether any service has more than one group.
func (g *Groups) several() bool {
	for _, of := range g.all {
		if of.index > 0 {
			return true
		}
	}
	return false
}

// Count is the number of groups of all services.
func (g *Groups) Count() int { return len(g.all) }
