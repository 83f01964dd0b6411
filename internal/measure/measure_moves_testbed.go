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

// Versions before and after a move.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// chatPath and textPath are the paths and names of the two routes of the load.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// versionSelector selects the version that a request is sent to; *move.Manager
// implements it.
type versionSelector interface {
	Pick(pool, route string, tier tables.Tier, idempotent bool, u float64) string
	Usable(pool, version string) bool
	Observe(o evidence.Observation)
	Status() []move.Status
}

// moveEngine is a stand-in engine with the number of requests that the load generator
// has in flight there.
type moveEngine struct {
	*target.Engine
	tableEntry tables.Target
	inFlight   atomic.Int64
}

// moveTestbed runs one move: engines of both versions, the version selectors and the
// load generator.
type moveTestbed struct {
	scenario  moveScenario
	clock     clockwork.Clock
	engines   []*moveEngine
	table     *platform.Memory
	selectors []versionSelector
	generator *load.Generator

	config        atomic.Pointer[tables.Tables]
	tableDown     atomic.Bool
	defectShownAt atomic.Int64 // Unix nanoseconds of the real clock, 0 until then
	lateRequests  atomic.Int64 // to the defective version, later than defectShownGrace after that
}

// Size of a move's pool, and when a defect counts as shown.
const (
	enginesPerVersion    = 3
	managerCount         = 3
	moveEngineSlots      = 16
	moveTokenTime        = 8 * time.Millisecond
	movePrefillPerSecond = 5e4 // tokens
	moveRequestTimeout   = 10 * time.Second
	defectShownResponses = 50 // defective responses after which the defect is obvious
	defectShownGrace     = time.Second
)

func newMoveTestbed(scenario moveScenario, seed uint64, clock clockwork.Clock) (*moveTestbed, error) {
	tb := &moveTestbed{scenario: scenario, clock: clock, table: platform.NewMemory()}
	tb.table.InjectFault = func(context.Context, string) error {
		if tb.tableDown.Load() {
			return platform.ErrUnavailable
		}
		return nil
	}
	for i := range 2 * enginesPerVersion {
		version := []string{oldVersion, newVersion}[i/enginesPerVersion]
		engine := target.NewEngine(target.EngineOptions{
			Name: engineName(i), Version: version, Slots: moveEngineSlots, DecodeTimePerToken: moveTokenTime,
			PrefillTokensPerSecond: movePrefillPerSecond, Seed: seed + uint64(i),
			VersionFaults: map[string]target.VersionFault{newVersion: scenario.defect},
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

// setTables sets the configuration to one whose pool has the given version and
// deadline.
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

// startManagers starts the system's move managers as version selectors. They run
// until ctx ends.
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
			Viewer: membership.NewStaticViewer(self, others...), Bus: bus, Rumors: localRumors, Table: tb.table,
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
	membership.ConnectLocalRumors(rumors...)
	return nil
}

func (tb *moveTestbed) usableTargets(string) []tables.Target {
	var usable []tables.Target
	for _, engine := range tb.engines {
		usable = append(usable, engine.tableEntry)
	}
	return usable
}

// send handles one request as an instance does: it selects a version, sends the
// request to the least loaded engine of that version, and reports the observation to
// the selector.
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

// countLateRequest counts a request to the new version if it is later than
// defectShownGrace after the defect had shown.
func (tb *moveTestbed) countLateRequest() {
	shownAt := tb.defectShownAt.Load()
	if shownAt != 0 && time.Now().UnixNano() > shownAt+int64(defectShownGrace) {
		tb.lateRequests.Add(1)
	}
}

// leastLoadedEngine returns the engine of a version, or of any version if it is empty,
// with the fewest requests in flight.
func (tb *moveTestbed) leastLoadedEngine(version string) *moveEngine {
	var leastLoaded *moveEngine
	for _, engine := range tb.engines {
		if version != "" && engine.tableEntry.Version != version {
			continue
		}
		if leastLoaded == nil || engine.inFlight.Load() < leastLoaded.inFlight.Load() {
			leastLoaded = engine
		}
	}
	return leastLoaded
}

// newObservation returns the observation that an instance would make of an attempt.
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

// defectiveResponses returns the number of responses that the defect affected.
func (tb *moveTestbed) defectiveResponses() int {
	count := 0
	for _, engine := range tb.engines {
		count += engine.FaultyRunCount()
	}
	return count
}

// isRolledBack reports whether any selector has rolled the new version back.
func (tb *moveTestbed) isRolledBack() bool {
	for _, selector := range tb.selectors {
		if !selector.Usable(enginePoolName, newVersion) {
			return true
		}
	}
	return false
}

// setPoolFault starts or ends the scenario's pool fault.
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
