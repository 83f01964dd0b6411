package move

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Status is the state of one pool's move as shown to operators.
type Status struct {
	Pool string `json:"pool"`
	// State is "under way", "done" or "taken back".
	State string `json:"state"`
	// Phase is the detailed state.
	Phase      State  `json:"phase"`
	OldVersion string `json:"old_version,omitempty"`
	NewVersion string `json:"new_version"`
	// Stage is the current stage, from 1 to Stages, while the share is raised and
	// in the Soaking state.
	Stage  int `json:"stage,omitempty"`
	Stages int `json:"stages,omitempty"`
	// Share is the fraction of requests that may go to the new version.
	Share    float64   `json:"share"`
	Deadline time.Time `json:"deadline,omitzero"`
	// TimeLeft is the time to the deadline; negative after it.
	TimeLeft tables.Duration  `json:"time_left,omitempty"`
	OnTrack  bool             `json:"on_track"`
	Reason   string           `json:"reason,omitempty"`
	Evidence *EvidenceSummary `json:"evidence,omitempty"`
}

// The values of Status.State.
const (
	StatusInProgress = "under way"
	StatusDone       = "done"
	StatusRolledBack = "taken back"
)

// Status returns the state of all pools in the order of the configuration.
func (m *Manager) Status() []Status {
	config := m.options.Config()
	if config == nil {
		return nil
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Status, 0, len(config.Pools))
	for i := range config.Pools {
		poolConfig := &config.Pools[i]
		all = append(all, m.status(m.poolStateFor(poolConfig.Name), poolConfig, config.Version, now))
	}
	return all
}

func (m *Manager) status(p *poolState, poolConfig *tables.Pool, configVersion uint64, now time.Time) Status {
	row := p.stored.Row
	if p.stored.Version == 0 || row.NewVersion != poolConfig.Version && configVersion > row.ConfigVersion {
		return statusWithoutRow(poolConfig, now)
	}
	if rollback := p.activeRollback(row.NewVersion, poolConfig, configVersion); rollback != nil {
		row = rolledBackRow(row, *rollback)
	}
	s := Status{
		Pool: p.name, State: StatusInProgress, Phase: row.State, OldVersion: row.OldVersion, NewVersion: row.NewVersion,
		Share: row.Share, Deadline: row.Deadline, Reason: row.Reason,
	}
	switch row.State {
	case Done:
		s.State = StatusDone
	case RolledBack:
		s.State = StatusRolledBack
	case Ramping, Soaking:
		s.Stage, s.Stages = row.Stage+1, len(stages)
	}
	if row.OldVersion != "" {
		s.Evidence = p.evidenceSummary()
	}
	if row.State.isFinal() {
		s.OnTrack = row.State == Done
		return s
	}
	s.TimeLeft = tables.Duration(row.Deadline.Sub(now).Round(time.Second))
	s.OnTrack, s.Reason = m.onTrackWithReason(&row, p.summary.HoldReason, now)
	return s
}

// evidenceSummary returns the analyzer's evidence, nil when none was received.
func (p *poolState) evidenceSummary() *EvidenceSummary {
	if p.summary.RollbackThreshold == 0 {
		return nil
	}
	summary := p.summary
	return &summary
}

// onTrackWithReason reports whether the deadline can be met, with the reason why
// the move is held or late, or else the reason in the row.
func (m *Manager) onTrackWithReason(row *Row, holdReason string, now time.Time) (bool, string) {
	shareCapped := (row.State == Ramping || row.State == Soaking) && row.Share < stages[row.Stage].share
	meetsDeadline, delayReason := onTrack(row, now, shareCapped)
	switch {
	case m.tableUnavailable:
		return meetsDeadline, "held: the table service does not answer"
	case !meetsDeadline:
		return meetsDeadline, delayReason
	case holdReason != "":
		return meetsDeadline, holdReason
	default:
		return meetsDeadline, row.Reason
	}
}

// statusWithoutRow returns the status of a configured version that no row
// reflects yet.
func statusWithoutRow(poolConfig *tables.Pool, now time.Time) Status {
	s := Status{Pool: poolConfig.Name, Phase: Done, State: StatusDone, NewVersion: poolConfig.Version, Share: 1, OnTrack: true}
	if poolConfig.Deadline.IsZero() {
		return s
	}
	s.State, s.Phase, s.Share, s.Deadline = StatusInProgress, Pending, 0, poolConfig.Deadline
	s.TimeLeft = tables.Duration(poolConfig.Deadline.Sub(now).Round(time.Second))
	s.OnTrack = poolConfig.Deadline.After(now)
	s.Reason = "no analyzer has taken up the move"
	return s
}
