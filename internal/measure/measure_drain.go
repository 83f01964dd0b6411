package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// Load and events of measure "drain".
const (
	drainDeadline     = 5 * time.Second
	drainLoadFactor   = 0.7 // of capacity
	instanceListDelay = 500 * time.Millisecond
	// leaveNoticeGrace is the time after the announcement from which a leaving
	// target must receive no new requests.
	leaveNoticeGrace    = 3 * time.Second
	leaveWindowStart    = 0.15 // of the duration
	leaveWindowEnd      = 0.35 // of the duration
	shutdownWindowStart = 0.2  // of the duration
	shutdownWindowEnd   = 0.7  // of the duration
	shutdownCount       = 3
	drainRandStream     = 4 // stream of the random number generator
)

// drainMeasure returns measure "drain", which counts requests sent to leaving targets
// and requests cut by graceful shutdowns of instances.
func drainMeasure() Measure {
	return Measure{
		Name:    "drain",
		Summary: "new work at leaving targets and requests cut by graceful shutdowns",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runDrain(ctx, o, startSystem) },
	}
}

// leaveTimes records when targets were announced as leaving and when shutdowns of
// instances began.
type leaveTimes struct {
	// mu guards the fields below.
	mu        sync.Mutex
	targets   map[string]time.Time // by name
	instances map[string]time.Time // by base URL
}

func newLeaveTimes() *leaveTimes {
	return &leaveTimes{targets: make(map[string]time.Time), instances: make(map[string]time.Time)}
}

func (l *leaveTimes) recordTarget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[name] = time.Now()
}

func (l *leaveTimes) recordInstance(url string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[url] = time.Now()
}

func runDrain(ctx context.Context, options Options, startFleet fleetStarter) ([]Figure, error) {
	system, err := measureDrain(ctx, options, startFleet)
	if err != nil {
		return nil, err
	}
	naive, err := measureDrain(ctx, options, startNaiveFleet)
	if err != nil {
		return nil, err
	}
	return withBaseline(system, naive), nil
}

// measureDrain runs the load on one fleet and returns its figures.
func measureDrain(ctx context.Context, options Options, startFleet fleetStarter) ([]Figure, error) {
	engines := heterogeneousEngines(options.Seed)
	leaveStarts := newLeaveTimes()
	e := &experiment{
		engines:      engines,
		serviceCount: 2,
		fleetConfig:  fleetConfig{seed: options.Seed, deadline: drainDeadline},
		requests:     drainPlan(options, capacity(engines)),
		events: func(ctx context.Context, tb *testbed, f fleet) []scheduledEvent {
			return drainEvents(ctx, options, tb, f, leaveStarts)
		},
	}
	r, err := e.run(ctx, startFleet)
	if err != nil {
		return nil, err
	}
	lateCount := countLateDispatches(r, leaveStarts.targets, leaveNoticeGrace)
	cutCount := countCutByShutdown(r.outcomes, leaveStarts.instances)
	return []Figure{
		{Name: "late_dispatches_to_leaving", Value: float64(lateCount), Unit: unitCount},
		{Name: "cut_by_shutdown", Value: float64(cutCount), Unit: unitCount},
	}, nil
}

func drainPlan(options Options, capacity float64) []*load.Request {
	return load.GeneratePlan(options.Seed, []load.Source{
		{
			Template:          load.Request{Path: "/v1/completions", Model: tierModel(0)},
			RequestsPerSecond: capacity * drainLoadFactor / load.MeanLogUniform(minOutputTokens, maxOutputTokens),
			End:               options.duration(), Accounts: clientAccounts, Weights: accountWeights,
			MinTokens: minOutputTokens, MaxTokens: maxOutputTokens, PromptBytesPerOutputToken: promptBytesPerOutputToken,
			IdempotencyKeyRatio: onceIdempotencyKeyRatio, StreamRatio: streamRatio,
		},
		{
			Template:          load.Request{Kind: load.KindService, Path: servicePathPrefix + "/cancel"},
			RequestsPerSecond: onceServiceRequestsPerSecond, End: options.duration(), Accounts: clientAccounts, IdempotencyKeyRatio: 1,
		},
	})
}

