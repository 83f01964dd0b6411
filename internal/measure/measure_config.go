package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Operators and fault injection of measure "config".
const (
	operatorCount       = 3
	meanOperatorPause   = 300 * time.Millisecond
	configPollInterval  = 50 * time.Millisecond
	configDeadline      = 5 * time.Second
	settleTimeout       = 10 * time.Second // after the operators have stopped
	outageDuration      = 2 * time.Second
	maxOutages          = 2
	configRandStream    = 5   // stream of the random number generator
	outageProbability   = 0.3 // after each acceptance
	configCrashCount    = 2
	configLostResponses = 2 // responses to writes to the platform
)

// configMeasure returns measure "config", which measures how accepted configurations
// propagate to the instances under injected faults.
func configMeasure() Measure {
	return Measure{
		Name:    "config",
		Summary: "accepted configurations: time until in force everywhere, reverts and losses",
		Run:     runConfig,
	}
}

// runConfig runs concurrent operators while the platform, with its table service,
// fails and instances are replaced, and polls the current configuration of each
// instance.
func runConfig(ctx context.Context, options Options) ([]Figure, error) {
	tb, err := newTestbed(heterogeneousEngines(options.Seed)[:1], 0)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	f, err := startSystemFleet(ctx, tb, fleetConfig{seed: options.Seed, deadline: configDeadline})
	if err != nil {
		return nil, err
	}
	defer f.close()
	history := newConfigHistory()
	experiment := &configExperiment{options: options, testbed: tb, fleet: f, history: history}
	experiment.run(ctx)
	return []Figure{
		{Name: "in_force_s_max", Value: history.maxPropagationTime().Seconds(), Unit: unitSeconds},
		{Name: "reverts", Value: float64(history.revertCount()), Unit: unitCount},
		{Name: "lost_accepted", Value: float64(history.lostCount()), Unit: unitCount},
	}, ctx.Err()
}

// configExperiment is one run of measure "config".
type configExperiment struct {
	options Options
	testbed *testbed
	fleet   *systemFleet
	history *configHistory
	// outageTokens holds a token for each outage that operators may still start.
	outageTokens chan struct{}
}

func (e *configExperiment) run(ctx context.Context) {
	e.outageTokens = make(chan struct{}, maxOutages)
	for range maxOutages {
		e.outageTokens <- struct{}{}
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	loadCtx, stopLoad := context.WithTimeout(ctx, e.options.duration())
	defer stopLoad()
	var watchers, operators conc.WaitGroup
	watchers.Go(func() { e.pollInstances(watchCtx) })
	faultEvents := startEvents(loadCtx, e.faultEvents(ctx))
	for n := range operatorCount {
		operators.Go(func() { e.runOperator(loadCtx, n) })
	}
	operators.Wait()
	faultEvents.Wait()
	e.testbed.platform.SetDown(false)
	settleDeadline := time.Now().Add(settleTimeout)
	for time.Now().Before(settleDeadline) && !e.history.allReached() && ctx.Err() == nil {
		sleep(ctx, configPollInterval)
	}
	stopWatch()
	watchers.Wait()
}

// faultEvents draws instance crashes with replacement, and lost responses to writes
// to the platform.
func (e *configExperiment) faultEvents(ctx context.Context) []scheduledEvent {
	random := rand.New(rand.NewPCG(e.options.Seed, configRandStream))
	randomOffset := func() time.Duration {
		return time.Duration((faultWindowStart + random.Float64()*(faultWindowEnd-faultWindowStart)) * float64(e.options.duration()))
	}
	events := []scheduledEvent{{randomOffset(), func() { e.testbed.platform.DropResponses(configLostResponses) }}}
	for _, index := range random.Perm(fleetSize)[:configCrashCount] {
		events = append(events, scheduledEvent{randomOffset(), func() {
			e.history.recordEnd(e.fleet.instanceName(index))
			e.fleet.crash(index)
			_ = e.fleet.launchInstance(index)
		}})
	}
	return events
}

// runOperator repeatedly reads the configuration, changes it and applies it, each
// time through a random live instance, until ctx ends.
func (e *configExperiment) runOperator(ctx context.Context, operator int) {
	random := rand.New(rand.NewPCG(e.options.Seed, uint64(configRandStream+1+operator)))
	for n := 0; ctx.Err() == nil; n++ {
		marker := fmt.Sprintf("op%d-%d", operator, n)
		e.editAndApply(ctx, random, marker)
		sleep(ctx, time.Duration(random.Float64()*2*float64(meanOperatorPause)))
	}
}

// editAndApply applies a configuration with a marker route, and records it if it was
// accepted.
func (e *configExperiment) editAndApply(ctx context.Context, random *rand.Rand, marker string) {
	current, err := e.fleet.currentConfig(ctx, random.Int())
	if err != nil {
		return
	}
	edited := e.testbed.tables(configDeadline)
	edited.Routes = append(edited.Routes, markerRoute(marker))
	result, err := e.fleet.apply(ctx, random.Int(), current.Version, edited)
	if err != nil || result.Outcome != admin.OutcomeAccepted {
		return
	}
	e.history.recordAcceptance(result.Version, marker, time.Now())
	if random.Float64() < outageProbability {
		e.startOutage(ctx)
	}
}

// startOutage takes the platform, with its table service, down for outageDuration, if
// an outage token is left.
func (e *configExperiment) startOutage(ctx context.Context) {
	select {
	case <-e.outageTokens:
	default:
		return
	}
	e.testbed.platform.SetDown(true)
	sleep(ctx, outageDuration)
	e.testbed.platform.SetDown(false)
}

// markerPath is the path of the marker route, whose name identifies a configuration.
const markerPath = "/marker"

func markerRoute(marker string) tables.Route {
	return tables.Route{Name: marker, Match: tables.Match{Path: markerPath}, Pool: enginePoolName, Tier: tables.TierCount - 1, Idempotent: true}
}

// configMarker returns the name of the marker route of a configuration, or "".
func configMarker(config *report.Config) string {
	for _, route := range config.Routes {
		if route.Match.Path == markerPath {
			return route.Name
		}
	}
	return ""
}

// pollInstances polls all instances at configPollInterval until ctx ends.
func (e *configExperiment) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		var polls conc.WaitGroup
		for index := range fleetSize {
			polls.Go(func() { e.pollInstance(ctx, index) })
		}
		polls.Wait()
		sleep(ctx, configPollInterval)
	}
}

// pollInstance records the current configuration of one instance.
func (e *configExperiment) pollInstance(ctx context.Context, index int) {
	name, url := e.fleet.adminEndpoint(index)
	if name == "" {
		return
	}
	config, err := readConfig(ctx, url)
	if err == nil {
		e.history.recordObservation(name, config.Version, configMarker(config), time.Now())
	}
}

// readConfig reads the current configuration of the instance with the given
// administration URL.
func readConfig(ctx context.Context, url string) (*report.Config, error) {
	client, err := adminclient.New(url, adminToken)
	if err != nil {
		return nil, err
	}
	var config report.Config
	if err := client.Get(ctx, "/admin/v1/config", &config); err != nil {
		return nil, err
	}
	return &config, nil
}

// currentConfig reads the current configuration of one of the live instances.
func (f *systemFleet) currentConfig(ctx context.Context, instanceIndex int) (*report.Config, error) {
	live := f.liveInstances()
	if len(live) == 0 {
		return nil, errors.New("read configuration: no live instance")
	}
	return readConfig(ctx, live[instanceIndex%len(live)].AdminURL())
}
