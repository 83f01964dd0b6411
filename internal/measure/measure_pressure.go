package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Load of measure "pressure". Other measures share its token, stream and engine
// parameters.
const (
	pressureDeadline          = 4 * time.Second
	calmLoadFactor            = 0.6  // of capacity
	burstLoadFactor           = 2.5  // of capacity
	burstStart                = 0.15 // of the duration
	burstEnd                  = 0.85 // of the duration
	slowdownStart             = 0.4  // of the duration
	slowdownSpeed             = 0.4  // of the engine's normal speed
	minOutputTokens           = 2
	maxOutputTokens           = 200
	streamRatio               = 0.5 // of model requests
	promptBytesPerOutputToken = 4
	engineSlots               = 4  // requests that run at full speed
	engineHardLimit           = 16 // requests admitted at once
	prefillTokensPerSecond    = 2e4
	cacheBlocks               = 2048
	loadReportDelay           = 300 * time.Millisecond
)

// tierLoadShares is each tier's share of the load.
var tierLoadShares = [tables.TierCount]float64{0.2, 0.25, 0.25, 0.3}

// clientAccounts are the client accounts of the load, and accountWeights their shares
// of it; the first ones are large.
var (
	clientAccounts = []string{"acc-1", "acc-2", "acc-3", "acc-4", "acc-5"}
	accountWeights = []float64{8, 4, 2, 1, 1}
)

// heterogeneousEngines returns options of engines of different speeds.
func heterogeneousEngines(seed uint64) []target.EngineOptions {
	tokenTimes := []time.Duration{4 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond}
	engines := make([]target.EngineOptions, 0, len(tokenTimes))
	for i, tokenTime := range tokenTimes {
		engines = append(engines, target.EngineOptions{
			Slots: engineSlots, MaxConcurrentRequests: engineHardLimit, DecodeTimePerToken: tokenTime,
			PrefillTokensPerSecond: prefillTokensPerSecond, CacheBlocks: cacheBlocks,
			LoadReportLag: loadReportDelay, Seed: seed + uint64(i),
		})
	}
	return engines
}

// uniformEngines returns options of engines of the same speed.
func uniformEngines(seed uint64, count int) []target.EngineOptions {
	engines := make([]target.EngineOptions, count)
	for i := range engines {
		engines[i] = target.EngineOptions{Slots: engineSlots, MaxConcurrentRequests: engineHardLimit, Seed: seed + uint64(i)}
	}
	return engines
}

// capacity returns the output tokens per second of engines with all slots in use.
func capacity(engines []target.EngineOptions) float64 {
	total := 0.0
	for _, engine := range engines {
		total += float64(engine.Slots) / engine.DecodeTimePerToken.Seconds()
	}
	return total
}

// pressureMeasure returns measure "pressure", which measures goodput, order of load
// shedding and fairness under overload.
func pressureMeasure() Measure {
	return Measure{
		Name:    "pressure",
		Summary: "goodput by tier, order of shedding and fairness under a burst of 2.5 times the capacity",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runPressure(ctx, o, startSystem) },
	}
}

// pressurePlan returns requests of all tiers, with a rate below the capacity but for a
// burst above it in the middle.
func pressurePlan(options Options, capacity float64) []*load.Request {
	total := options.duration()
	burstStartOffset := time.Duration(burstStart * float64(total))
	burstEndOffset := time.Duration(burstEnd * float64(total))
	requestsPerSecond := capacity / load.MeanLogUniform(minOutputTokens, maxOutputTokens)
	var sources []load.Source
	for tier, loadShare := range tierLoadShares {
		for _, phase := range []struct {
			start, end time.Duration
			loadFactor float64
		}{{0, burstStartOffset, calmLoadFactor}, {burstStartOffset, burstEndOffset, burstLoadFactor}, {burstEndOffset, total, calmLoadFactor}} {
			sources = append(sources, load.Source{
				Template:          load.Request{Path: "/v1/completions", Tier: tier, Model: tierModel(tier)},
				RequestsPerSecond: requestsPerSecond * loadShare * phase.loadFactor, Start: phase.start, End: phase.end,
				Accounts: clientAccounts, Weights: accountWeights,
				MinTokens: minOutputTokens, MaxTokens: maxOutputTokens,
				PromptBytesPerOutputToken: promptBytesPerOutputToken, StreamRatio: streamRatio,
			})
		}
	}
	return load.GeneratePlan(options.Seed, sources)
}

func pressureExperiment(options Options) *experiment {
	engines := heterogeneousEngines(options.Seed)
	return &experiment{
		engines:     engines,
		fleetConfig: fleetConfig{seed: options.Seed, deadline: pressureDeadline},
		requests:    pressurePlan(options, capacity(engines)),
		events: func(_ context.Context, tb *testbed, _ fleet) []scheduledEvent {
			slowEngine := tb.engines[options.Seed%uint64(len(tb.engines))]
			offset := time.Duration(slowdownStart * float64(options.duration()))
			return []scheduledEvent{{offset: offset, action: func() { slowEngine.SetSpeed(slowdownSpeed) }}}
		},
	}
}

func runPressure(ctx context.Context, options Options, startFleet fleetStarter) ([]Figure, error) {
	return pressureExperiment(options).runWithBaseline(ctx, startFleet, pressureFigures)
}

// burstOutcomes returns the outcomes of the requests planned within the burst, when
// the accounts compete for capacity.
func (r *experimentResult) burstOutcomes() []*load.Outcome {
	lastOffset := r.outcomes[len(r.outcomes)-1].Request.Offset
	var within []*load.Outcome
	for _, outcome := range r.outcomes {
		position := float64(outcome.Request.Offset) / float64(lastOffset)
		if position >= burstStart && position < burstEnd {
			within = append(within, outcome)
		}
	}
	return within
}

func pressureFigures(r *experimentResult) []Figure {
	var figures []Figure
	for tier, value := range goodputByTier(r.outcomes, pressureDeadline) {
		figures = append(figures, Figure{Name: fmt.Sprintf("goodput_tier%d", tier), Value: value, Unit: unitRatio})
	}
	shed := float64(countShedWhileLowerRan(r.outcomes, r.groundTruth))
	fairness := worstAccountFairness(r.burstOutcomes(), pressureDeadline)
	return append(figures,
		Figure{Name: "shed_higher_while_lower_ran", Value: shed, Unit: unitCount},
		Figure{Name: "fairness_worst_account", Value: fairness, Unit: unitRatio},
	)
}
