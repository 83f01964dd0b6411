package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func newEngines(count int) []*catalog.Target {
	targets := make([]*catalog.Target, count)
	for i := range targets {
		targets[i] = newEngine(fmt.Sprintf("engine-%d", i), 4)
	}
	return targets
}

// An instance whose target list is shorter, because targets have just left,
// receives a request for a group of the longer list. It must find the group that
// holds the same targets.
func TestGroupOfLongerListIsFoundInShorterOne(t *testing.T) {
	for _, counts := range [][2]int{{33, 32}, {65, 20}, {65, 16}, {20, 65}} {
		from, to := NewGroups(newEngines(counts[0])), NewGroups(newEngines(counts[1]))
		for _, target := range newEngines(min(counts[0], counts[1])) {
			id := idOf(target.Key())
			found, known := to.find("engines", from.groupOf[id].index)
			assert.Assert(t, known)
			if counts[0] > counts[1] {
				assert.Equal(t, found, to.groupOf[id], "%d to %d targets, group %d", counts[0], counts[1], from.groupOf[id].index)
			}
		}
	}
}

func TestNoGroupIsFoundWithoutTargets(t *testing.T) {
	for _, index := range []int{-1, 0, 3} {
		_, known := NewGroups(nil).find("engines", index)
		assert.Assert(t, !known)
	}
	_, known := NewGroups(newEngines(1)).find("engines", -1)
	assert.Assert(t, !known)
}
