package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// failureDomains are the failure domains of targets and instances, assigned in turn.
var failureDomains = []string{"fd-a", "fd-b", "fd-c"}

// Names of the pools in a testbed's tables.
const (
	enginePoolName  = "engines"
	servicePoolName = "services"
)

// servicePathPrefix is the path prefix of service requests.
const servicePathPrefix = "/svc"

// testbed holds the stand-ins that the system runs against: the platform and the
// targets.
type testbed struct {
	platform       *platform.Server
	engines        []*target.Engine
	services       []*target.Service
	engineSlots    []int // by engine
	totalHardLimit int   // requests that all engines together admit at once
}

// newTestbed starts a stand-in platform, the given engines and a number of services.
func newTestbed(engines []target.EngineOptions, services int) (*testbed, error) {
	tb := &testbed{}
	server, err := platform.New(platform.Options{})
	if err != nil {
		return nil, err
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	tb.platform = server
	for i, options := range engines {
		options.Name = engineName(i)
		engine := target.NewEngine(options)
		if err := engine.Start(); err != nil {
			tb.close()
			return nil, err
		}
		tb.engines = append(tb.engines, engine)
		tb.engineSlots = append(tb.engineSlots, options.Slots)
		tb.totalHardLimit += options.MaxConcurrentRequests
	}
	for i := range services {
		service := target.NewService(target.ServiceOptions{
			Name: fmt.Sprintf("service-%d", i), Latency: serviceLatency,
		})
		if err := service.Start(); err != nil {
			tb.close()
			return nil, err
		}
		tb.services = append(tb.services, service)
	}
	return tb, nil
}

// serviceLatency is the running time of a service request.
const serviceLatency = 20 * time.Millisecond

func (tb *testbed) close() {
	for _, engine := range tb.engines {
		engine.Close()
	}
	for _, service := range tb.services {
		service.Close()
	}
	tb.platform.Close()
}

// groundTruth merges the logs of all targets.
func (tb *testbed) groundTruth() *groundTruth {
	var runs []target.Run
	for _, engine := range tb.engines {
		runs = append(runs, engine.Runs()...)
	}
	for _, service := range tb.services {
		runs = append(runs, service.Runs()...)
	}
	return newGroundTruth(runs)
}

// tables returns the configuration of the testbed: one route for the model of each
// tier and one for the services, which is not idempotent.
func (tb *testbed) tables(deadline time.Duration) *tables.Tables {
	config := &tables.Tables{}
	for tier := range tables.TierCount {
		config.Routes = append(config.Routes, tables.Route{
			Name: tierModel(tier), Match: tables.Match{Path: "/v1", Model: tierModel(tier)},
			Pool: enginePoolName, Tier: tables.Tier(tier), Idempotent: true, Deadline: tables.Duration(deadline),
		})
	}
	config.Routes = append(config.Routes, tables.Route{
		Name: "svc", Match: tables.Match{Path: servicePathPrefix}, Pool: servicePoolName, Deadline: tables.Duration(deadline),
	})
	config.Pools = []tables.Pool{
		{Name: enginePoolName, Kind: tables.KindEngine, Version: "v1"},
		{Name: servicePoolName, Kind: tables.KindService, Version: "v1"},
	}
	for i, engine := range tb.engines {
		config.Pools[0].Targets = append(config.Pools[0].Targets, tb.engineTarget(i, engine))
	}
	for i, service := range tb.services {
		config.Pools[1].Targets = append(config.Pools[1].Targets, tables.Target{
			Name: fmt.Sprintf("service-%d", i), Address: service.Address(), Version: "v1",
			FailureDomain: failureDomains[i%len(failureDomains)], Slots: serviceSlots,
		})
	}
	return config
}

// serviceSlots is the number of slots of a service in the tables.
const serviceSlots = 64

func (tb *testbed) engineTarget(i int, engine *target.Engine) tables.Target {
	return tables.Target{
		Name: engineName(i), Address: engine.Address(), Version: engine.Version(),
		FailureDomain: failureDomains[i%len(failureDomains)], Slots: tb.engineSlots[i],
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func tierModel(tier int) string { return fmt.Sprintf("tier-%d", tier) }

func (tb *testbed) engineURLs() []string {
	urls := make([]string, 0, len(tb.engines))
	for _, engine := range tb.engines {
		urls = append(urls, engine.URL())
	}
	return urls
}

func (tb *testbed) serviceURLs() []string {
	urls := make([]string, 0, len(tb.services))
	for _, service := range tb.services {
		urls = append(urls, service.URL())
	}
	return urls
}

// scheduledEvent is an action at an offset from the start of an experiment.
type scheduledEvent struct {
	offset time.Duration
	action func()
}

// startEvents starts a goroutine for each event that runs its action at its offset.
// When ctx ends, events that are still pending are skipped.
func startEvents(ctx context.Context, events []scheduledEvent) *conc.WaitGroup {
	var running conc.WaitGroup
	start := time.Now()
	for _, e := range events {
		running.Go(func() {
			timer := time.NewTimer(time.Until(start.Add(e.offset)))
			defer timer.Stop()
			select {
			case <-timer.C:
				e.action()
			case <-ctx.Done():
			}
		})
	}
	return &running
}
