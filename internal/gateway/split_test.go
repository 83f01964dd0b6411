package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// The service of a split route and the version on trial were chosen by the same hash:
// the first service of a route sent nearly all of its requests to the new version, the
// last one none.
func TestVersionOnTrialGetsItsShareOfEachPartOfASplitRoute(t *testing.T) {
	const requests = 40_000
	clock := clockwork.NewFakeClock()
	g := New(Options{Clock: clock, Rollouts: rollout.New(clock)})
	versionOf := func(route *catalog.Route, id string) (service, version string) {
		r := &inflightRequest{Gateway: g, request: &Request{RequestMetadata: RequestMetadata{AttemptID: id}}, route: route}
		r.service = &catalog.Service{Name: r.pickService()}
		return r.service.Name, r.scheduleRequest().Version
	}
	for _, service := range []string{"first", "middle", "last", "whole"} {
		g.Rollouts.AddOrder(rollout.Order{Service: service, To: "v2", Duration: time.Minute})
	}
	share := func(route *catalog.Route) (byService map[string]float64) {
		all, onTrial := make(map[string]float64), make(map[string]float64)
		for i := range requests {
			service, version := versionOf(route, fmt.Sprintf("%016x", i))
			all[service]++
			if version == "v2" {
				onTrial[service]++
			}
		}
		byService = make(map[string]float64)
		for service, count := range all {
			byService[service] = onTrial[service] / count
		}
		return byService
	}
	want := share(&catalog.Route{Shares: []catalog.Share{{Service: "whole", Weight: 1}}})["whole"]
	assert.Assert(t, want > 0)
	split := share(&catalog.Route{Shares: []catalog.Share{
		{Service: "first", Weight: 10}, {Service: "middle", Weight: 80}, {Service: "last", Weight: 10},
	}})
	const tolerance = 0.02
	for _, service := range []string{"first", "middle", "last"} {
		assert.Assert(t, math.Abs(split[service]-want) < tolerance, "%s: share %.3f, %.3f of a whole route", service, split[service], want)
	}
}
