package measure

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// clientTimeoutMargin is how much longer than the deadline a caller waits.
const clientTimeoutMargin = 2 * time.Second

// fleetConfig is what a fleet is started with besides its bed.
type fleetConfig struct {
	// seed drives the instances' own random choices.
	seed uint64
	// deadline bounds each request.
	deadline time.Duration
}

// experiment is one load with its faults, to be sent through a fleet.
type experiment struct {
	engines      []target.EngineOptions
	serviceCount int
	fleetConfig  fleetConfig
	requests     []*load.Request
	// events are the events beside the load; nil for none.
	events func(ctx context.Context, tb *testbed, f fleet) []scheduledEvent
}

// experimentResult is what callers saw and what the targets ran.
type experimentResult struct {
	outcomes    []*load.Outcome
	groundTruth *groundTruth
	// refusalsByEngine are the requests that engines refusalsByEngine, by the engine's name.
	refusalsByEngine map[string][]target.Refused
}

// run sends the load through a fleet and collects both sides.
func (e *experiment) run(ctx context.Context, startFleet fleetStarter) (*experimentResult, error) {
	tb, err := newTestbed(e.engines, e.serviceCount)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	f, err := startFleet(ctx, tb, e.fleetConfig)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var events []scheduledEvent
	if e.events != nil {
		events = e.events(ctx, tb, f)
	}
	running := startEvents(ctx, events)
	generator := load.NewGenerator(f.balancer(), e.fleetConfig.deadline+clientTimeoutMargin)
	defer generator.Close()
	outcomes := generator.Send(ctx, e.requests)
	running.Wait()
	return &experimentResult{outcomes: outcomes, groundTruth: tb.groundTruth(), refusalsByEngine: tb.refusalsByEngine()}, ctx.Err()
}

// runWithBaseline runs the experiment with the system and with the naive policy.
func (e *experiment) runWithBaseline(ctx context.Context, startFleet fleetStarter, figures func(*experimentResult) []Figure) ([]Figure, error) {
	system, err := e.run(ctx, startFleet)
	if err != nil {
		return nil, err
	}
	naive, err := e.run(ctx, startNaiveFleet)
	if err != nil {
		return nil, err
	}
	return withBaseline(figures(system), figures(naive)), nil
}

// withBaseline sets the naive policy's values beside the system's.
func withBaseline(system, naive []Figure) []Figure {
	for i := range system {
		value := naive[i].Value
		system[i].Baseline = &value
	}
	return system
}
