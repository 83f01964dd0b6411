package measure

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// callerPatience is how much longer than the deadline a caller waits.
const callerPatience = 2 * time.Second

// setup is what a fleet is started with besides its bed.
type setup struct {
	// seed drives the instances' own random choices.
	seed uint64
	// deadline bounds each request.
	deadline time.Duration
}

// experiment is one load with its faults, to be sent through a fleet.
type experiment struct {
	engines  []target.EngineOptions
	services int
	setup    setup
	calls    []*load.Call
	// faults are the events beside the load; nil for none.
	faults func(ctx context.Context, b *bed, f fleet) []event
}

// result is what callers saw and what the targets ran.
type result struct {
	outcomes []*load.Outcome
	truth    *truth
	// refused are the requests that engines refused, by the engine's name.
	refused map[string][]target.Refusal
}

// run sends the load through a fleet and collects both sides.
func (e *experiment) run(ctx context.Context, start starter) (*result, error) {
	b, err := newBed(e.engines, e.services)
	if err != nil {
		return nil, err
	}
	defer b.close()
	f, err := start(ctx, b, e.setup)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var events []event
	if e.faults != nil {
		events = e.faults(ctx, b, f)
	}
	faults := play(ctx, events)
	sender := load.NewSender(f.balancer(), e.setup.deadline+callerPatience)
	defer sender.Close()
	outcomes := sender.Send(ctx, e.calls)
	faults.Wait()
	return &result{outcomes: outcomes, truth: b.truth(), refused: b.refusals()}, ctx.Err()
}

// compare runs the experiment with the system and with the naive policy.
func (e *experiment) compare(ctx context.Context, start starter, figures func(*result) []Figure) ([]Figure, error) {
	system, err := e.run(ctx, start)
	if err != nil {
		return nil, err
	}
	naive, err := e.run(ctx, startNaive)
	if err != nil {
		return nil, err
	}
	return compare(figures(system), figures(naive)), nil
}

// compare sets the naive policy's values beside the system's.
func compare(system, naive []Figure) []Figure {
	for i := range system {
		value := naive[i].Value
		system[i].Baseline = &value
	}
	return system
}
