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

// Times and load of measure "moves". Each kind has a move of its own, all at
// once. The movers' clock runs faster than the real one, so that the move's
// time passes in the measure's; engines and requests keep real time.
const (
	moveLength   = 140 * time.Second // by the movers' clock
	moveRealTime = 28 * time.Second  // unless a duration is asked for
	naiveShare   = 6                 // the naive policy runs this part of the time
	moveWarmUp   = 1500 * time.Millisecond
	moveOverrun  = 1.05 // of the move's time until the verdict is read
	moveRate     = 60.0 // requests a second for each move
	movePoll     = 50 * time.Millisecond
	fewestTokens = 6
	mostTokens   = 18
	moveStream   = 9 // the stream of random numbers
)

func movesMeasure() Measure {
	return Measure{
		Name:    "moves",
		Summary: "good versions moved in time and bad ones taken back, over all kinds of badness",
		Run:     runMoves,
	}
}

// moveResult is what became of one move.
type moveResult struct {
	bad       bool
	done      bool
	takenBack bool
	shareMax  float64 // in force while the badness showed
	after     int64   // requests after the badness had shown
}

func runMoves(ctx context.Context, o Options) ([]Figure, error) {
	length := moveRealTime
	if o.Duration > 0 {
		length = o.Duration
	}
	system, err := moveAll(ctx, o.Seed, length, (*moveWorld).startManagers)
	if err != nil {
		return nil, err
	}
	naive, err := moveAll(ctx, o.Seed, length/naiveShare, (*moveWorld).startNaive)
	if err != nil {
		return nil, err
	}
	return compare(moveFigures(system), moveFigures(naive)), nil
}

// moverStarter gives a world its movers.
type moverStarter func(w *moveWorld, ctx context.Context, seed uint64, tasks *conc.WaitGroup) error

// moveAll runs one move of each kind, side by side.
func moveAll(ctx context.Context, seed uint64, length time.Duration, start moverStarter) ([]moveResult, error) {
	clock := newScaledClock(float64(moveLength) / float64(length))
	kinds := moveKinds(rand.New(rand.NewPCG(seed, moveStream)), length)
	results := make([]moveResult, len(kinds))
	failures := make([]error, len(kinds))
	var moves conc.WaitGroup
	for i, kind := range kinds {
		moves.Go(func() {
			own := seed*uint64(len(kinds)) + uint64(i)
			results[i], failures[i] = runMove(ctx, kind, own, length, clock, start)
		})
	}
	moves.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return results, ctx.Err()
}

// runMove runs one move to its deadline.
func runMove(ctx context.Context, kind moveKind, seed uint64, length time.Duration, clock *scaledClock, start moverStarter) (moveResult, error) {
	w, err := newMoveWorld(kind, seed, clock)
	if err != nil {
		return moveResult{}, err
	}
	defer w.close()
	ctx, stop := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer stop()
	if err := start(w, ctx, seed, &tasks); err != nil {
		return moveResult{}, err
	}
	until := moveWarmUp + time.Duration(moveOverrun*float64(length))
	tasks.Go(func() { w.sendAll(ctx, seed, until) })
	sleep(ctx, moveWarmUp)
	deadline := clock.Now().Add(moveLength)
	w.configure(2, newVersion, deadline)
	trouble := func(part float64) time.Duration { return time.Duration(part * float64(length)) }
	tasks.Go(func() {
		play(ctx, []event{
			{trouble(troubleFrom), func() { w.setTrouble(true) }},
			{trouble(troubleUntil), func() { w.setTrouble(false) }},
		}).Wait()
	})
	return w.follow(ctx, deadline), nil
}

// follow watches a move until shortly after its deadline.
func (w *moveWorld) follow(ctx context.Context, deadline time.Time) moveResult {
	result := moveResult{bad: w.kind.bad}
	overrun := time.Duration((moveOverrun - 1) * float64(moveLength))
	for ctx.Err() == nil && w.clock.Now().Before(deadline.Add(overrun)) {
		status := w.movers[0].Status()[0]
		onTime := w.clock.Now().Before(deadline)
		result.done = result.done || onTime && status.State == move.StatusDone && status.NewVersion == newVersion
		result.takenBack = result.takenBack || w.isTakenBack()
		bad := w.badAnswers()
		if bad > 0 && !result.takenBack {
			result.shareMax = max(result.shareMax, status.Share)
		}
		if w.kind.bad && (result.takenBack || bad >= shownAnswers) {
			w.shownAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		sleep(ctx, movePoll)
	}
	result.after = w.after.Load()
	return result
}

// sendAll sends an even load over both routes, each request through one of
// the movers.
func (w *moveWorld) sendAll(ctx context.Context, seed uint64, until time.Duration) {
	var sources []load.Source
	for tier, path := range []string{chatPath, textPath} {
		sources = append(sources, load.Source{
			Template:          load.Request{Path: path, Tier: tier + 1, Model: modelOf(tier + 1)},
			RequestsPerSecond: moveRate / 2, End: until, Accounts: accounts,
			MinTokens: fewestTokens, MaxTokens: mostTokens, PromptBytesPerOutputToken: bytesPerOutput, StreamRatio: 1,
		})
	}
	random := rand.New(rand.NewPCG(seed, moveStream))
	start := time.Now()
	var inFlight conc.WaitGroup
	defer inFlight.Wait()
	for _, call := range load.GeneratePlan(seed, sources) {
		sleep(ctx, time.Until(start.Add(call.Offset)))
		if ctx.Err() != nil {
			return
		}
		by := w.movers[random.IntN(len(w.movers))]
		u := random.Float64()
		inFlight.Go(func() { w.send(ctx, call, by, u) })
	}
}

// moveFigures sums the results of all kinds up.
func moveFigures(results []moveResult) []Figure {
	var good, goodDone, goodBack, bad, badBack, shareMax, after float64
	for _, r := range results {
		if r.bad {
			bad++
			badBack += count(r.takenBack)
			shareMax = max(shareMax, r.shareMax)
			after += float64(r.after)
			continue
		}
		good++
		goodDone += count(r.done)
		goodBack += count(r.takenBack)
	}
	return []Figure{
		{Name: "good_moved_in_time_ratio", Value: ratio(goodDone, good), Unit: unitRatio},
		{Name: "bad_taken_back_ratio", Value: ratio(badBack, bad), Unit: unitRatio},
		{Name: "bad_share_max", Value: shareMax, Unit: unitRatio},
		{Name: "bad_after_shown", Value: after, Unit: unitCount},
		{Name: "good_taken_back_ratio", Value: ratio(goodBack, good), Unit: unitRatio},
	}
}

func count(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// naiveMover sends everything to the version that the tables name, at once.
type naiveMover struct{ world *moveWorld }

// startNaive gives the world the naive policy.
func (w *moveWorld) startNaive(context.Context, uint64, *conc.WaitGroup) error {
	w.movers = []mover{naiveMover{w}}
	return nil
}

func (n naiveMover) pool() *tables.Pool { return &n.world.config.Load().Pools[0] }

// Pick returns the version that the tables name.
func (n naiveMover) Pick(string, string, tables.Tier, bool, float64) string { return n.pool().Version }

// Usable is always true: the naive policy takes nothing back.
func (n naiveMover) Usable(string, string) bool { return true }

// Observe does nothing.
func (n naiveMover) Observe(evidence.Observation) {}

// Status shows a move that is done at once.
func (n naiveMover) Status() []move.Status {
	return []move.Status{{Pool: enginePool, State: move.StatusDone, NewVersion: n.pool().Version, Share: 1}}
}
