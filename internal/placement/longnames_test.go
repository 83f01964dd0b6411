package placement

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// A slot request that did not fit in a datagram, for the long name of an account or a version,
// was never sent. The coordinators were taken for unavailable one after the other, for the
// requests of all others as well.
func TestRequestWithALongNameKeepsCoordinatorsAvailable(t *testing.T) {
	const instances = 6
	var targets []*catalog.Target
	for i := range 60 {
		targets = append(targets, &catalog.Target{ID: string(rune('A' + i)), Service: "engines", Address: "10.0.0.1:1", Version: "v1", Slots: 4})
	}
	long := strings.Repeat("n", 1300)
	for name, request := range map[string]schedule.Request{
		"account": {Account: long}, "excluded version": {ExcludedVersion: long}, "failure domain": {FailureDomain: long},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			n := newNetwork(t, clock, instances, targets)
			n.maxBytes = peer.MaxDatagramBytes
			service := n.services["10.0.0.0:1"]
			acquire := func(request schedule.Request) (time.Duration, *schedule.Grant) {
				ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
				defer cancel()
				startedAt := clock.Now()
				request.Service, request.ArrivedAt, request.Deadline = "engines", startedAt, startedAt.Add(eventTimeout)
				grant, err := service.Acquire(ctx, &request)
				assert.NilError(t, err)
				return clock.Since(startedAt), grant
			}
			acquire(schedule.Request{})
			for range 3 {
				took, grant := acquire(request)
				assert.Check(t, took < responseTimeout, "placed after %v", took)
				grant.Done(schedule.Outcome{Result: schedule.Complete})
			}
			assert.Check(t, service.Counters.CoordinatorTimeouts.Load() == 0, "%d coordinators skipped", service.Counters.CoordinatorTimeouts.Load())
			_, grant := acquire(schedule.Request{})
			assert.Check(t, grant.Coordinator != "", "a request with short names was placed without a coordinator")
		})
	}
}
