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

// The operators and the faults of measure "config".
const (
	operators        = 3
	operatorPause    = 300 * time.Millisecond
	configWatch      = 50 * time.Millisecond
	configDeadline   = 5 * time.Second
	settleTime       = 10 * time.Second // after the last acceptance
	outageAfterApply = 2 * time.Second
	outages          = 2
	configStream     = 5   // the stream of random numbers
	outageRatio      = 0.3 // of the acceptances start an outage
	configDeaths     = 2
	configLost       = 2 // answers of the table service
)

func configMeasure() Measure {
	return Measure{
		Name:    "config",
		Summary: "accepted configurations: time until in force everywhere, reverts and losses",
		Run:     runConfig,
	}
}

// runConfig lets operators race while the table service fails and instances
// are replaced, and watches what is in force at each instance.
func runConfig(ctx context.Context, o Options) ([]Figure, error) {
	b, err := newBed(unlikeEngines(o.Seed)[:1], 0)
	if err != nil {
		return nil, err
	}
	defer b.close()
	f, err := startSystemFleet(ctx, b, setup{seed: o.Seed, deadline: configDeadline})
	if err != nil {
		return nil, err
	}
	defer f.close()
	h := newHistory()
	race := &configRace{options: o, bed: b, fleet: f, history: h}
	race.run(ctx)
	return []Figure{
		{Name: "in_force_s_max", Value: h.slowest().Seconds(), Unit: unitSeconds},
		{Name: "reverts", Value: float64(h.reverts()), Unit: unitCount},
		{Name: "lost_accepted", Value: float64(h.lost()), Unit: unitCount},
	}, ctx.Err()
}

// configRace is one run of the measure.
type configRace struct {
	options Options
	bed     *bed
	fleet   *systemFleet
	history *history
	// outage gives an operator the right to take the table service down.
	outage chan struct{}
}

func (r *configRace) run(ctx context.Context) {
	r.outage = make(chan struct{}, outages)
	for range outages {
		r.outage <- struct{}{}
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	racing, stopRacing := context.WithTimeout(ctx, r.options.duration())
	defer stopRacing()
	var watchers, racers conc.WaitGroup
	watchers.Go(func() { r.watch(watching) })
	faults := play(racing, r.faults(ctx))
	for n := range operators {
		racers.Go(func() { r.operate(racing, n) })
	}
	racers.Wait()
	faults.Wait()
	r.bed.platform.SetDown(false)
	settled := time.Now().Add(settleTime)
	for time.Now().Before(settled) && !r.history.allInForce() && ctx.Err() == nil {
		sleep(ctx, configWatch)
	}
	stopWatching()
	watchers.Wait()
}

// faults draws deaths with replacement and lost answers of the table service.
func (r *configRace) faults(ctx context.Context) []event {
	random := rand.New(rand.NewPCG(r.options.Seed, configStream))
	at := func() time.Duration {
		return time.Duration((faultsFrom + random.Float64()*(faultsUntil-faultsFrom)) * float64(r.options.duration()))
	}
	events := []event{{at(), func() { r.bed.platform.DropResponses(configLost) }}}
	for _, index := range random.Perm(entryCount)[:configDeaths] {
		events = append(events, event{at(), func() {
			r.history.ended(r.fleet.name(index))
			r.fleet.crash(index)
			_ = r.fleet.launch(index)
		}})
	}
	return events
}

// operate is one operator: it reads the configuration, changes it and applies
// it through some instance, again and again.
func (r *configRace) operate(ctx context.Context, operator int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(configStream+1+operator)))
	for n := 0; ctx.Err() == nil; n++ {
		marker := fmt.Sprintf("op%d-%d", operator, n)
		r.edit(ctx, random, marker)
		sleep(ctx, time.Duration(random.Float64()*2*float64(operatorPause)))
	}
}

func (r *configRace) edit(ctx context.Context, random *rand.Rand, marker string) {
	present, err := r.fleet.config(ctx, random.Int())
	if err != nil {
		return
	}
	edited := r.bed.tables(configDeadline)
	edited.Routes = append(edited.Routes, markerRoute(marker))
	answer, err := r.fleet.apply(ctx, random.Int(), present.Version, edited)
	if err != nil || answer.Outcome != admin.OutcomeAccepted {
		return
	}
	r.history.accepted(answer.Version, marker, time.Now())
	if random.Float64() < outageRatio {
		r.takeDown(ctx)
	}
}

// takeDown stops the table service right after an acceptance, for a while.
func (r *configRace) takeDown(ctx context.Context) {
	select {
	case <-r.outage:
	default:
		return
	}
	r.bed.platform.SetDown(true)
	sleep(ctx, outageAfterApply)
	r.bed.platform.SetDown(false)
}

// markerPath is the path of the route whose name marks a configuration.
const markerPath = "/marker"

func markerRoute(marker string) tables.Route {
	return tables.Route{Name: marker, Match: tables.Match{Path: markerPath}, Pool: enginePool, Tier: tables.TierCount - 1, Idempotent: true}
}

// markerOf is the marker of a configuration, or "".
func markerOf(config *report.Config) string {
	for _, route := range config.Routes {
		if route.Match.Path == markerPath {
			return route.Name
		}
	}
	return ""
}

// watch notes again and again what is in force at each instance.
func (r *configRace) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var readers conc.WaitGroup
		for index := range entryCount {
			readers.Go(func() { r.look(ctx, index) })
		}
		readers.Wait()
		sleep(ctx, configWatch)
	}
}

func (r *configRace) look(ctx context.Context, index int) {
	name, url := r.fleet.admin(index)
	if name == "" {
		return
	}
	config, err := readConfig(ctx, url)
	if err == nil {
		r.history.saw(name, config.Version, markerOf(config), time.Now())
	}
}

// readConfig reads the configuration in force at one instance.
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

// config reads the configuration through one of the living instances.
func (f *systemFleet) config(ctx context.Context, through int) (*report.Config, error) {
	living := f.living()
	if len(living) == 0 {
		return nil, errors.New("no instance lives")
	}
	return readConfig(ctx, living[through%len(living)].AdminURL())
}
