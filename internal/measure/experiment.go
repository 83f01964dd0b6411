package measure

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// clientTimeoutMargin is how much longer than the request deadline a client waits.
const clientTimeoutMargin = 2 * time.Second

// fleetConfig configures a fleet.
type fleetConfig struct {
	// seed determines the random choices of the instances.
	seed uint64
	// deadline is the deadline of all routes.
	deadline time.Duration
}

// experiment is a load, with the faults to inject, for a fleet on a testbed.
type experiment struct {
	engines      []target.EngineOptions
	serviceCount int
	fleetConfig  fleetConfig
	requests     []*load.Request
	// events returns the faults and other events during the load; nil for none.
	events func(ctx context.Context, tb *testbed, f fleet) []scheduledEvent
}

// experimentResult holds what the clients received and what the targets ran.
type experimentResult struct {
	outcomes    []*load.Outcome
	groundTruth *groundTruth
	// refusalsByEngine holds the requests that each engine refused, by engine name.
	refusalsByEngine map[string][]target.Refusal
}

// run sends the load through a new fleet on a new testbed and collects the results
// of clients and targets.
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

// runWithBaseline runs the experiment with the system and with the baseline, and
// returns the figures of both.
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

// withBaseline returns the system's figures with the naive values as Baseline. Both
// slices must have the same order.
func withBaseline(system, naive []Figure) []Figure {
	for i := range system {
		value := naive[i].Value
		system[i].Baseline = &value
	}
	return system
}
