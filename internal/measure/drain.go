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

// The load and the events of measure "drain".
const (
	drainDeadline = 5 * time.Second
	drainLoad     = 0.7 // of the capacity
	drainListLag  = 500 * time.Millisecond
	// leavingGrace is the time after the announcement from which a leaving
	// target must get no new work.
	leavingGrace  = 3 * time.Second
	leaveFrom     = 0.15
	leaveUntil    = 0.35
	shutdownFrom  = 0.2
	shutdownUntil = 0.7
	shutdowns     = 3
	drainStream   = 4 // the stream of random numbers
)

func drainMeasure() Measure {
	return Measure{
		Name:    "drain",
		Summary: "new work at leaving targets and requests cut by graceful shutdowns",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runDrain(ctx, o, startSystem) },
	}
}

// announced notes when targets and instances were told to leave.
type announced struct {
	// mu guards the fields below.
	mu        sync.Mutex
	targets   map[string]time.Time // by name
	instances map[string]time.Time // by base URL
}

func newAnnounced() *announced {
	return &announced{targets: make(map[string]time.Time), instances: make(map[string]time.Time)}
}

func (a *announced) target(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets[name] = time.Now()
}

func (a *announced) instance(url string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances[url] = time.Now()
}

func runDrain(ctx context.Context, o Options, start starter) ([]Figure, error) {
	system, err := drainOnce(ctx, o, start)
	if err != nil {
		return nil, err
	}
	naive, err := drainOnce(ctx, o, startNaive)
	if err != nil {
		return nil, err
	}
	return compare(system, naive), nil
}

func drainOnce(ctx context.Context, o Options, start starter) ([]Figure, error) {
	engines := unlikeEngines(o.Seed)
	told := newAnnounced()
	e := &experiment{
		engines:  engines,
		services: 2,
		setup:    setup{seed: o.Seed, deadline: drainDeadline},
		calls:    drainPlan(o, capacity(engines)),
		faults: func(ctx context.Context, b *bed, f fleet) []event {
			return drainEvents(ctx, o, b, f, told)
		},
	}
	r, err := e.run(ctx, start)
	if err != nil {
		return nil, err
	}
	late := lateDispatches(r, told.targets, leavingGrace)
	cut := cutByShutdown(r.outcomes, told.instances)
	return []Figure{
		{Name: "late_dispatches_to_leaving", Value: float64(late), Unit: unitCount},
		{Name: "cut_by_shutdown", Value: float64(cut), Unit: unitCount},
	}, nil
}

func drainPlan(o Options, capacity float64) []*load.Call {
	return load.Plan(o.Seed, []load.Source{
		{
			Template: load.Call{Path: "/v1/completions", Model: modelOf(0)},
			Rate:     capacity * drainLoad / load.MeanLogUniform(smallestOutput, largestOutput),
			Until:    o.duration(), Accounts: accounts, Weights: accountWeights,
			MinTokens: smallestOutput, MaxTokens: largestOutput, PromptBytes: bytesPerOutput,
			KeyRatio: onceKeyed, StreamRatio: streamShare,
		},
		{
			Template: load.Call{Kind: load.KindService, Path: servicePath + "/cancel"},
			Rate:     onceServiceRate, Until: o.duration(), Accounts: accounts, KeyRatio: 1,
		},
	})
}

// drainEvents draws when one engine is announced as leaving by the instance
// list alone, when another refuses new work by itself, and when instances are
// shut down and replaced.
func drainEvents(ctx context.Context, o Options, b *bed, f fleet, told *announced) []event {
	random := rand.New(rand.NewPCG(o.Seed, drainStream))
	within := func(from, until float64) time.Duration {
		return time.Duration((from + random.Float64()*(until-from)) * float64(o.duration()))
	}
	b.platform.SetInstanceListLag(drainListLag)
	b.platform.SetInstances(b.listed(""))
	chosen := random.Perm(len(b.engines))
	listed, refusing := chosen[0], chosen[1]
	events := []event{
		{within(leaveFrom, leaveUntil), func() {
			told.target(engineName(listed))
			b.platform.SetInstances(b.listed(engineName(listed)))
		}},
		{within(leaveFrom, leaveUntil), func() {
			told.target(engineName(refusing))
			b.engines[refusing].SetLeaving(true)
		}},
	}
	for _, index := range random.Perm(entryCount)[:shutdowns] {
		at := within(shutdownFrom, shutdownUntil)
		events = append(events, event{at, func() {
			told.instance(f.url(index))
			_ = f.shutdown(ctx, index)
			_ = f.replace(ctx, index)
		}})
	}
	return events
}

// listed is the platform's instance list with the engines of the bed.
func (b *bed) listed(leaving string) []platform.Listed {
	var list []platform.Listed
	for i, engine := range b.engines {
		entry := b.engineEntry(i, engine)
		list = append(list, platform.Listed{
			Name: entry.Name, Role: platform.RoleTarget, Address: entry.Address, Pool: enginePool,
			FailureDomain: entry.FailureDomain, Version: entry.Version, Slots: entry.Slots,
			Leaving: entry.Name == leaving,
		})
	}
	return list
}

// lateDispatches counts the requests that reached a leaving target, to run or
// to be refused, later than grace after its announcement.
func lateDispatches(r *result, leaving map[string]time.Time, grace time.Duration) int {
	count := 0
	for _, run := range r.truth.runs {
		if isLate(run.Target, run.StartedAt, leaving, grace) {
			count++
		}
	}
	for name, refusals := range r.refused {
		for _, refusal := range refusals {
			if isLate(name, refusal.ReceivedAt, leaving, grace) {
				count++
			}
		}
	}
	return count
}

func isLate(name string, at time.Time, leaving map[string]time.Time, grace time.Duration) bool {
	announced, leaves := leaving[name]
	return leaves && at.After(announced.Add(grace))
}

// cutByShutdown counts the attempts at an instance that broke, or were told
// that they may have run, after its shutdown began.
func cutByShutdown(outcomes []*load.Outcome, shutDown map[string]time.Time) int {
	count := 0
	for _, outcome := range outcomes {
		for _, attempt := range outcome.Attempts {
			began, ended := shutDown[attempt.URL]
			if ended && attempt.Ended.After(began) && isCut(attempt) {
				count++
			}
		}
	}
	return count
}

func isCut(attempt load.Attempt) bool {
	switch attempt.Verdict {
	case load.Broken, load.Partial:
		return true
	case load.Refused:
		return attempt.Run != runNotRun
	default:
		return false
	}
}

// refusals are the requests that each engine refused, by its name.
func (b *bed) refusals() map[string][]target.Refusal {
	refused := make(map[string][]target.Refusal)
	for i, engine := range b.engines {
		refused[engineName(i)] = engine.Refusals()
	}
	return refused
}
