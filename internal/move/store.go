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
	// scanPeriod is how often all rows are read, besides the analyzers' answers.
	scanPeriod = 10 * time.Second
	// maxRows bounds the pools of a deployment.
	maxRows = 1000
)

// tableTick reads the rows now and then and carries the moves on that this
// instance is the analyzer of.
func (m *Manager) tableTick(ctx context.Context) {
	if err := m.scan(ctx); err != nil {
		m.noteOutage(err)
		return
	}
	for _, job := range m.jobs() {
		if err := m.carryOn(ctx, job); err != nil {
			m.noteOutage(err)
			return
		}
	}
}

// noteOutage logs the change between reachable and not; nil means reachable.
func (m *Manager) noteOutage(err error) {
	m.mu.Lock()
	changed := m.outage != (err != nil)
	m.outage = err != nil
	m.mu.Unlock()
	if changed && err != nil {
		m.options.Logger.Warn("moves hold their share: the table service does not answer", zap.Error(err))
	}
	if changed && err == nil {
		m.options.Logger.Info("the table service answers again")
	}
}

// scan reads all rows when it is time.
func (m *Manager) scan(ctx context.Context) error {
	now := m.options.Clock.Now()
	m.mu.Lock()
	due := now.Sub(m.scanned) >= scanPeriod || m.outage || m.staleLocked()
	m.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := m.options.Table.Scan(ctx, table, "", maxRows)
	if err != nil {
		return fault.At(fault.StepAdvance, table, err)
	}
	m.noteOutage(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scanned = now
	for _, row := range rows {
		found, err := decodeRow(row)
		if err != nil {
			return fault.At(fault.StepAdvance, row.ID, err)
		}
		m.pool(row.ID).adopt(found)
	}
	for _, p := range m.pools {
		p.known, p.stale = true, false
	}
	return nil
}

func (m *Manager) staleLocked() bool {
	for _, p := range m.pools {
		if p.stale || !p.known {
			return true
		}
	}
	return false
}

// job is a row's next step.
type job struct {
	pool   *pool
	before kept
	after  Row
}

// jobs returns the steps to take in the pools whose analyzer this instance is.
func (m *Manager) jobs() []job {
	config := m.options.Config()
	if config == nil {
		return nil
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []job
	for i := range config.Pools {
		named := &config.Pools[i]
		p := m.pool(named.Name)
		if !p.known || m.analyzers(named.Name)[0].Name != m.options.Viewer.View().Self.Name {
			continue
		}
		in := m.input(p, named, config.Version, now)
		after := next(p.kept.Row, p.kept.Version != 0, in)
		if p.kept.Version == 0 || !reflect.DeepEqual(after, p.kept.Row) {
			jobs = append(jobs, job{p, p.kept, after})
		}
	}
	return jobs
}

func (m *Manager) input(p *pool, named *tables.Pool, config uint64, now time.Time) *input {
	in := &input{
		now: now, config: config, pool: named, targets: m.options.UsableTargets(named.Name),
		mark: p.standing(named.Version, named, config),
	}
	if p.ledger == nil {
		return in
	}
	s := m.sit(p, now)
	in.verdict = s.analyzer.Verdict(now)
	in.concurrency = s.analyzer.PeakConcurrency()
	if s.stage == p.kept.Row.Stage {
		in.served = in.verdict.Totals.NewRequests - s.base
	}
	return in
}

// carryOn writes a row if nobody else has.
func (m *Manager) carryOn(ctx context.Context, j job) error {
	value, err := json.Marshal(&j.after)
	if err != nil {
		return fault.At(fault.StepAdvance, j.after.Pool, err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = m.options.Table.Commit(ctx, []platform.Write{
		{Key: rowKey(j.after.Pool), Expect: j.before.Version, Value: value},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.logStep(&j)
		j.pool.adopt(kept{j.after, j.before.Version + 1})
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		return m.overtaken(&j, conflict.Rows[0])
	default:
		j.pool.stale = true
		return fault.At(fault.StepAdvance, j.after.Pool, err)
	}
}

// overtaken adopts the row that another analyzer has written.
func (m *Manager) overtaken(j *job, row platform.Row) error {
	if row.Version == 0 {
		return nil
	}
	found, err := decodeRow(row)
	if err != nil {
		return fault.At(fault.StepAdvance, j.after.Pool, err)
	}
	j.pool.adopt(found)
	return nil
}

func (m *Manager) logStep(j *job) {
	before, after := &j.before.Row, &j.after
	if before.State == after.State && before.Stage == after.Stage && before.NewVersion == after.NewVersion {
		return
	}
	m.options.Logger.Info("move",
		zap.String("pool", after.Pool), zap.String("version", after.NewVersion),
		zap.String("state", string(after.State)), zap.Float64("share", after.Share),
		zap.String("reason", after.Reason))
}

// cutSubject splits "pool/version" at the first slash; pool names have none.
func cutSubject(subject string) (pool, version string, ok bool) {
	return strings.Cut(subject, "/")
}
