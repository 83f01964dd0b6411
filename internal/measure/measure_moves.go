package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Times and load of measure "moves". Each scenario has a move of its own; all run
// concurrently. The managers' clock is scaled, so that a move of moveDuration runs
// within the measure's real time; engines and requests use the real clock.
const (
	moveDuration          = 140 * time.Second // by the managers' clock
	defaultMoveRealTime   = 28 * time.Second  // without Options.Duration
	naiveTimeDivisor      = 6                 // the naive baseline runs for this fraction of the real time
	moveWarmUp            = 1500 * time.Millisecond
	moveOverrunFactor     = 1.05 // of the move's time, until its result is read
	moveRequestsPerSecond = 60.0 // for each move
	movePollInterval      = 50 * time.Millisecond
	moveMinOutputTokens   = 6
	moveMaxOutputTokens   = 18
	moveRandStream        = 9 // stream of the random number generator
)

// movesMeasure returns measure "moves", which measures whether moves to good versions
// complete in time and defective versions are rolled back.
func movesMeasure() Measure {
	return Measure{
		Name:    "moves",
		Summary: "good versions moved in time and bad ones taken back, over all kinds of badness",
		Run:     runMoves,
	}
}

// moveResult is the result of one move.
type moveResult struct {
	isDefective       bool
	completedInTime   bool
	rolledBack        bool
	maxDefectiveShare float64 // highest share of a version with defective responses, before its rollback
	lateRequests      int64   // to a defective version, after the defect had shown
}

func runMoves(ctx context.Context, options Options) ([]Figure, error) {
	realTime := defaultMoveRealTime
	if options.Duration > 0 {
		realTime = options.Duration
	}
	system, err := runAllScenarios(ctx, options.Seed, realTime, (*moveTestbed).startManagers)
	if err != nil {
		return nil, err
	}
	naive, err := runAllScenarios(ctx, options.Seed, realTime/naiveTimeDivisor, (*moveTestbed).startNaiveSelector)
	if err != nil {
		return nil, err
	}
	return withBaseline(moveFigures(system), moveFigures(naive)), nil
}

// selectorStarter sets the version selectors of a testbed.
type selectorStarter func(tb *moveTestbed, ctx context.Context, seed uint64, tasks *conc.WaitGroup) error

// runAllScenarios runs the moves of all scenarios concurrently.
func runAllScenarios(ctx context.Context, seed uint64, realTime time.Duration, startSelectors selectorStarter) ([]moveResult, error) {
	clock := newScaledClock(float64(moveDuration) / float64(realTime))
	scenarios := moveScenarios(rand.New(rand.NewPCG(seed, moveRandStream)), realTime)
	results := make([]moveResult, len(scenarios))
	errs := make([]error, len(scenarios))
	var moves conc.WaitGroup
	for i, scenario := range scenarios {
		moves.Go(func() {
			scenarioSeed := seed*uint64(len(scenarios)) + uint64(i)
			results[i], errs[i] = runScenario(ctx, scenario, scenarioSeed, realTime, clock, startSelectors)
		})
	}
	moves.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, ctx.Err()
}

// runScenario runs the move of one scenario until shortly after its deadline.
func runScenario(ctx context.Context, scenario moveScenario, seed uint64, realTime time.Duration, clock *scaledClock, startSelectors selectorStarter) (moveResult, error) {
	tb, err := newMoveTestbed(scenario, seed, clock)
	if err != nil {
		return moveResult{}, err
	}
	defer tb.close()
	ctx, stop := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer stop()
	if err := startSelectors(tb, ctx, seed, &tasks); err != nil {
		return moveResult{}, err
	}
	loadDuration := moveWarmUp + time.Duration(moveOverrunFactor*float64(realTime))
	tasks.Go(func() { tb.sendLoad(ctx, seed, loadDuration) })
	sleep(ctx, moveWarmUp)
	deadline := clock.Now().Add(moveDuration)
	tb.setTables(2, newVersion, deadline)
	offsetAt := func(fraction float64) time.Duration { return time.Duration(fraction * float64(realTime)) }
	tasks.Go(func() {
		startEvents(ctx, []scheduledEvent{
			{offsetAt(poolFaultStart), func() { tb.setPoolFault(true) }},
			{offsetAt(poolFaultEnd), func() { tb.setPoolFault(false) }},
		}).Wait()
	})
	return tb.watchMove(ctx, deadline), nil
}

