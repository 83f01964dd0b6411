package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Versions of a move.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// chatPath and textPath are the two routes of a move's load.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// mover decides which version gets a request; *move.Manager is one.
type mover interface {
	Pick(pool, route string, tier tables.Tier, idempotent bool, u float64) string
	Usable(pool, version string) bool
	Observe(o evidence.Observation)
	Status() []move.Status
}

// worldEngine is one engine of a move with the requests that this side runs
// there.
type worldEngine struct {
	*target.Engine
	entry   tables.Target
	running atomic.Int64
}

// moveWorld is one move: engines of both versions and the movers.
type moveWorld struct {
	kind    moveKind
	clock   clockwork.Clock
	engines []*worldEngine
	table   *platform.Memory
	movers  []mover
	sender  *load.Sender

	config  atomic.Pointer[tables.Tables]
	outage  atomic.Bool
	shownAt atomic.Int64 // Unix nanoseconds of the real clock, 0 before
	after   atomic.Int64 // requests to a bad version after that
}

// Sizes of a move's pool.
const (
	enginesEach  = 3 // of each version
	moveMovers   = 3
	moveSlots    = 16
	moveToken    = 8 * time.Millisecond
	movePrefill  = 5e4
	moveTimeout  = 10 * time.Second
	shownAnswers = 50 // bad answers that show the badness to anyone
	shownGrace   = time.Second
)

func newMoveWorld(kind moveKind, seed uint64, clock clockwork.Clock) (*moveWorld, error) {
	w := &moveWorld{kind: kind, clock: clock, table: platform.NewMemory()}
	w.table.Fault = func(context.Context, string) error {
		if w.outage.Load() {
			return platform.ErrUnavailable
		}
		return nil
	}
	for i := range 2 * enginesEach {
		version := []string{oldVersion, newVersion}[i/enginesEach]
		engine := target.NewEngine(target.EngineOptions{
			Name: engineName(i), Version: version, Slots: moveSlots, DecodeTimePerToken: moveToken,
			PrefillTokensPerSecond: movePrefill, Seed: seed + uint64(i),
			VersionFaults: map[string]target.VersionFault{newVersion: kind.badness},
		})
		if err := engine.Start(); err != nil {
			w.close()
			return nil, err
		}
		w.engines = append(w.engines, &worldEngine{Engine: engine, entry: tables.Target{
			Name: engineName(i), Address: engine.Address(), Version: version, Slots: moveSlots,
			FailureDomain: failureDomains[i%enginesEach],
		}})
	}
	w.sender = load.NewSender(load.NewBalancer(nil), moveTimeout)
	w.configure(1, oldVersion, time.Time{})
	return w, nil
}

func (w *moveWorld) close() {
	for _, engine := range w.engines {
		engine.Close()
	}
	if w.sender != nil {
		w.sender.Close()
	}
}

// configure puts tables in force that name a version.
func (w *moveWorld) configure(rank uint64, version string, deadline time.Time) {
	pool := tables.Pool{Name: enginePool, Kind: tables.KindEngine, Version: version, Deadline: deadline}
	for _, engine := range w.engines {
		pool.Targets = append(pool.Targets, engine.entry)
	}
	w.config.Store(&tables.Tables{
		Version: rank,
		Routes: []tables.Route{
			{Name: chatPath, Match: tables.Match{Path: chatPath}, Pool: enginePool, Tier: 1, Idempotent: true},
			{Name: textPath, Match: tables.Match{Path: textPath}, Pool: enginePool, Tier: 2, Idempotent: true},
		},
		Pools: []tables.Pool{pool},
	})
}

// startManagers starts the system's movers; they stop with ctx.
func (w *moveWorld) startManagers(ctx context.Context, seed uint64, tasks *conc.WaitGroup) error {
	network := peer.NewNetwork()
	members := make([]membership.Member, moveMovers)
	for i := range members {
		members[i] = membership.Member{
			Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("entry-%d", i), Incarnation: 1,
		}
	}
	rumors := make([]*membership.LocalRumors, 0, len(members))
	for i, self := range members {
		others := append(append([]membership.Member(nil), members[:i]...), members[i+1:]...)
		bus := network.Bus(self.PeerAddress)
		own := membership.NewLocalRumors()
		manager := move.New(move.Options{
			Viewer: membership.NewStatic(self, others...), Bus: bus, Rumors: own, Table: w.table,
			Config: w.config.Load, UsableTargets: w.usable, Clock: w.clock,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))), Logger: zap.NewNop(),
		})
		if err := bus.Start(); err != nil {
			return err
		}
		rumors = append(rumors, own)
		w.movers = append(w.movers, manager)
		tasks.Go(func() { manager.Run(ctx) })
	}
	membership.Join(rumors...)
	return nil
}

