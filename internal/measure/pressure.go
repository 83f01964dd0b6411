package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// The load of measure "pressure".
const (
	pressureDeadline = 4 * time.Second
	calmLoad         = 0.6 // of the capacity
	burstLoad        = 2.5 // of the capacity
	burstFrom        = 0.15
	burstUntil       = 0.85
	slowingAt        = 0.4  // of the duration
	slowedTo         = 0.4  // of the target's speed
	smallestOutput   = 2    // tokens
	largestOutput    = 200  // tokens
	streamShare      = 0.5  // of the requests
	bytesPerOutput   = 4    // prompt bytes an output token
	engineSlots      = 4    // requests at full speed
	engineHardLimit  = 16   // requests admitted at once
	prefillSpeed     = 2e4  // tokens a second
	cacheBlocks      = 2048 // blocks
	loadLag          = 300 * time.Millisecond
)

// tierWork is each tier's share of the load.
var tierWork = [tables.TierCount]float64{0.2, 0.25, 0.25, 0.3}

// accounts are the client accounts, a few of them large.
var (
	accounts       = []string{"acc-1", "acc-2", "acc-3", "acc-4", "acc-5"}
	accountWeights = []float64{8, 4, 2, 1, 1}
)

// unlikeEngines are engines of several speeds.
func unlikeEngines(seed uint64) []target.EngineOptions {
	times := []time.Duration{4 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond}
	engines := make([]target.EngineOptions, 0, len(times))
	for i, tokenTime := range times {
		engines = append(engines, target.EngineOptions{
			Slots: engineSlots, MaxConcurrentRequests: engineHardLimit, DecodeTimePerToken: tokenTime,
			PrefillTokensPerSecond: prefillSpeed, CacheBlocks: cacheBlocks,
			LoadReportLag: loadLag, Seed: seed + uint64(i),
		})
	}
	return engines
}

// sameEngines are engines of one speed.
func sameEngines(seed uint64, count int) []target.EngineOptions {
	engines := make([]target.EngineOptions, count)
	for i := range engines {
		engines[i] = target.EngineOptions{Slots: engineSlots, MaxConcurrentRequests: engineHardLimit, Seed: seed + uint64(i)}
	}
	return engines
}

// capacity is the output tokens a second that engines give at full batches.
func capacity(engines []target.EngineOptions) float64 {
	total := 0.0
	for _, engine := range engines {
		total += float64(engine.Slots) / engine.DecodeTimePerToken.Seconds()
	}
	return total
}

func pressureMeasure() Measure {
	return Measure{
		Name:    "pressure",
		Summary: "goodput by tier, order of shedding and fairness under a burst of 2.5 times the capacity",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runPressure(ctx, o, startSystem) },
	}
}

// pressurePlan is a calm load with a burst in its middle, all tiers mixed.
func pressurePlan(o Options, capacity float64) []*load.Call {
	total := o.duration()
	start := time.Duration(burstFrom * float64(total))
	end := time.Duration(burstUntil * float64(total))
	callsPerS := capacity / load.MeanLogUniform(smallestOutput, largestOutput)
	var sources []load.Source
	for tier, work := range tierWork {
		for _, phase := range []struct {
			from, until time.Duration
			load        float64
		}{{0, start, calmLoad}, {start, end, burstLoad}, {end, total, calmLoad}} {
			sources = append(sources, load.Source{
				Template: load.Call{Path: "/v1/completions", Tier: tier, Model: modelOf(tier)},
				Rate:     callsPerS * work * phase.load, From: phase.from, Until: phase.until,
				Accounts: accounts, Weights: accountWeights,
				MinTokens: smallestOutput, MaxTokens: largestOutput,
				PromptBytes: bytesPerOutput, StreamRatio: streamShare,
			})
		}
	}
	return load.Plan(o.Seed, sources)
}

func pressureExperiment(o Options) *experiment {
	engines := unlikeEngines(o.Seed)
	return &experiment{
		engines: engines,
		setup:   setup{seed: o.Seed, deadline: pressureDeadline},
		calls:   pressurePlan(o, capacity(engines)),
		faults: func(_ context.Context, b *bed, _ fleet) []event {
			slowed := b.engines[o.Seed%uint64(len(b.engines))]
			at := time.Duration(slowingAt * float64(o.duration()))
			return []event{{at: at, do: func() { slowed.SetSpeed(slowedTo) }}}
		},
	}
}

func runPressure(ctx context.Context, o Options, start starter) ([]Figure, error) {
	return pressureExperiment(o).compare(ctx, start, pressureFigures)
}

// burst are the outcomes of the calls that were sent during the burst, when
// accounts compete.
func (r *result) burst() []*load.Outcome {
	last := r.outcomes[len(r.outcomes)-1].Call.At
	var within []*load.Outcome
	for _, outcome := range r.outcomes {
		part := float64(outcome.Call.At) / float64(last)
		if part >= burstFrom && part < burstUntil {
			within = append(within, outcome)
		}
	}
	return within
}

func pressureFigures(r *result) []Figure {
	var figures []Figure
	for tier, value := range goodputByTier(r.outcomes, pressureDeadline) {
		figures = append(figures, Figure{Name: fmt.Sprintf("goodput_tier%d", tier), Value: value, Unit: unitRatio})
	}
	shed := float64(shedWhileLowerRan(r.outcomes, r.truth))
	fair := worstAccount(r.burst(), pressureDeadline)
	return append(figures,
		Figure{Name: "shed_higher_while_lower_ran", Value: shed, Unit: unitCount},
		Figure{Name: "fairness_worst_account", Value: fair, Unit: unitRatio},
	)
}
