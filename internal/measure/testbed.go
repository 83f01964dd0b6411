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

// failureDomains are those over which beds spread targets and instances.
var failureDomains = []string{"fd-a", "fd-b", "fd-c"}

// Names of the pools in a bed's tables.
const (
	enginePoolName  = "engines"
	servicePoolName = "services"
)

// servicePathPrefix is the path prefix of service calls.
const servicePathPrefix = "/svc"

// testbed is everything around the system: the platform and the targets.
type testbed struct {
	platform       *platform.Server
	engines        []*target.Engine
	services       []*target.Service
	engineSlots    []int // of each engine
	totalHardLimit int   // requests that the engines admit at once
}

// newTestbed starts a platform, engines and services.
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
		tb.totalHardLimit += options.HardLimit
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

// serviceLatency is the time of one service call.
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

// groundTruth joins the logs of all targets.
func (tb *testbed) groundTruth() *groundTruth {
	var runs []target.Run
	for _, engine := range tb.engines {
		runs = append(runs, engine.Log()...)
	}
	for _, service := range tb.services {
		runs = append(runs, service.Log()...)
	}
	return newGroundTruth(runs)
}

// tables describes the bed: a route for each tier's model and one for the
// services, which is not idempotent.
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

// serviceSlots is how many calls the tables let a service run at once.
const serviceSlots = 64

func (tb *testbed) engineTarget(i int, engine *target.Engine) tables.Target {
	return tables.Target{
		Name: engineName(i), Address: engine.Address(), Version: engine.Version(),
		FailureDomain: failureDomains[i%len(failureDomains)], Slots: tb.engineSlots[i],
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func tierModel(tier int) string { return fmt.Sprintf("tier-%d", tier) }

// engineURLs and serviceURLs are the base URLs of the targets.
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

// scheduledEvent is something that happens at a time of an experiment.
type scheduledEvent struct {
	offset time.Duration
	action func()
}

// startEvents carries events out in their order while load runs; it ends early with
// ctx.
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
