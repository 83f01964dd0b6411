package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// fillGroup occupies all slots of a group, so that the expected time between two
// free ones is known, and queues requests of the priority.
func (ts *testServer) fillGroup(group groupKey, priority, queued int) {
	ts.t.Helper()
	slots := 0
	for _, other := range ts.server.groups.Load().groupOf {
		if other == group {
			slots++
		}
	}
	request := func(id int) *slotResponse {
		ts.server.handleSlotRequest("a", &slotRequest{
			ID: uint32(id), Service: group.service, Group: group.index, Redirected: true, Priority: priority, PromptTokens: 100,
			OutputTokens: 100, TokensPerEvent: 5, ObjectiveMs: 1000, TimeLeftMs: 12000,
		})
		return ts.lastResponse("a")
	}
	for id := range slots {
		assert.Equal(ts.t, request(id).Decision, decisionGranted)
	}
	ts.server.handleProgress("a", &progressReport{ID: 0, Done: true, Result: schedule.Complete, TotalMicros: time.Second.Microseconds()})
	for id := slots; id <= slots+queued; id++ {
		request(id)
	}
	availability := ts.server.scheduler.Availability(group.name())
	assert.Equal(ts.t, availability.Queued(), queued)
	assert.Equal(ts.t, availability.SlotInterval, time.Second/time.Duration(slots))
}

// A burst that exceeds all slots: in some groups requests of high priority queue,
// while others still serve those of low priority. A request is redirected to a
// group where fewer requests of its own or a higher priority are queued.
func TestRequestIsRedirectedToShorterQueueOfItsPriority(t *testing.T) {
	const queued = 8
	for _, tc := range []struct {
		name     string
		priority int
		queued   []int
		want     decision
	}{
		{"only lower priorities queued elsewhere", 4, []int{0, 0, 0, 0, 0, 2, 40}, decisionRedirected},
		{"no queue elsewhere", 4, nil, decisionRedirected},
		{"about as many queued elsewhere", 4, []int{0, 0, 0, 0, queued - 1}, decisionQueued},
		{"higher priorities queued elsewhere", 4, []int{2 * queued}, decisionQueued},
		{"goes before those queued here", 3, nil, decisionQueued},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t, newEngineGroups()...)
			ts.fillGroup(groupKey{"engines", 0}, 4, queued)
			ts.server.handleCapacityReport(&capacityReport{IntervalMs: 60, Groups: []groupCapacity{
				{Position: 1, Queued: tc.queued, SlotMicros: (time.Second / targetsPerGroup).Microseconds()},
			}})
			response := ts.requestSlot("b", 1, tc.priority)
			assert.Equal(t, response.Decision, tc.want)
			if tc.want == decisionRedirected {
				assert.Equal(t, response.Group, 1)
			}
		})
	}
}

// Redirected requests count in the queue of the other group until its next
// report, so that a coordinator does not send it more than make the queues equal.
func TestRedirectedRequestsCountInTheOtherQueue(t *testing.T) {
	const queued = 12
	ts := newTestServer(t, newEngineGroups()...)
	ts.fillGroup(groupKey{"engines", 0}, 4, queued)
	ts.server.handleCapacityReport(&capacityReport{IntervalMs: 60, Groups: []groupCapacity{
		{Position: 1, SlotMicros: (time.Second / targetsPerGroup).Microseconds()},
	}})
	redirected := 0
	for id := range 3 * queued {
		if ts.requestSlot("b", uint32(id), 4).Decision == decisionRedirected {
			redirected++
		}
	}
	assert.Assert(t, redirected > 0 && redirected < 2*queued, "%d of %d requests redirected", redirected, 3*queued)
}

func TestGroupCapacityKeepsAvailability(t *testing.T) {
	for _, queued := range [][schedule.PriorityCount]int{{}, {3}, {0, 0, 5}, {1, 0, 2, schedule.PriorityCount - 1: 7}} {
		want := schedule.Availability{QueuedByPriority: queued, SlotInterval: 12 * time.Millisecond}
		report := capacityReport{Groups: []groupCapacity{newGroupCapacity(3, &want)}}
		body, err := encode(kindCapacity, &report)
		assert.NilError(t, err)
		var decoded capacityReport
		assert.NilError(t, decode(body[1:], &decoded))
		assert.DeepEqual(t, decoded.Groups[0].availability(), want)
	}
	free := schedule.Availability{FreeSlots: 5, QueuedByPriority: [schedule.PriorityCount]int{2}}
	assert.Equal(t, newGroupCapacity(0, &free).FreeSlots, 3, "slots are held back for queued requests")
}
