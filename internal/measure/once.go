package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// The load and the faults of measure "once".
const (
	onceDeadline     = 5 * time.Second
	onceLoad         = 0.5 // of the capacity
	onceServiceRate  = 30.0
	onceKeyed        = 0.7
	onceTwins        = 0.2
	onceResends      = 3
	poisonCalls      = 2
	poisonMarker     = "crash-this-target"
	faultsFrom       = 0.1
	faultsUntil      = 0.8
	instanceDeaths   = 2
	replaceAfter     = time.Second
	restartAfter     = 500 * time.Millisecond
	platformFaultFor = time.Second
	platformSlowness = 300 * time.Millisecond
	cutRounds        = 4
	cutAfterEvents   = 3
	cutsARound       = 5
	lostAnswers      = 5
	faultsStream     = 3 // the stream of random numbers for faults
	watchPeriod      = 50 * time.Millisecond
)

func onceMeasure() Measure {
	return Measure{
		Name:    "once",
		Summary: "at most one dispatch and true answers under deaths, lost answers, resends and poison requests",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runOnce(ctx, o, startSystem) },
	}
}

// oncePlan mixes keyed and unkeyed model calls, service calls that must not
// run twice, and a few requests that crash each target that runs them.
func oncePlan(o Options, capacity float64) []*load.Call {
	callsPerS := capacity * onceLoad / load.MeanLogUniform(smallestOutput, largestOutput)
	calls := load.Plan(o.Seed, []load.Source{
		{
			Template: load.Call{Path: "/v1/completions", Model: modelOf(0), Resends: onceResends},
			Rate:     callsPerS, Until: o.duration(), Accounts: accounts, Weights: accountWeights,
			MinTokens: smallestOutput, MaxTokens: largestOutput, PromptBytes: bytesPerOutput,
			KeyRatio: onceKeyed, TwinRatio: onceTwins, StreamRatio: streamShare,
		},
		{
			Template: load.Call{Kind: load.KindService, Path: servicePath + "/cancel", Resends: onceResends},
			Rate:     onceServiceRate, Until: o.duration(), Accounts: accounts, Weights: accountWeights,
			KeyRatio: 1, TwinRatio: onceTwins,
		},
	})
	random := rand.New(rand.NewPCG(o.Seed, faultsStream))
	return append(calls, poison(o, random)...)
}

// poison are the calls that crash targets, early enough to be sent again.
func poison(o Options, random *rand.Rand) []*load.Call {
	calls := load.Plan(random.Uint64(), []load.Source{{
		Template: load.Call{Path: "/v1/completions", Model: modelOf(0), Resends: onceResends, Prompt: poisonMarker},
		Rate:     poisonCalls / (faultsUntil * o.duration().Seconds()), Until: o.duration(),
		Accounts: accounts, MinTokens: smallestOutput, MaxTokens: smallestOutput, KeyRatio: 1,
	}})
	for _, call := range calls {
		call.ID = "poison-" + call.ID
		call.Key = "key-" + call.ID
	}
	return calls
}

// onceFaults draws the times of all faults.
func onceFaults(ctx context.Context, o Options, b *bed, f fleet) []event {
	random := rand.New(rand.NewPCG(o.Seed, faultsStream+1))
	at := func() time.Duration {
		return time.Duration((faultsFrom + random.Float64()*(faultsUntil-faultsFrom)) * float64(o.duration()))
	}
	var events []event
	for _, index := range random.Perm(entryCount)[:instanceDeaths] {
		death := at()
		events = append(events,
			event{death, func() { f.crash(index) }},
			event{death + replaceAfter, func() { _ = f.replace(ctx, index) }},
		)
	}
	for range cutRounds {
		engine := b.engines[random.IntN(len(b.engines))]
		events = append(events, event{at(), func() { engine.AbortStreams(cutAfterEvents, cutsARound) }})
	}
	down, slow := at(), at()
	service := b.services[random.IntN(len(b.services))]
	return append(events,
		event{at(), func() { service.DropResponses(lostAnswers) }},
		event{at(), func() { b.platform.DropResponses(lostAnswers) }},
		event{down, func() { b.platform.SetDown(true) }},
		event{down + platformFaultFor, func() { b.platform.SetDown(false) }},
		event{slow, func() { b.platform.SetDelay(platformSlowness) }},
		event{slow + platformFaultFor, func() { b.platform.SetDelay(0) }},
	)
}

// reviveEngines brings crashed engines back, as their operator's supervisor
// would. The events end with the experiment's load.
func reviveEngines(o Options, b *bed) []event {
	var events []event
	for at := watchPeriod; at < o.duration(); at += restartAfter {
		events = append(events, event{at, func() {
			for _, engine := range b.engines {
				if !engine.Listening() {
					_ = engine.Restart()
				}
			}
		}})
	}
	return events
}

func onceExperiment(o Options) *experiment {
	engines := unlikeEngines(o.Seed)
	for i := range engines {
		engines[i].CrashMarker = poisonMarker
	}
	calls := oncePlan(o, capacity(engines))
	slices.SortStableFunc(calls, func(a, b *load.Call) int { return int(a.At - b.At) })
	return &experiment{
		engines:  engines,
		services: 2,
		setup:    setup{seed: o.Seed, deadline: onceDeadline},
		calls:    calls,
		faults: func(ctx context.Context, b *bed, f fleet) []event {
			return append(onceFaults(ctx, o, b, f), reviveEngines(o, b)...)
		},
	}
}

func runOnce(ctx context.Context, o Options, start starter) ([]Figure, error) {
	return onceExperiment(o).compare(ctx, start, onceFigures)
}

func onceFigures(r *result) []Figure {
	t := r.truth
	return []Figure{
		{Name: "duplicate_dispatches", Value: float64(t.duplicateDispatches(r.outcomes)), Unit: unitCount},
		{Name: "false_not_run", Value: float64(t.falseNotRun(r.outcomes)), Unit: unitCount},
		{Name: "wrong_or_partial_answers", Value: float64(wrongOrPartial(r.outcomes)), Unit: unitCount},
		{Name: "non_idempotent_doubles", Value: float64(t.nonIdempotentDoubles(r.outcomes)), Unit: unitCount},
		{Name: "answered_ratio", Value: answeredRatio(withoutPoison(r.outcomes)), Unit: unitRatio},
	}
}

// withoutPoison leaves out the requests that no target can answer.
func withoutPoison(outcomes []*load.Outcome) []*load.Outcome {
	return slices.DeleteFunc(slices.Clone(outcomes), func(o *load.Outcome) bool {
		return o.Call.Prompt == poisonMarker
	})
}
