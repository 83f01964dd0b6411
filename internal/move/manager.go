// Package move runs the canary release of a new version to a pool's targets, a
// "move": it shifts the pool's requests to the new version in stages, by the
// operator's deadline, or rolls the version back.
//
// Package evidence holds the counters and the tests that compare the versions;
// this package exchanges the counters between instances, runs the tests and acts
// on the results. Package rollout is the counterpart for services: it follows the
// orders of operators instead of a pool's configuration, with one fixed canary
// share and a comparison by fixed thresholds.
//
// A Manager takes part in all moves of the deployment. Its request path reads a
// trafficSplit for each pool; a Row is the agreed state of a move, and a Status
// shows it to operators.
//
// A move starts when an accepted configuration changes a pool's version and
// gives a deadline. Its agreed state is one row of the table service. The
// analyzer of the pool, chosen by rendezvous hashing among the live instances,
// advances the row with compare-and-swap:
//
//	Pending -> Loading -> Ramping -> Soaking -> Done
//	    any of these  -> RolledBack
//
// Any instance can become the analyzer: the row holds all agreed state, and the
// instances' counters are cumulative. Two analyzers at once are harmless, since
// only one compare-and-swap of a row version succeeds.
//
// Every instance counts its own requests and sends reports to the analyzer and
// to its successor about once a second. The response holds the row. An instance
// that receives no response and cannot read the table keeps its last share and
// never raises it.
//
// Invariants:
//   - the share increases only by a write to the row, so never while the table
//     service is unavailable;
//   - a rollback needs no table service: any instance with enough evidence stops
//     sending requests to the version and publishes a rumor, and the row is
//     updated later;
//   - a version that was rolled back stays so until a newer configuration names
//     it again with another deadline;
//   - the old version stays warm with a small share until the Soaking state ends,
//     and that share is the control group;
//   - non-idempotent routes move last.
package move

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Options are the dependencies of a Manager; all are required.
type Options struct {
	Viewer membership.Viewer
	Bus    peer.Bus
	Rumors membership.Rumors
	Table  platform.TableService
	// Config returns the accepted configuration; nil before the first one.
	Config func() *tables.Tables
	// UsableTargets returns the usable targets of a pool.
	UsableTargets func(pool string) []tables.Target
	Clock         clockwork.Clock
	Rand          *rand.Rand
	Logger        *zap.Logger
}

// Manager runs an instance's part in all moves of the deployment.
type Manager struct {
	options Options
	// splits is replaced as a whole, so that the request path reads it without a
	// lock.
	splits atomic.Pointer[map[string]*trafficSplit]
	// wake triggers the next tick early.
	wake chan struct{}
	// historicalControl is set by measurements only; see evidence.Options.
	historicalControl bool

	// mu guards pools, their contents and the fields below. The request path does
	// not take it.
	mu    sync.Mutex
	pools map[string]*poolState
	// lastScan is the time of the last read of all rows.
	lastScan time.Time
	// tableUnavailable is set while the table service does not respond.
	tableUnavailable bool
}

// poolState is the instance's state of one pool; Manager.mu guards it.
type poolState struct {
	name   string
	stored storedRow
	// rowLoaded is set once the row has been read or is known not to exist.
	rowLoaded bool
	// outcomeUnknown is set while it is unknown whether a write to the row took
	// effect.
	outcomeUnknown bool
	rollbacks      map[string]Rollback
	// moveID is the move that the counters, the analyzers and the reports belong
	// to.
	moveID        moveID
	counters      *evidence.CounterSet
	localAnalyzer *evidence.Analyzer
	sequence      uint64
	lastReport    time.Time
	// nextReport is the time from which the byte rate limit allows a report.
	nextReport time.Time
	// lastFullReport is the time of the last report with all counters, and
	// reportedTo are the instances that it was sent to.
	lastFullReport time.Time
	reportedTo     []membership.Member
	analysis       *analyzerState
	// summary is the latest summary from the analyzer.
	summary EvidenceSummary
}

// moveID identifies a move of a pool.
type moveID struct {
	newVersion    string
	configVersion uint64
}

// New returns a Manager and registers its handlers; call Run to start it.
func New(options Options) *Manager {
	m := &Manager{options: options, pools: make(map[string]*poolState), wake: make(chan struct{}, 1)}
	m.splits.Store(&map[string]*trafficSplit{})
	options.Bus.HandleDatagram(peer.KindCounter, m.handleDatagram)
	options.Rumors.Subscribe(membership.RumorRollback, m.handleRollbackRumor)
	return m
}

// Pick returns the version for one request; random is uniform in [0,1). An empty
// version means any usable one.
func (m *Manager) Pick(pool, _ string, tier tables.Tier, idempotent bool, random float64) string {
	split := (*m.splits.Load())[pool]
	if split == nil {
		return m.versionWithoutSplit(pool)
	}
	return split.pick(classOf(tier, idempotent), random)
}

// versionWithoutSplit returns the version for a pool that has no traffic split
// yet. It prefers the old version of a pool that is to move, since the new one
// would otherwise get its normal share of requests until the first tick.
func (m *Manager) versionWithoutSplit(pool string) string {
	config := m.options.Config()
	if config == nil {
		return ""
	}
	poolConfig := config.Pool(pool)
	if poolConfig == nil {
		return ""
	}
	previous := mostCommonOtherVersion(poolConfig, m.options.UsableTargets(pool))
	switch {
	case !poolConfig.Deadline.IsZero() && previous != "" && m.hasUsableTarget(pool, previous):
		return previous
	case m.hasUsableTarget(pool, poolConfig.Version):
		return poolConfig.Version
	default:
		return ""
	}
}

// Refresh applies a changed configuration immediately.
func (m *Manager) Refresh() { m.tick() }

// Usable reports whether requests may be sent to a version of a pool. It is
// false for versions that were rolled back.
func (m *Manager) Usable(pool, version string) bool {
	split := (*m.splits.Load())[pool]
	return split == nil || !split.rolledBack[version]
}

// Observe counts the outcome of a request. Failures of the new version trigger
// an early tick.
func (m *Manager) Observe(o evidence.Observation) {
	split := (*m.splits.Load())[o.Pool]
	if split == nil || !split.counting || o.Version != split.countedVersions[0] && o.Version != split.countedVersions[1] {
		return
	}
	split.counters.Add(&o, m.options.Clock.Now())
	if o.Failed && o.Version == split.countedVersions[1] {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

const (
	// tickPeriod is the interval at which the traffic splits and the local
	// evidence are updated.
	tickPeriod = 250 * time.Millisecond
	// tablePeriod is the interval at which the analyzer advances its rows.
	tablePeriod = time.Second
	// tableTimeout limits one call to the table service.
	tableTimeout = 3 * time.Second
)

// Run takes part in moves until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { m.runTicks(ctx) })
	tasks.Go(func() { m.runTable(ctx) })
	tasks.Wait()
}

func (m *Manager) runTicks(ctx context.Context) {
	ticker := m.options.Clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		m.tick()
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-ticker.Chan():
		}
	}
}

func (m *Manager) runTable(ctx context.Context) {
	ticker := m.options.Clock.NewTicker(tablePeriod)
	defer ticker.Stop()
	for {
		m.tableTick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}
