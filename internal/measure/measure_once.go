package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// Load and fault injection of measure "once". The fault window also applies
// to measure "config".
const (
	onceDeadline                 = 5 * time.Second
	onceLoadFactor               = 0.5 // of capacity
	onceServiceRequestsPerSecond = 30.0
	onceIdempotencyKeyRatio      = 0.7
	onceDuplicateRatio           = 0.2
	onceMaxRetries               = 3
	poisonRequestCount           = 2 // expected number until faultWindowEnd
	poisonMarker                 = "crash-this-target"
	faultWindowStart             = 0.1 // of the duration
	faultWindowEnd               = 0.8 // of the duration
	instanceCrashCount           = 2
	replaceInstanceDelay         = time.Second
	engineRestartInterval        = 500 * time.Millisecond
	platformFaultDuration        = time.Second
	platformSlowDelay            = 300 * time.Millisecond
	streamCutEvents              = 4
	streamCutAfterEvents         = 3 // stream events
	streamsPerCutEvent           = 5
	lostResponseCount            = 5
	faultRandStream              = 3 // stream of the random number generator
	engineRestartStart           = 50 * time.Millisecond
)

// onceMeasure returns measure "once", which counts duplicate runs and wrong responses
// under injected faults.
func onceMeasure() Measure {
	return Measure{
		Name:    "once",
		Summary: "at most one dispatch and true answers under deaths, lost answers, resends and poison requests",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runOnce(ctx, o, startSystem) },
	}
}

// oncePlan mixes model requests with and without idempotency keys, service requests
// that must not run twice, and a few requests that crash each target that runs them.
func oncePlan(options Options, capacity float64) []*load.Request {
	requestsPerSecond := capacity * onceLoadFactor / load.MeanLogUniform(minOutputTokens, maxOutputTokens)
	requests := load.GeneratePlan(options.Seed, []load.Source{
		{
			Template:          load.Request{Path: "/v1/completions", Model: tierModel(0), MaxRetries: onceMaxRetries},
			RequestsPerSecond: requestsPerSecond, End: options.duration(), Accounts: clientAccounts, Weights: accountWeights,
			MinTokens: minOutputTokens, MaxTokens: maxOutputTokens, PromptBytesPerOutputToken: promptBytesPerOutputToken,
			IdempotencyKeyRatio: onceIdempotencyKeyRatio, DuplicateRatio: onceDuplicateRatio, StreamRatio: streamRatio,
		},
		{
			Template:          load.Request{Kind: load.KindService, Path: servicePathPrefix + "/cancel", MaxRetries: onceMaxRetries},
			RequestsPerSecond: onceServiceRequestsPerSecond, End: options.duration(), Accounts: clientAccounts, Weights: accountWeights,
			IdempotencyKeyRatio: 1, DuplicateRatio: onceDuplicateRatio,
		},
	})
	random := rand.New(rand.NewPCG(options.Seed, faultRandStream))
	return append(requests, poisonRequests(options, random)...)
}

// poisonRequests returns the requests that crash targets, early enough to be retried.
func poisonRequests(options Options, random *rand.Rand) []*load.Request {
	requests := load.GeneratePlan(random.Uint64(), []load.Source{{
		Template:          load.Request{Path: "/v1/completions", Model: tierModel(0), MaxRetries: onceMaxRetries, Prompt: poisonMarker},
		RequestsPerSecond: poisonRequestCount / (faultWindowEnd * options.duration().Seconds()), End: options.duration(),
		Accounts: clientAccounts, MinTokens: minOutputTokens, MaxTokens: minOutputTokens, IdempotencyKeyRatio: 1,
	}})
	for _, request := range requests {
		request.ID = "poison-" + request.ID
		request.IdempotencyKey = "key-" + request.ID
	}
	return requests
}

