package move

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// scanPeriod is the interval at which all rows are read, in addition to the
	// analyzers' responses.
	scanPeriod = 10 * time.Second
	// maxRows limits the number of pools of a deployment.
	maxRows = 1000
)

// tableTick reads the rows when due and advances the moves that this instance is
// the analyzer of.
func (m *Manager) tableTick(ctx context.Context) {
	if err := m.scanRows(ctx); err != nil {
		m.recordTableResult(err)
		return
	}
	for _, update := range m.pendingUpdates() {
		if err := m.commitUpdate(ctx, update); err != nil {
			m.recordTableResult(err)
			return
		}
	}
}

// recordTableResult records whether the table service responds, and logs when
// that changes; a nil error means that it does.
func (m *Manager) recordTableResult(err error) {
	m.mu.Lock()
	changed := m.tableUnavailable != (err != nil)
	m.tableUnavailable = err != nil
	m.mu.Unlock()
	if changed && err != nil {
		m.options.Logger.Warn("table service unavailable, moves hold their share", zap.Error(err))
	}
	if changed && err == nil {
		m.options.Logger.Info("table service available again")
	}
}

// scanRows reads all rows when due.
func (m *Manager) scanRows(ctx context.Context) error {
	now := m.options.Clock.Now()
	m.mu.Lock()
	due := now.Sub(m.lastScan) >= scanPeriod || m.tableUnavailable || m.scanNeededLocked()
	m.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := m.options.Table.Scan(ctx, movesTable, "", maxRows)
	if err != nil {
		return fault.At(fault.StepAdvance, movesTable, err)
	}
	m.recordTableResult(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastScan = now
	for _, row := range rows {
		found, err := decodeRow(row)
		if err != nil {
			return fault.At(fault.StepAdvance, row.ID, err)
		}
		m.poolStateFor(row.ID).adoptRow(found)
	}
	for _, p := range m.pools {
		p.rowLoaded, p.outcomeUnknown = true, false
	}
	return nil
}

// scanNeededLocked reports whether a row is not loaded or may be out of date.
func (m *Manager) scanNeededLocked() bool {
	for _, p := range m.pools {
		if p.outcomeUnknown || !p.rowLoaded {
			return true
		}
	}
	return false
}

// rowUpdate is a pending write to a row.
type rowUpdate struct {
	pool   *poolState
	before storedRow
	after  Row
}

// pendingUpdates returns the updates for the pools that this instance is the
// analyzer of.
func (m *Manager) pendingUpdates() []rowUpdate {
	config := m.options.Config()
	if config == nil {
		return nil
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var updates []rowUpdate
	for i := range config.Pools {
		poolConfig := &config.Pools[i]
		p := m.poolStateFor(poolConfig.Name)
		if !p.rowLoaded || m.analyzersOf(poolConfig.Name)[0].Name != m.options.Viewer.View().Self.Name {
			continue
		}
		in := m.inputFor(p, poolConfig, config.Version, now)
		after := nextRow(p.stored.Row, p.stored.Version != 0, in)
		if p.stored.Version == 0 || !reflect.DeepEqual(after, p.stored.Row) {
			updates = append(updates, rowUpdate{p, p.stored, after})
		}
	}
	return updates
}

func (m *Manager) inputFor(p *poolState, poolConfig *tables.Pool, configVersion uint64, now time.Time) *transitionInput {
	in := &transitionInput{
		now: now, configVersion: configVersion, poolConfig: poolConfig, usableTargets: m.options.UsableTargets(poolConfig.Name),
		rollback: p.activeRollback(poolConfig.Version, poolConfig, configVersion),
	}
	if p.counters == nil {
		return in
	}
	analysis := m.analysisFor(p, now)
	in.verdict = analysis.analyzer.Verdict(now)
	in.concurrency = analysis.analyzer.PeakConcurrency()
	if analysis.stage == p.stored.Row.Stage {
		in.stageRequests = in.verdict.Totals.NewRequests - analysis.requestsBeforeStage
	}
	return in
}

// commitUpdate writes a row unless another instance has written it since.
func (m *Manager) commitUpdate(ctx context.Context, u rowUpdate) error {
	value, err := json.Marshal(&u.after)
	if err != nil {
		return fault.At(fault.StepAdvance, u.after.Pool, err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = m.options.Table.Commit(ctx, []platform.Write{
		{Key: rowKey(u.after.Pool), ExpectedVersion: u.before.Version, Value: value},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.logTransition(&u)
		u.pool.adoptRow(storedRow{u.after, u.before.Version + 1})
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		return m.adoptConflicting(&u, conflict.Rows[0])
	default:
		u.pool.outcomeUnknown = true
		return fault.At(fault.StepAdvance, u.after.Pool, err)
	}
}

// adoptConflicting adopts the row that another instance has written.
func (m *Manager) adoptConflicting(u *rowUpdate, row platform.Row) error {
	if row.Version == 0 {
		return nil
	}
	found, err := decodeRow(row)
	if err != nil {
		return fault.At(fault.StepAdvance, u.after.Pool, err)
	}
	u.pool.adoptRow(found)
	return nil
}

func (m *Manager) logTransition(u *rowUpdate) {
	before, after := &u.before.Row, &u.after
	if before.State == after.State && before.Stage == after.Stage && before.NewVersion == after.NewVersion {
		return
	}
	m.options.Logger.Info("move",
		zap.String("pool", after.Pool), zap.String("version", after.NewVersion),
		zap.String("state", string(after.State)), zap.Float64("share", after.Share),
		zap.String("reason", after.Reason))
}

// splitSubject splits "pool/version" at the first slash. Pool names contain none.
func splitSubject(subject string) (pool, version string, ok bool) {
	return strings.Cut(subject, "/")
}
