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

// versionSelector decides which version gets a request; *move.Manager is one.
type versionSelector interface {
	Pick(pool, route string, tier tables.Tier, idempotent bool, u float64) string
	Usable(pool, version string) bool
	Observe(o evidence.Observation)
	Status() []move.Status
}

// moveEngine is one engine of a move with the requests that this side runs
// there.
type moveEngine struct {
	*target.Engine
	tableEntry tables.Target
	inFlight   atomic.Int64
}

// moveTestbed is one move: engines of both versions and the movers.
type moveTestbed struct {
	scenario  moveScenario
	clock     clockwork.Clock
	engines   []*moveEngine
	table     *platform.Memory
	selectors []versionSelector
	generator *load.Generator

	config        atomic.Pointer[tables.Tables]
	tableDown     atomic.Bool
	defectShownAt atomic.Int64 // Unix nanoseconds of the real clock, 0 before
	lateRequests  atomic.Int64 // requests to a bad version after that
}

// Sizes of a move's pool.
const (
	enginesPerVersion    = 3 // of each version
	managerCount         = 3
	moveEngineSlots      = 16
	moveTokenTime        = 8 * time.Millisecond
	movePrefillPerSecond = 5e4
	moveRequestTimeout   = 10 * time.Second
	defectShownResponses = 50 // bad answers that show the badness to anyone
	defectShownGrace     = time.Second
)

func newMoveTestbed(scenario moveScenario, seed uint64, clock clockwork.Clock) (*moveTestbed, error) {
	tb := &moveTestbed{scenario: scenario, clock: clock, table: platform.NewMemory()}
	tb.table.Fault = func(context.Context, string) error {
		if tb.tableDown.Load() {
			return platform.ErrUnavailable
		}
		return nil
	}
	for i := range 2 * enginesPerVersion {
		version := []string{oldVersion, newVersion}[i/enginesPerVersion]
		engine := target.NewEngine(target.EngineOptions{
			Name: engineName(i), Version: version, Slots: moveEngineSlots, TokenTime: moveTokenTime,
			PrefillPerSecond: movePrefillPerSecond, Seed: seed + uint64(i),
			Badness: map[string]target.Badness{newVersion: scenario.defect},
		})
		if err := engine.Start(); err != nil {
			tb.close()
			return nil, err
		}
		tb.engines = append(tb.engines, &moveEngine{Engine: engine, tableEntry: tables.Target{
			Name: engineName(i), Address: engine.Address(), Version: version, Slots: moveEngineSlots,
			FailureDomain: failureDomains[i%enginesPerVersion],
		}})
	}
	tb.generator = load.NewGenerator(load.NewBalancer(nil), moveRequestTimeout)
	tb.setTables(1, oldVersion, time.Time{})
	return tb, nil
}

func (tb *moveTestbed) close() {
	for _, engine := range tb.engines {
		engine.Close()
	}
	if tb.generator != nil {
		tb.generator.Close()
	}
}

// setTables puts tables in force that name a version.
func (tb *moveTestbed) setTables(tablesVersion uint64, version string, deadline time.Time) {
	pool := tables.Pool{Name: enginePoolName, Kind: tables.KindEngine, Version: version, Deadline: deadline}
	for _, engine := range tb.engines {
		pool.Targets = append(pool.Targets, engine.tableEntry)
	}
	tb.config.Store(&tables.Tables{
		Version: tablesVersion,
		Routes: []tables.Route{
			{Name: chatPath, Match: tables.Match{Path: chatPath}, Pool: enginePoolName, Tier: 1, Idempotent: true},
			{Name: textPath, Match: tables.Match{Path: textPath}, Pool: enginePoolName, Tier: 2, Idempotent: true},
		},
		Pools: []tables.Pool{pool},
	})
}

// startManagers starts the system's movers; they stop with ctx.
func (tb *moveTestbed) startManagers(ctx context.Context, seed uint64, tasks *conc.WaitGroup) error {
	network := peer.NewNetwork()
	members := make([]membership.Member, managerCount)
	for i := range members {
		members[i] = membership.Member{
			Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("entry-%d", i), Incarnation: 1,
		}
	}
	rumors := make([]*membership.LocalRumors, 0, len(members))
	for i, self := range members {
		others := append(append([]membership.Member(nil), members[:i]...), members[i+1:]...)
		bus := network.Bus(self.PeerAddress)
		localRumors := membership.NewLocalRumors()
		manager := move.New(move.Options{
			Viewer: membership.NewStatic(self, others...), Bus: bus, Rumors: localRumors, Table: tb.table,
			Config: tb.config.Load, UsableTargets: tb.usableTargets, Clock: tb.clock,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))), Logger: zap.NewNop(),
		})
		if err := bus.Start(); err != nil {
			return err
		}
		rumors = append(rumors, localRumors)
		tb.selectors = append(tb.selectors, manager)
		tasks.Go(func() { manager.Run(ctx) })
	}
	membership.Join(rumors...)
	return nil
}