func (w *moveWorld) usable(string) []tables.Target {
	var usable []tables.Target
	for _, engine := range w.engines {
		usable = append(usable, engine.entry)
	}
	return usable
}

// send carries one request out as an entry does: pick a version, send it to
// the engine of that version with the fewest own requests, and observe.
func (w *moveWorld) send(ctx context.Context, call *load.Call, by mover, u float64) {
	version := by.Pick(enginePool, call.Path, tables.Tier(call.Tier), true, u)
	engine := w.engine(version)
	if engine.entry.Version == newVersion {
		w.countLate()
	}
	running := engine.running.Add(1)
	attempt := w.sender.SendTo(ctx, call, engine.URL())
	engine.running.Add(-1)
	if ctx.Err() == nil {
		by.Observe(observe(call, &attempt, &engine.entry, int(running)))
	}
}

// countLate counts a request to a bad version after its badness has shown.
func (w *moveWorld) countLate() {
	shown := w.shownAt.Load()
	if shown != 0 && time.Now().UnixNano() > shown+int64(shownGrace) {
		w.after.Add(1)
	}
}

// engine is the engine of a version, or of any, with the fewest own requests.
func (w *moveWorld) engine(version string) *worldEngine {
	var best *worldEngine
	for _, engine := range w.engines {
		if version != "" && engine.entry.Version != version {
			continue
		}
		if best == nil || engine.running.Load() < best.running.Load() {
			best = engine
		}
	}
	return best
}

// observe turns what a caller saw into an entry's observation.
func observe(call *load.Call, attempt *load.Attempt, at *tables.Target, running int) evidence.Observation {
	o := evidence.Observation{
		Pool: enginePool, Version: at.Version, Route: call.Path, Target: at.Name,
		FailureDomain: at.FailureDomain, Tier: tables.Tier(call.Tier), RunningRequests: running,
		TotalDuration: attempt.Ended.Sub(attempt.Sent), PromptTokens: target.PromptTokens(call.Prompt),
		OutputTokens: call.MaxTokens, Failure: failureOf(attempt.Verdict),
	}
	o.Failed = o.Failure != evidence.FailureNone
	if !attempt.FirstToken.IsZero() {
		o.TimeToFirstToken = attempt.FirstToken.Sub(attempt.Sent)
	}
	return o
}

func failureOf(verdict load.Verdict) evidence.FailureKind {
	switch verdict {
	case load.Whole:
		return evidence.FailureNone
	case load.Partial:
		return evidence.FailureIncompleteStream
	case load.Broken:
		return evidence.FailureConnectionLost
	default:
		return evidence.FailureBadResponse
	}
}

// badAnswers counts the answers on which the badness showed.
func (w *moveWorld) badAnswers() int {
	count := 0
	for _, engine := range w.engines {
		count += engine.FaultyRunCount()
	}
	return count
}

// isTakenBack reports whether any mover has taken the new version back.
func (w *moveWorld) isTakenBack() bool {
	for _, m := range w.movers {
		if !m.Usable(enginePool, newVersion) {
			return true
		}
	}
	return false
}

// setTrouble begins or ends the kind's trouble.
func (w *moveWorld) setTrouble(on bool) {
	speed := 1.0
	if on {
		speed = troubleSpeed
	}
	switch w.kind.trouble {
	case troubleSlowPool:
		for _, engine := range w.engines {
			engine.SetSpeed(speed)
		}
	case troubleSlowDomain:
		for _, engine := range w.engines {
			if engine.entry.FailureDomain == failureDomains[0] {
				engine.SetSpeed(speed)
			}
		}
	case troubleTableDown:
		w.outage.Store(on)
	}
}
