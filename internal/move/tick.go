package move

import (
	"math"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Error rates: the probability that a version no worse than the old one is
// taken back during a move.
const (
	// analyzerAlpha is that of each of the two analyzers that keep evidence.
	analyzerAlpha = 0.00025
	// localAlpha is that of all entries' own evidence together.
	localAlpha = 0.0005
)

// tick follows the configuration, looks at the local evidence, reports to the
// analyzer and replaces the plans.
func (m *Manager) tick() {
	config := m.options.Config()
	if config == nil {
		return
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	var out outbox
	plans := make(map[string]*plan, len(config.Pools))
	for i := range config.Pools {
		named := &config.Pools[i]
		p := m.pool(named.Name)
		m.follow(p, now)
		m.lookLocally(p, named, config.Version, now, &out)
		m.lookAsAnalyzer(p, named, config.Version, now, &out)
		m.report(p, now, &out)
		plans[named.Name] = m.plan(p, named, config)
	}
	m.plans.Store(&plans)
	m.mu.Unlock()
	out.flush(m)
}

func (m *Manager) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{name: name, marks: make(map[string]Rollback)}
		m.pools[name] = p
	}
	return p
}

// follow starts counting when a move starts and stops when it has ended.
func (m *Manager) follow(p *pool, now time.Time) {
	row := &p.kept.Row
	for _, mark := range row.Rollbacks {
		p.learn(mark)
	}
	if p.kept.Version == 0 || row.State.final() {
		p.stopCounting()
		return
	}
	id := moveID{row.NewVersion, row.ConfigVersion}
	if p.ledger != nil && p.move == id {
		return
	}
	p.move, p.ledger = id, &evidence.CounterSet{}
	p.seat, p.heard, p.analyzers = nil, EvidenceSummary{}, nil
	members := float64(len(m.options.Viewer.View().Members))
	p.local = evidence.NewAnalyzer(evidence.Options{
		OldVersion: row.OldVersion, NewVersion: row.NewVersion, Alpha: localAlpha / members, PlannedDuration: row.Deadline.Sub(now),
		HistoricalControl: m.noControl,
	}, now)
	p.local.InitBaseline(m.self())
}

func (p *pool) stopCounting() {
	p.ledger, p.local, p.seat = nil, nil, nil
	p.move = moveID{}
}

// learn keeps the mark of the higher rank for each version.
func (p *pool) learn(mark Rollback) bool {
	if known, ok := p.marks[mark.Version]; ok && known.ConfigVersion >= mark.ConfigVersion {
		return false
	}
	p.marks[mark.Version] = mark
	return true
}

// standing returns the mark that holds for a version.
func (p *pool) standing(version string, named *tables.Pool, config uint64) *Rollback {
	mark, ok := p.marks[version]
	if !ok || mark.lifted(config, named) {
		return nil
	}
	return &mark
}

func (m *Manager) self() evidence.InstanceID {
	self := m.options.Viewer.View().Self
	return evidence.InstanceID{Name: self.Name, Incarnation: self.Incarnation}
}

// lookLocally takes the version back when this instance's own requests show
// that it is bad.
func (m *Manager) lookLocally(p *pool, named *tables.Pool, config uint64, now time.Time, out *outbox) {
	if p.local == nil {
		return
	}
	p.local.AddRecords(m.self(), p.ledger.ReadChanged(now), true, now)
	p.local.Tick(now)
	verdict := p.local.Verdict(now)
	if verdict.Finding == evidence.Regressed {
		m.takeBack(p, named, config, "seen by one entry: "+verdict.Reason, out)
	}
}

// takeBack stops sending to the version under move and tells the others.
func (m *Manager) takeBack(p *pool, named *tables.Pool, config uint64, reason string, out *outbox) {
	version := p.kept.Row.NewVersion
	if named.Version != version || p.standing(version, named, config) != nil {
		return
	}
	reason = reason[:min(len(reason), maxReason)]
	mark := Rollback{Version: version, ConfigVersion: config, DeadlineMillis: named.Deadline.UnixMilli(), Reason: reason}
	if p.learn(mark) {
		out.marks = append(out.marks, pooledMark{p.name, mark})
	}
}

// plan builds the immutable plan of a pool.
func (m *Manager) plan(p *pool, named *tables.Pool, config *tables.Tables) *plan {
	built := &plan{back: make(map[string]bool), ledger: p.ledger}
	for version := range p.marks {
		if p.standing(version, named, config.Version) != nil {
			built.back[version] = true
		}
	}
	old, fresh, share := m.serving(p, named, config)
	targets := m.options.UsableTargets(p.name)
	if _, count := capacity(targets, fresh); count > 0 && !built.back[fresh] {
		built.fresh = fresh
	}
	if _, count := capacity(targets, old); count > 0 && !built.back[old] {
		built.old = old
	}
	built.shares = share
	row := &p.kept.Row
	built.under = p.ledger != nil
	built.counted = [2]string{row.OldVersion, row.NewVersion}
	return built
}

// serving returns the versions to serve and the shares of the second.
func (m *Manager) serving(p *pool, named *tables.Pool, config *tables.Tables) (old, fresh string, shares [classCount]float64) {
	row := &p.kept.Row
	if p.kept.Version == 0 || row.NewVersion != named.Version && config.Version > row.ConfigVersion {
		return m.unfollowed(p, named)
	}
	switch row.State {
	case Done:
		return "", row.NewVersion, shares
	case Ramping, Soaking:
		return row.OldVersion, row.NewVersion, sharesOf(row, present(config.Routes, p.name))
	default:
		// The new version serves only when nothing else is left.
		if row.State != RolledBack && !m.serves(p.name, row.OldVersion) {
			return "", row.NewVersion, shares
		}
		return row.OldVersion, "", shares
	}
}

// unfollowed serves a configuration that no row follows yet: what served before,
// if the pool is to move, else what the operator names.
func (m *Manager) unfollowed(p *pool, named *tables.Pool) (old, fresh string, shares [classCount]float64) {
	before := prevailing(named, m.options.UsableTargets(p.name))
	if row := &p.kept.Row; p.kept.Version != 0 {
		before = row.OldVersion
		if row.State == Done {
			before = row.NewVersion
		}
	}
	if named.Deadline.IsZero() || before == "" || !m.serves(p.name, before) {
		return "", named.Version, shares
	}
	return before, "", shares
}

func (m *Manager) serves(pool, version string) bool {
	_, count := capacity(m.options.UsableTargets(pool), version)
	return count > 0
}

func (m *Manager) analyzers(pool string) []membership.Member {
	ranked := membership.Ranked(m.options.Viewer.View(), "pool/"+pool)
	return ranked[:min(len(ranked), analyzerSeats)]
}

// analyzerSeats is how many instances keep evidence: the analyzer and its successor.
const analyzerSeats = 2

// takeBackAt is the logarithm of the evidence at which an analyzer takes back.
var takeBackAt = -math.Log(analyzerAlpha)
