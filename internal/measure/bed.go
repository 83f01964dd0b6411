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
	enginePool  = "engines"
	servicePool = "services"
)

// servicePath is the path prefix of service calls.
const servicePath = "/svc"

// bed is everything around the system: the platform and the targets.
type bed struct {
	platform *platform.Server
	engines  []*target.Engine
	services []*target.Service
	slots    []int // of each engine
	limit    int   // requests that the engines admit at once
}

// newBed starts a platform, engines and services.
func newBed(engines []target.EngineOptions, services int) (*bed, error) {
	b := &bed{}
	server, err := platform.New(platform.Options{})
	if err != nil {
		return nil, err
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	b.platform = server
	for i, options := range engines {
		options.Name = engineName(i)
		engine := target.NewEngine(options)
		if err := engine.Start(); err != nil {
			b.close()
			return nil, err
		}
		b.engines = append(b.engines, engine)
		b.slots = append(b.slots, options.Slots)
		b.limit += options.MaxConcurrentRequests
	}
	for i := range services {
		service := target.NewService(target.ServiceOptions{
			Name: fmt.Sprintf("service-%d", i), Latency: serviceLatency,
		})
		if err := service.Start(); err != nil {
			b.close()
			return nil, err
		}
		b.services = append(b.services, service)
	}
	return b, nil
}

// serviceLatency is the time of one service call.
const serviceLatency = 20 * time.Millisecond

func (b *bed) close() {
	for _, engine := range b.engines {
		engine.Close()
	}
	for _, service := range b.services {
		service.Close()
	}
	b.platform.Close()
}

// truth joins the logs of all targets.
func (b *bed) truth() *truth {
	var runs []target.Run
	for _, engine := range b.engines {
		runs = append(runs, engine.Runs()...)
	}
	for _, service := range b.services {
		runs = append(runs, service.Runs()...)
	}
	return newTruth(runs)
}

// tables describes the bed: a route for each tier's model and one for the
// services, which is not idempotent.
func (b *bed) tables(deadline time.Duration) *tables.Tables {
	t := &tables.Tables{}
	for tier := range tables.TierCount {
		t.Routes = append(t.Routes, tables.Route{
			Name: modelOf(tier), Match: tables.Match{Path: "/v1", Model: modelOf(tier)},
			Pool: enginePool, Tier: tables.Tier(tier), Idempotent: true, Deadline: tables.Duration(deadline),
		})
	}
	t.Routes = append(t.Routes, tables.Route{
		Name: "svc", Match: tables.Match{Path: servicePath}, Pool: servicePool, Deadline: tables.Duration(deadline),
	})
	t.Pools = []tables.Pool{
		{Name: enginePool, Kind: tables.KindEngine, Version: "v1"},
		{Name: servicePool, Kind: tables.KindService, Version: "v1"},
	}
	for i, engine := range b.engines {
		t.Pools[0].Targets = append(t.Pools[0].Targets, b.engineEntry(i, engine))
	}
	for i, service := range b.services {
		t.Pools[1].Targets = append(t.Pools[1].Targets, tables.Target{
			Name: fmt.Sprintf("service-%d", i), Address: service.Address(), Version: "v1",
			FailureDomain: failureDomains[i%len(failureDomains)], Slots: serviceSlots,
		})
	}
	return t
}

// serviceSlots is how many calls the tables let a service run at once.
const serviceSlots = 64

func (b *bed) engineEntry(i int, engine *target.Engine) tables.Target {
	return tables.Target{
		Name: engineName(i), Address: engine.Address(), Version: engine.Version(),
		FailureDomain: failureDomains[i%len(failureDomains)], Slots: b.slots[i],
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func modelOf(tier int) string { return fmt.Sprintf("tier-%d", tier) }

// engineURLs and serviceURLs are the base URLs of the targets.
func (b *bed) engineURLs() []string {
	urls := make([]string, 0, len(b.engines))
	for _, engine := range b.engines {
		urls = append(urls, engine.URL())
	}
	return urls
}

func (b *bed) serviceURLs() []string {
	urls := make([]string, 0, len(b.services))
	for _, service := range b.services {
		urls = append(urls, service.URL())
	}
	return urls
}

// event is something that happens at a time of an experiment.
type event struct {
	at time.Duration
	do func()
}

// play carries events out in their order while load runs; it ends early with
// ctx.
func play(ctx context.Context, events []event) *conc.WaitGroup {
	var players conc.WaitGroup
	start := time.Now()
	for _, e := range events {
		players.Go(func() {
			timer := time.NewTimer(time.Until(start.Add(e.at)))
			defer timer.Stop()
			select {
			case <-timer.C:
				e.do()
			case <-ctx.Done():
			}
		})
	}
	return &players
}