// watchMove polls the status of the move until shortly after its deadline.
func (tb *moveTestbed) watchMove(ctx context.Context, deadline time.Time) moveResult {
	result := moveResult{isDefective: tb.scenario.isDefective}
	overrun := time.Duration((moveOverrunFactor - 1) * float64(moveDuration))
	for ctx.Err() == nil && tb.clock.Now().Before(deadline.Add(overrun)) {
		status := tb.selectors[0].Status()[0]
		beforeDeadline := tb.clock.Now().Before(deadline)
		result.completedInTime = result.completedInTime || beforeDeadline && status.State == move.StatusDone && status.NewVersion == newVersion
		result.rolledBack = result.rolledBack || tb.isRolledBack()
		defectiveCount := tb.defectiveResponses()
		if defectiveCount > 0 && !result.rolledBack {
			result.maxDefectiveShare = max(result.maxDefectiveShare, status.Share)
		}
		if tb.scenario.isDefective && (result.rolledBack || defectiveCount >= defectShownResponses) {
			tb.defectShownAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		sleep(ctx, movePollInterval)
	}
	result.lateRequests = tb.lateRequests.Load()
	return result
}

// sendLoad sends the load in equal shares over both routes, each request through a
// random version selector.
func (tb *moveTestbed) sendLoad(ctx context.Context, seed uint64, duration time.Duration) {
	var sources []load.Source
	for tier, path := range []string{chatPath, textPath} {
		sources = append(sources, load.Source{
			Template:          load.Request{Path: path, Tier: tier + 1, Model: tierModel(tier + 1)},
			RequestsPerSecond: moveRequestsPerSecond / 2, End: duration, Accounts: clientAccounts,
			MinTokens: moveMinOutputTokens, MaxTokens: moveMaxOutputTokens, PromptBytesPerOutputToken: promptBytesPerOutputToken, StreamRatio: 1,
		})
	}
	random := rand.New(rand.NewPCG(seed, moveRandStream))
	start := time.Now()
	var inFlight conc.WaitGroup
	defer inFlight.Wait()
	for _, request := range load.GeneratePlan(seed, sources) {
		sleep(ctx, time.Until(start.Add(request.Offset)))
		if ctx.Err() != nil {
			return
		}
		selector := tb.selectors[random.IntN(len(tb.selectors))]
		u := random.Float64()
		inFlight.Go(func() { tb.send(ctx, request, selector, u) })
	}
}

// moveFigures computes the figures from the results of all scenarios.
func moveFigures(results []moveResult) []Figure {
	var good, goodCompleted, goodRolledBack, bad, badRolledBack, maxBadShare, lateRequests float64
	for _, r := range results {
		if r.isDefective {
			bad++
			badRolledBack += indicator(r.rolledBack)
			maxBadShare = max(maxBadShare, r.maxDefectiveShare)
			lateRequests += float64(r.lateRequests)
			continue
		}
		good++
		goodCompleted += indicator(r.completedInTime)
		goodRolledBack += indicator(r.rolledBack)
	}
	return []Figure{
		{Name: "good_moved_in_time_ratio", Value: ratio(goodCompleted, good), Unit: unitRatio},
		{Name: "bad_taken_back_ratio", Value: ratio(badRolledBack, bad), Unit: unitRatio},
		{Name: "bad_share_max", Value: maxBadShare, Unit: unitRatio},
		{Name: "bad_after_shown", Value: lateRequests, Unit: unitCount},
		{Name: "good_taken_back_ratio", Value: ratio(goodRolledBack, good), Unit: unitRatio},
	}
}

// indicator returns 1 if the condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// naiveSelector is the naive baseline: it selects the version that the tables name,
// at once and for all requests.
type naiveSelector struct{ testbed *moveTestbed }

// startNaiveSelector makes the naive baseline the only version selector.
func (tb *moveTestbed) startNaiveSelector(context.Context, uint64, *conc.WaitGroup) error {
	tb.selectors = []versionSelector{naiveSelector{tb}}
	return nil
}

func (s naiveSelector) pool() *tables.Pool { return &s.testbed.config.Load().Pools[0] }

// Pick returns the version that the tables name.
func (s naiveSelector) Pick(string, string, tables.Tier, bool, float64) string {
	return s.pool().Version
}

// Usable returns true, since the naive baseline rolls nothing back.
func (s naiveSelector) Usable(string, string) bool { return true }

// Observe does nothing.
func (s naiveSelector) Observe(evidence.Observation) {}

// Status returns a completed move to the version that the tables name.
func (s naiveSelector) Status() []move.Status {
	return []move.Status{{Pool: enginePoolName, State: move.StatusDone, NewVersion: s.pool().Version, Share: 1}}
}
