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
	// plans is replaced as a whole; the request path reads it without locks.
	plans atomic.Pointer[map[string]*plan]
	// kick asks for an early look at the local evidence.
	kick chan struct{}
	// noControl is set by measurements only; see evidence.Options.
	noControl bool

	// mu guards pools and what they hold; it is not taken on the request path.
	mu    sync.Mutex
	pools map[string]*pool
	// scanned is when the rows were last read.
	scanned time.Time
	// outage is set while the table service does not answer.
	outage bool
}

// pool is an instance's state of one pool; Manager.mu guards it.
type pool struct {
	name string
	kept kept
	// known is set once the row was read or is known to be absent.
	known bool
	// stale is set when a write's outcome is unknown.
	stale bool
	marks map[string]Rollback
	// move names the move that ledger and analyzers belong to.
	move     moveID
	ledger   *evidence.CounterSet
	local    *evidence.Analyzer
	sequence uint64
	reported time.Time
	// room is when the budget for reports allows the next one.
	room time.Time
	// full is when all counters were last reported, analyzers to whom.
	full      time.Time
	analyzers []membership.Member
	seat      *seat
	// heard is the last summary from the analyzer.
	heard EvidenceSummary
}

// moveID tells the moves of a pool apart.
type moveID struct {
	fresh string
	rank  uint64
}

// New returns a Manager and registers its handlers; call Run to start it.
func New(options Options) *Manager {
	m := &Manager{options: options, pools: make(map[string]*pool), kick: make(chan struct{}, 1)}
	m.plans.Store(&map[string]*plan{})
	options.Bus.HandleDatagram(peer.KindCounter, m.datagram)
	options.Rumors.Subscribe(membership.RumorTakenBack, m.rumor)
	return m
}

// Pick returns the version for one request; u is a random number in [0,1).
// An empty version means any usable one.
func (m *Manager) Pick(pool, _ string, tier tables.Tier, idempotent bool, u float64) string {
	p := (*m.plans.Load())[pool]
	if p == nil {
		return m.unplanned(pool)
	}
	return p.pick(classOf(tier, idempotent), u)
}

// unplanned returns the version for a pool that has no plan yet: without it, a
// version that is to be moved to would get its full share until the first plan.
func (m *Manager) unplanned(name string) string {
	config := m.options.Config()
	if config == nil {
		return ""
	}
	named := config.Pool(name)
	if named == nil {
		return ""
	}
	before := prevailing(named, m.options.UsableTargets(name))
	switch {
	case !named.Deadline.IsZero() && before != "" && m.serves(name, before):
		return before
	case m.serves(name, named.Version):
		return named.Version
	default:
		return ""
	}
}

// Refresh takes a changed configuration into account at once.
func (m *Manager) Refresh() { m.tick() }

// Usable tells whether a version of a pool may be sent to; it is false for
// versions taken back.
func (m *Manager) Usable(pool, version string) bool {
	p := (*m.plans.Load())[pool]
	return p == nil || !p.back[version]
}

// Observe counts the outcome of a request.
func (m *Manager) Observe(o evidence.Observation) {
	p := (*m.plans.Load())[o.Pool]
	if p == nil || !p.under || o.Version != p.counted[0] && o.Version != p.counted[1] {
		return
	}
	p.ledger.Add(&o, m.options.Clock.Now())
	if o.Failed && o.Version == p.counted[1] {
		select {
		case m.kick <- struct{}{}:
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
		case <-m.kick:
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
