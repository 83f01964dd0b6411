package placement

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// Targets that left while a coordinator redirected a request ended it by a panic: the position of
// the other group was that of the list before.
func TestTargetsThatLeaveDuringARedirectionDoNotEndTheCoordinator(t *testing.T) {
	const duration = 2 * time.Second
	ts := newTestServer(t, newEngineGroups()...)
	many, one := ts.server.groups.Load(), NewGroups([]*catalog.Target{newEngine("a", 1)})
	last := len(many.ordered) - 1
	ts.server.handleCapacityReport(&capacityReport{IntervalMs: time.Hour.Milliseconds(), Groups: []groupCapacity{{Position: last, FreeSlots: 1 << 40}}})
	var stop atomic.Bool
	var changes sync.WaitGroup
	changes.Go(func() {
		for !stop.Load() {
			ts.server.groups.Store(one)
			ts.server.groups.Store(many)
		}
	})
	defer changes.Wait()
	defer stop.Store(true)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		ts.server.reserveElsewhere(groupKey{"engines", 0})
		ts.server.queueElsewhere(groupKey{"engines", 0}, 0, time.Hour)
	}
}

// A report from an instance of another build with a position below zero ended the coordinator that
// received it by a panic.
func TestReportOfAnInvalidPositionDoesNotEndTheCoordinator(t *testing.T) {
	ts := newTestServer(t, newEngineGroups()...)
	groups := len(ts.server.groups.Load().ordered)
	for _, position := range []int{-1, -1 << 63, groups, 1<<63 - 1} {
		ts.server.handleCapacityReport(&capacityReport{IntervalMs: 60, Groups: []groupCapacity{{Position: position, FreeSlots: 1}}})
	}
	_, found := ts.server.reserveElsewhere(groupKey{"engines", 0})
	assert.Assert(t, !found)
	assert.Equal(t, len(ts.server.capacities), 0)
}

// The report of a coordinator of many groups did not fit in a datagram and was not sent: no request
// was redirected to its free slots.
func TestCapacityOfManyGroupsIsReported(t *testing.T) {
	const services = 250
	targets := newEngineGroups()
	for i := range services {
		target := newEngine(fmt.Sprint("t-", i), 4)
		target.Service = fmt.Sprint("service-", i)
		targets = append(targets, target)
	}
	ts := newTestServer(t, targets...)
	ts.server.sendCapacityReports(&Roster{Addresses: []string{"coordinator", "other"}})
	reported := make(map[int]bool)
	for _, report := range ts.capacityReports["other"] {
		for _, group := range report.Groups {
			reported[group.Position] = true
		}
	}
	assert.Equal(t, len(reported), len(ts.server.groups.Load().ordered))
}

func TestLargestCapacityReportFitsInDatagram(t *testing.T) {
	var availability schedule.Availability
	availability.FreeSlots, availability.SlotInterval = catalog.MaxSlots, time.Hour
	for priority := range availability.QueuedByPriority {
		availability.QueuedByPriority[priority] = 1000
	}
	report := capacityReport{IntervalMs: time.Hour.Milliseconds()}
	for range groupsPerReport {
		report.Groups = append(report.Groups, newGroupCapacity(1<<16, &availability))
	}
	body, err := encode(kindCapacity, &report)
	assert.NilError(t, err)
	assert.Assert(t, len(body) <= peer.MaxDatagramBytes, "%d bytes", len(body))
}
