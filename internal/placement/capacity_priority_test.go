package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A priority below zero in the operator's configuration, while all slots are in use, ended the
// coordinator by a panic.
func TestNegativePriorityQueuesLikeTheHighest(t *testing.T) {
	for _, priority := range []int{-2, -1 << 63, -1} {
		ts := newTestServer(t, newEngineGroups()...)
		ts.fillGroup(groupKey{"engines", 0}, 0, 8)
		assert.Equal(t, ts.requestSlot("b", 1, priority).Decision, decisionQueued, "priority %d", priority)
		ts.server.handleCapacityReport(&capacityReport{IntervalMs: 60, Groups: []groupCapacity{
			{Position: 1, SlotMicros: (time.Second / targetsPerGroup).Microseconds()},
		}})
		assert.Equal(t, ts.requestSlot("b", 2, priority).Decision, decisionRedirected, "priority %d", priority)
	}
}