// drainEvents draws when one engine is marked as leaving in the instance list only,
// when another engine refuses new requests by itself, and when instances are shut
// down and replaced.
func drainEvents(ctx context.Context, options Options, tb *testbed, f fleet, leaveStarts *leaveTimes) []scheduledEvent {
	random := rand.New(rand.NewPCG(options.Seed, drainRandStream))
	randomOffset := func(windowStart, windowEnd float64) time.Duration {
		return time.Duration((windowStart + random.Float64()*(windowEnd-windowStart)) * float64(options.duration()))
	}
	tb.platform.SetInstanceListLag(instanceListDelay)
	tb.platform.SetInstances(tb.instanceList(""))
	shuffled := random.Perm(len(tb.engines))
	listedIndex, refusingIndex := shuffled[0], shuffled[1]
	events := []scheduledEvent{
		{randomOffset(leaveWindowStart, leaveWindowEnd), func() {
			leaveStarts.recordTarget(engineName(listedIndex))
			tb.platform.SetInstances(tb.instanceList(engineName(listedIndex)))
		}},
		{randomOffset(leaveWindowStart, leaveWindowEnd), func() {
			leaveStarts.recordTarget(engineName(refusingIndex))
			tb.engines[refusingIndex].SetLeaving(true)
		}},
	}
	for _, index := range random.Perm(fleetSize)[:shutdownCount] {
		offset := randomOffset(shutdownWindowStart, shutdownWindowEnd)
		events = append(events, scheduledEvent{offset, func() {
			leaveStarts.recordInstance(f.clientURL(index))
			_ = f.shutdown(ctx, index)
			_ = f.replace(ctx, index)
		}})
	}
	return events
}

// instanceList returns the platform's instance list with the engines of the testbed,
// one of them marked as leaving unless the name is empty.
func (tb *testbed) instanceList(leaving string) []platform.ListedInstance {
	var list []platform.ListedInstance
	for i, engine := range tb.engines {
		engineTarget := tb.engineTarget(i, engine)
		list = append(list, platform.ListedInstance{
			Name: engineTarget.Name, Role: platform.RoleTarget, Address: engineTarget.Address, Pool: enginePoolName,
			FailureDomain: engineTarget.FailureDomain, Version: engineTarget.Version, Slots: engineTarget.Slots,
			Leaving: engineTarget.Name == leaving,
		})
	}
	return list
}

// countLateDispatches counts the requests that leaving targets ran or refused later
// than grace after their announcement.
func countLateDispatches(r *experimentResult, leaving map[string]time.Time, grace time.Duration) int {
	count := 0
	for _, run := range r.groundTruth.runs {
		if isLateDispatch(run.Target, run.StartedAt, leaving, grace) {
			count++
		}
	}
	for name, refusals := range r.refusalsByEngine {
		for _, refusal := range refusals {
			if isLateDispatch(name, refusal.ReceivedAt, leaving, grace) {
				count++
			}
		}
	}
	return count
}

func isLateDispatch(name string, at time.Time, leaving map[string]time.Time, grace time.Duration) bool {
	announcedAt, isLeaving := leaving[name]
	return isLeaving && at.After(announcedAt.Add(grace))
}

// countCutByShutdown counts the attempts that were interrupted at an instance after
// its shutdown began.
func countCutByShutdown(outcomes []*load.Outcome, shutdownStarts map[string]time.Time) int {
	count := 0
	for _, outcome := range outcomes {
		for _, attempt := range outcome.Attempts {
			shutdownStart, wasShutDown := shutdownStarts[attempt.URL]
			if wasShutDown && attempt.EndedAt.After(shutdownStart) && isInterrupted(attempt) {
				count++
			}
		}
	}
	return count
}

// isInterrupted reports whether an attempt ended in an incomplete response, or in a
// refusal that does not state that the request has not run.
func isInterrupted(attempt load.Attempt) bool {
	switch attempt.Verdict {
	case load.VerdictConnectionLost, load.VerdictTruncated:
		return true
	case load.VerdictRefused:
		return attempt.RunStatus != runStatusNotRun
	default:
		return false
	}
}

// refusalsByEngine returns the requests that each engine refused, by engine name.
func (tb *testbed) refusalsByEngine() map[string][]target.Refusal {
	refused := make(map[string][]target.Refusal)
	for i, engine := range tb.engines {
		refused[engineName(i)] = engine.Refusals()
	}
	return refused
}
