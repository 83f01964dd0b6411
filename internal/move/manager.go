// Package move replaces the versions of a pool's targets by the operator's
// deadline, or takes a bad version back.
//
// A move starts when an accepted configuration changes a pool's version and
// gives a deadline. Its agreed state is one row of the table service. The
// analyzer of the pool, chosen by rendezvous hashing among the live instances,
// carries the row on with compare-and-swap:
//
//	pending -> loading -> stages -> watch -> done
//	    any of these  -> taken back
//
// Any instance can be the analyzer: the row holds all that is agreed, and the
// evidence is cumulative at the entries. Two analyzers at once are harmless, since
// only one compare-and-swap of a row version succeeds.
//
// Every instance counts its own requests and reports to the analyzer and to its
// successor about once a second. The analyzer answers with the row. An entry that
// hears no analyzer keeps the last share it heard and never raises it.
//
// Invariants:
//   - the share rises only by a write to the row, so never while the table
//     service is down;
//   - taking back needs no store: any instance with enough evidence stops
//     sending, spreads a rumour, and the row follows;
//   - a version taken back stays so until a higher configuration names it
//     again with another deadline;
//   - the old version is kept warm with a small share until the watch ends,
//     and that share is the control group;
//   - a non-idempotent route moves last.
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

// Options are the parts that a Manager works with; all are required.
type Options struct {
	Viewer membership.Viewer
	Bus    peer.Bus
	Rumors membership.Rumors
	Table  platform.TableService
	// Config returns the accepted configuration; nil before the first.
	Config func() *tables.Tables
	// UsableTargets returns the usable targets of a pool.
	UsableTargets func(pool string) []tables.Target
	Clock         clockwork.Clock
	Rand          *rand.Rand
	Logger        *zap.Logger
}

// Manager takes part in all moves of the deployment.
type Manager struct {
	options Options
	// splits is replaced as a whole; the request path reads it without locks.
	splits atomic.Pointer[map[string]*trafficSplit]
	// wake asks for an early look at the local evidence.
	wake chan struct{}
	// historicalControl is set by measurements only; see evidence.Options.
	historicalControl bool

	// mu guards pools and what they hold; it is not taken on the request path.
	mu    sync.Mutex
	pools map[string]*poolState
	// lastScan is when the rows were last read.
	lastScan time.Time
	// tableUnavailable is set while the table service does not answer.
	tableUnavailable bool
}

// poolState is an instance's state of one poolState; Manager.mu guards it.
type poolState struct {
	name   string
	stored storedRow
	// rowLoaded is set once the row was read or is rowLoaded to be absent.
	rowLoaded bool
	// outcomeUnknown is set when a write's outcome is unknown.
	outcomeUnknown bool
	rollbacks      map[string]Rollback
	// moveID names the moveID that ledger and analyzers belong to.
	moveID        moveID
	counters      *evidence.CounterSet
	localAnalyzer *evidence.Analyzer
	sequence      uint64
	lastReport    time.Time
	// nextReport is when the budget for reports allows the next one.
	nextReport time.Time
	// lastFullReport is when all counters were last reported, analyzers to whom.
	lastFullReport time.Time
	reportedTo     []membership.Member
	analysis       *analyzerState
	// summary is the last summary from the analyzer.
	summary EvidenceSummary
}

// moveID tells the moves of a pool apart.
type moveID struct {
	newVersion    string
	configVersion uint64
}

// New returns a Manager and registers its handlers; call Run to start it.
func New(options Options) *Manager {
	m := &Manager{options: options, pools: make(map[string]*poolState), wake: make(chan struct{}, 1)}
	m.splits.Store(&map[string]*trafficSplit{})
	options.Bus.HandleDatagram(peer.KindCounter, m.handleDatagram)
	options.Rumors.Subscribe(membership.RumorTakenBack, m.handleRollbackRumor)
	return m
}

// Pick returns the version for one request; u is a random number in [0,1).
// An empty version means any usable one.
func (m *Manager) Pick(pool, _ string, tier tables.Tier, idempotent bool, random float64) string {
	split := (*m.splits.Load())[pool]
	if split == nil {
		return m.versionWithoutSplit(pool)
	}
	return split.pick(classOf(tier, idempotent), random)
}

// versionWithoutSplit returns the version for a pool that has no plan yet: without it, a
// version that is to be moved to would get its full share until the first plan.
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

// Refresh takes a changed configuration into account at once.
func (m *Manager) Refresh() { m.tick() }

// Usable tells whether a version of a pool may be sent to; it is false for
// versions taken back.
func (m *Manager) Usable(pool, version string) bool {
	split := (*m.splits.Load())[pool]
	return split == nil || !split.rolledBack[version]
}

// Observe counts the outcome of a request.
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
	// tickPeriod is how often plans and local evidence are looked at.
	tickPeriod = 250 * time.Millisecond
	// tablePeriod is how often the analyzer looks at its rows.
	tablePeriod = time.Second
	// tableTimeout bounds one call to the table service.
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