func (tb *moveTestbed) usableTargets(string) []tables.Target {
	var usable []tables.Target
	for _, engine := range tb.engines {
		usable = append(usable, engine.tableEntry)
	}
	return usable
}

// send carries one request out as an entry does: pick a version, send it to
// the engine of that version with the fewest own requests, and observe.
func (tb *moveTestbed) send(ctx context.Context, request *load.Request, selector versionSelector, u float64) {
	version := selector.Pick(enginePoolName, request.Path, tables.Tier(request.Tier), true, u)
	engine := tb.leastLoadedEngine(version)
	if engine.tableEntry.Version == newVersion {
		tb.countLateRequest()
	}
	inFlight := engine.inFlight.Add(1)
	attempt := tb.generator.SendTo(ctx, request, engine.URL())
	engine.inFlight.Add(-1)
	if ctx.Err() == nil {
		selector.Observe(newObservation(request, &attempt, &engine.tableEntry, int(inFlight)))
	}
}

// countLateRequest counts a request to a bad version after its badness has shown.
func (tb *moveTestbed) countLateRequest() {
	shownAt := tb.defectShownAt.Load()
	if shownAt != 0 && time.Now().UnixNano() > shownAt+int64(defectShownGrace) {
		tb.lateRequests.Add(1)
	}
}

// leastLoadedEngine is the leastLoadedEngine of a version, or of any, with the fewest own requests.
func (tb *moveTestbed) leastLoadedEngine(version string) *moveEngine {
	var best *moveEngine
	for _, engine := range tb.engines {
		if version != "" && engine.tableEntry.Version != version {
			continue
		}
		if best == nil || engine.inFlight.Load() < best.inFlight.Load() {
			best = engine
		}
	}
	return best
}

// newObservation turns what a caller saw into an entry's observation.
func newObservation(request *load.Request, attempt *load.Attempt, engine *tables.Target, inFlight int) evidence.Observation {
	observation := evidence.Observation{
		Pool: enginePoolName, Version: engine.Version, Route: request.Path, Target: engine.Name,
		FailureDomain: engine.FailureDomain, Tier: tables.Tier(request.Tier), RunningRequests: inFlight,
		TotalDuration: attempt.EndedAt.Sub(attempt.SentAt), PromptTokens: target.PromptTokens(request.Prompt),
		OutputTokens: request.MaxTokens, Failure: failureKind(attempt.Verdict),
	}
	observation.Failed = observation.Failure != evidence.FailureNone
	if !attempt.FirstTokenAt.IsZero() {
		observation.TimeToFirstToken = attempt.FirstTokenAt.Sub(attempt.SentAt)
	}
	return observation
}

func failureKind(verdict load.Verdict) evidence.FailureKind {
	switch verdict {
	case load.VerdictComplete:
		return evidence.FailureNone
	case load.VerdictTruncated:
		return evidence.FailureIncompleteStream
	case load.VerdictConnectionLost:
		return evidence.FailureConnectionLost
	default:
		return evidence.FailureBadResponse
	}
}

// defectiveResponses counts the answers on which the badness showed.
func (tb *moveTestbed) defectiveResponses() int {
	count := 0
	for _, engine := range tb.engines {
		count += engine.BadRuns()
	}
	return count
}

// isRolledBack reports whether any mover has taken the new version back.
func (tb *moveTestbed) isRolledBack() bool {
	for _, selector := range tb.selectors {
		if !selector.Usable(enginePoolName, newVersion) {
			return true
		}
	}
	return false
}

// setPoolFault begins or ends the kind's trouble.
func (tb *moveTestbed) setPoolFault(active bool) {
	speed := 1.0
	if active {
		speed = poolFaultSpeed
	}
	switch tb.scenario.poolFault {
	case poolFaultSlowPool:
		for _, engine := range tb.engines {
			engine.SetSpeed(speed)
		}
	case poolFaultSlowDomain:
		for _, engine := range tb.engines {
			if engine.tableEntry.FailureDomain == failureDomains[0] {
				engine.SetSpeed(speed)
			}
		}
	case poolFaultTableDown:
		tb.tableDown.Store(active)
	}
}