// onceFaultEvents draws the fault injection: instance crashes with replacement, cut
// streams of engines, lost responses of a service and to writes to the
// platform, and an outage and a slowdown of the platform.
func onceFaultEvents(ctx context.Context, options Options, tb *testbed, f fleet) []scheduledEvent {
	random := rand.New(rand.NewPCG(options.Seed, faultRandStream+1))
	randomOffset := func() time.Duration {
		return time.Duration((faultWindowStart + random.Float64()*(faultWindowEnd-faultWindowStart)) * float64(options.duration()))
	}
	var events []scheduledEvent
	for _, index := range random.Perm(fleetSize)[:instanceCrashCount] {
		crashOffset := randomOffset()
		events = append(events,
			scheduledEvent{crashOffset, func() { f.crash(index) }},
			scheduledEvent{crashOffset + replaceInstanceDelay, func() { _ = f.replace(ctx, index) }},
		)
	}
	for range streamCutEvents {
		engine := tb.engines[random.IntN(len(tb.engines))]
		events = append(events, scheduledEvent{randomOffset(), func() { engine.AbortStreams(streamCutAfterEvents, streamsPerCutEvent) }})
	}
	downOffset, slowOffset := randomOffset(), randomOffset()
	service := tb.services[random.IntN(len(tb.services))]
	return append(events,
		scheduledEvent{randomOffset(), func() { service.DropResponses(lostResponseCount) }},
		scheduledEvent{randomOffset(), func() { tb.platform.DropResponses(lostResponseCount) }},
		scheduledEvent{downOffset, func() { tb.platform.SetDown(true) }},
		scheduledEvent{downOffset + platformFaultDuration, func() { tb.platform.SetDown(false) }},
		scheduledEvent{slowOffset, func() { tb.platform.SetDelay(platformSlowDelay) }},
		scheduledEvent{slowOffset + platformFaultDuration, func() { tb.platform.SetDelay(0) }},
	)
}

// engineRestartEvents restarts crashed engines, as a process supervisor would, at
// intervals until the end of the load.
func engineRestartEvents(options Options, tb *testbed) []scheduledEvent {
	var events []scheduledEvent
	for offset := engineRestartStart; offset < options.duration(); offset += engineRestartInterval {
		events = append(events, scheduledEvent{offset, func() {
			for _, engine := range tb.engines {
				if !engine.Listening() {
					_ = engine.Restart()
				}
			}
		}})
	}
	return events
}

// onceExperiment returns the load and the fault injection of the measure.
func onceExperiment(options Options) *experiment {
	engines := heterogeneousEngines(options.Seed)
	for i := range engines {
		engines[i].CrashMarker = poisonMarker
	}
	requests := oncePlan(options, capacity(engines))
	slices.SortStableFunc(requests, func(a, b *load.Request) int { return int(a.Offset - b.Offset) })
	return &experiment{
		engines:      engines,
		serviceCount: 2,
		fleetConfig:  fleetConfig{seed: options.Seed, deadline: onceDeadline},
		requests:     requests,
		events: func(ctx context.Context, tb *testbed, f fleet) []scheduledEvent {
			return append(onceFaultEvents(ctx, options, tb, f), engineRestartEvents(options, tb)...)
		},
	}
}

func runOnce(ctx context.Context, options Options, startFleet fleetStarter) ([]Figure, error) {
	return onceExperiment(options).runWithBaseline(ctx, startFleet, onceFigures)
}

func onceFigures(r *experimentResult) []Figure {
	gt := r.groundTruth
	return []Figure{
		{Name: "duplicate_dispatches", Value: float64(gt.duplicateDispatches(r.outcomes)), Unit: unitCount},
		{Name: "false_not_run", Value: float64(gt.falseNotRun(r.outcomes)), Unit: unitCount},
		{Name: "wrong_or_partial_answers", Value: float64(countWrongOrTruncated(r.outcomes)), Unit: unitCount},
		{Name: "non_idempotent_doubles", Value: float64(gt.nonIdempotentDoubles(r.outcomes)), Unit: unitCount},
		{Name: "answered_ratio", Value: answeredRatio(withoutPoison(r.outcomes)), Unit: unitRatio},
	}
}

// withoutPoison returns the outcomes without those of the poison requests, which no
// target can complete.
func withoutPoison(outcomes []*load.Outcome) []*load.Outcome {
	return slices.DeleteFunc(slices.Clone(outcomes), func(o *load.Outcome) bool {
		return o.Request.Prompt == poisonMarker
	})
}
