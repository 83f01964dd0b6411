package move

import (
	"math"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Error rates: the probability that a version no worse than the old one is
// rolled back during a move.
const (
	// analyzerAlpha is the error rate of each of the two instances that test the
	// evidence of all instances.
	analyzerAlpha = 0.00025
	// localAlpha is the error rate of all instances' local tests together.
	localAlpha = 0.0005
)

// tick applies the configuration, evaluates the evidence, sends the reports and
// replaces the traffic splits.
func (m *Manager) tick() {
	config := m.options.Config()
	if config == nil {
		return
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	var out outbox
	splits := make(map[string]*trafficSplit, len(config.Pools))
	for i := range config.Pools {
		poolConfig := &config.Pools[i]
		p := m.poolStateFor(poolConfig.Name)
		m.syncWithRow(p, now)
		m.evaluateLocally(p, poolConfig, config.Version, now, &out)
		m.evaluateAsAnalyzer(p, poolConfig, config.Version, now, &out)
		m.sendReport(p, now, &out)
		splits[poolConfig.Name] = m.splitFor(p, poolConfig, config)
	}
	m.splits.Store(&splits)
	m.mu.Unlock()
	out.flush(m)
}

func (m *Manager) poolStateFor(name string) *poolState {
	p := m.pools[name]
	if p == nil {
		p = &poolState{name: name, rollbacks: make(map[string]Rollback)}
		m.pools[name] = p
	}
	return p
}

// syncWithRow starts counting when a move starts and stops when it has ended.
func (m *Manager) syncWithRow(p *poolState, now time.Time) {
	row := &p.stored.Row
	for _, rollback := range row.Rollbacks {
		p.addRollback(rollback)
	}
	if p.stored.Version == 0 || row.State.isFinal() {
		p.stopCounting()
		return
	}
	id := moveID{row.NewVersion, row.ConfigVersion}
	if p.counters != nil && p.moveID == id {
		return
	}
	p.moveID, p.counters = id, &evidence.CounterSet{}
	p.analysis, p.summary, p.reportedTo = nil, EvidenceSummary{}, nil
	members := float64(len(m.options.Viewer.View().Members))
	p.localAnalyzer = evidence.NewAnalyzer(evidence.Options{
		OldVersion: row.OldVersion, NewVersion: row.NewVersion, Alpha: localAlpha / members, PlannedDuration: row.Deadline.Sub(now),
		HistoricalControl: m.historicalControl,
	}, now)
	p.localAnalyzer.InitBaseline(m.self())
}

func (p *poolState) stopCounting() {
	p.counters, p.localAnalyzer, p.analysis = nil, nil, nil
	p.moveID = moveID{}
}

// addRollback keeps the rollback with the highest configuration version for each
// version. It reports whether the rollback was added.
func (p *poolState) addRollback(rollback Rollback) bool {
	if known, ok := p.rollbacks[rollback.Version]; ok && known.ConfigVersion >= rollback.ConfigVersion {
		return false
	}
	p.rollbacks[rollback.Version] = rollback
	return true
}

// activeRollback returns the rollback in force for a version, nil when there is
// none.
func (p *poolState) activeRollback(version string, poolConfig *tables.Pool, configVersion uint64) *Rollback {
	rollback, ok := p.rollbacks[version]
	if !ok || rollback.cleared(configVersion, poolConfig) {
		return nil
	}
	return &rollback
}

func (m *Manager) self() evidence.InstanceID {
	self := m.options.Viewer.View().Self
	return evidence.InstanceID{Name: self.Name, Incarnation: self.Incarnation}
}

// evaluateLocally rolls the version back when this instance's own requests show
// a regression.
func (m *Manager) evaluateLocally(p *poolState, poolConfig *tables.Pool, configVersion uint64, now time.Time, out *outbox) {
	if p.localAnalyzer == nil {
		return
	}
	p.localAnalyzer.AddRecords(m.self(), p.counters.ReadChanged(now), true, now)
	p.localAnalyzer.Tick(now)
	verdict := p.localAnalyzer.Verdict(now)
	if verdict.Finding == evidence.Regressed {
		m.rollBack(p, poolConfig, configVersion, "seen by one entry: "+verdict.Reason, out)
	}
}

// rollBack records and publishes a rollback of the move's new version, unless it
// is rolled back already or no longer configured.
func (m *Manager) rollBack(p *poolState, poolConfig *tables.Pool, configVersion uint64, reason string, out *outbox) {
	version := p.stored.Row.NewVersion
	if poolConfig.Version != version || p.activeRollback(version, poolConfig, configVersion) != nil {
		return
	}
	reason = reason[:min(len(reason), maxReasonBytes)]
	rollback := Rollback{Version: version, ConfigVersion: configVersion, DeadlineMillis: poolConfig.Deadline.UnixMilli(), Reason: reason}
	if p.addRollback(rollback) {
		out.rollbacks = append(out.rollbacks, poolRollback{p.name, rollback})
	}
}

// splitFor builds the traffic split of a pool.
func (m *Manager) splitFor(p *poolState, poolConfig *tables.Pool, config *tables.Tables) *trafficSplit {
	split := &trafficSplit{rolledBack: make(map[string]bool), counters: p.counters}
	for version := range p.rollbacks {
		if p.activeRollback(version, poolConfig, config.Version) != nil {
			split.rolledBack[version] = true
		}
	}
	oldVersion, newVersion, shares := m.versionsToServe(p, poolConfig, config)
	targets := m.options.UsableTargets(p.name)
	if _, count := capacityOf(targets, newVersion); count > 0 && !split.rolledBack[newVersion] {
		split.newVersion = newVersion
	}
	if _, count := capacityOf(targets, oldVersion); count > 0 && !split.rolledBack[oldVersion] {
		split.oldVersion = oldVersion
	}
	split.shares = shares
	row := &p.stored.Row
	split.counting = p.counters != nil
	split.countedVersions = [2]string{row.OldVersion, row.NewVersion}
	return split
}

// versionsToServe returns the versions to serve and the shares of newVersion.
func (m *Manager) versionsToServe(p *poolState, poolConfig *tables.Pool, config *tables.Tables) (oldVersion, newVersion string, shares [classCount]float64) {
	row := &p.stored.Row
	if p.stored.Version == 0 || row.NewVersion != poolConfig.Version && config.Version > row.ConfigVersion {
		return m.versionsWithoutRow(p, poolConfig)
	}
	switch row.State {
	case Done:
		return "", row.NewVersion, shares
	case Ramping, Soaking:
		return row.OldVersion, row.NewVersion, sharesByClass(row, classesOf(config.Routes, p.name))
	default:
		// The new version serves only when the old one has no usable target, and
		// not after a rollback.
		if row.State != RolledBack && !m.hasUsableTarget(p.name, row.OldVersion) {
			return "", row.NewVersion, shares
		}
		return row.OldVersion, "", shares
	}
}

// versionsWithoutRow returns the version to serve for a configuration that no row
// reflects yet: the version served before if the pool is to move, else the
// configured one.
func (m *Manager) versionsWithoutRow(p *poolState, poolConfig *tables.Pool) (oldVersion, newVersion string, shares [classCount]float64) {
	previous := mostCommonOtherVersion(poolConfig, m.options.UsableTargets(p.name))
	if row := &p.stored.Row; p.stored.Version != 0 {
		previous = row.OldVersion
		if row.State == Done {
			previous = row.NewVersion
		}
	}
	if poolConfig.Deadline.IsZero() || previous == "" || !m.hasUsableTarget(p.name, previous) {
		return "", poolConfig.Version, shares
	}
	return previous, "", shares
}

func (m *Manager) hasUsableTarget(pool, version string) bool {
	_, count := capacityOf(m.options.UsableTargets(pool), version)
	return count > 0
}

// analyzersOf returns the analyzer of a pool and its successor.
func (m *Manager) analyzersOf(pool string) []membership.Member {
	ranked := membership.RankMembers(m.options.Viewer.View(), "pool/"+pool)
	return ranked[:min(len(ranked), analyzerCount)]
}

// analyzerCount is the number of instances that test the evidence of all
// instances: the analyzer and its successor.
const analyzerCount = 2

// rollbackLogEvidence is the log evidence from which an analyzer rolls back.
var rollbackLogEvidence = -math.Log(analyzerAlpha)
