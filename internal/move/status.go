package move

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Status is what operators read about the move of one pool.
type Status struct {
	Pool string `json:"pool"`
	// State is "under way", "done" or "taken back".
	State string `json:"state"`
	// Phase is the state in detail.
	Phase      State  `json:"phase"`
	OldVersion string `json:"old_version,omitempty"`
	NewVersion string `json:"new_version"`
	// Stage counts from 1 of Stages while the share rises.
	Stage  int `json:"stage,omitempty"`
	Stages int `json:"stages,omitempty"`
	// Share is the part of the requests that may go to the new version.
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

// Status returns the state of all pools, in the order of the configuration.
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
		named := &config.Pools[i]
		all = append(all, m.status(m.pool(named.Name), named, config.Version, now))
	}
	return all
}

func (m *Manager) status(p *pool, named *tables.Pool, config uint64, now time.Time) Status {
	row := p.kept.Row
	if p.kept.Version == 0 || row.NewVersion != named.Version && config > row.ConfigVersion {
		return unfollowedStatus(named, now)
	}
	if mark := p.standing(row.NewVersion, named, config); mark != nil {
		row = takenBack(row, *mark)
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
		s.Stage, s.Stages = row.Stage+1, len(steps)
	}
	if row.OldVersion != "" {
		s.Evidence = p.summary()
	}
	if row.State.final() {
		s.OnTrack = row.State == Done
		return s
	}
	s.TimeLeft = tables.Duration(row.Deadline.Sub(now).Round(time.Second))
	s.OnTrack, s.Reason = m.outlook(&row, p.heard.HoldReason, now)
	return s
}

// summary returns the analyzer's evidence, nil when none was heard.
func (p *pool) summary() *EvidenceSummary {
	if p.heard.RollbackThreshold == 0 {
		return nil
	}
	heard := p.heard
	return &heard
}

// outlook returns whether the deadline can be met, and the reason of the row
// or of the delay.
func (m *Manager) outlook(row *Row, hold string, now time.Time) (bool, string) {
	capped := (row.State == Ramping || row.State == Soaking) && row.Share < steps[row.Stage].share
	ok, late := onTrack(row, now, capped)
	switch {
	case m.outage:
		return ok, "held: the table service does not answer"
	case !ok:
		return ok, late
	case hold != "":
		return ok, hold
	default:
		return ok, row.Reason
	}
}

func unfollowedStatus(named *tables.Pool, now time.Time) Status {
	s := Status{Pool: named.Name, Phase: Done, State: StatusDone, NewVersion: named.Version, Share: 1, OnTrack: true}
	if named.Deadline.IsZero() {
		return s
	}
	s.State, s.Phase, s.Share, s.Deadline = StatusInProgress, Pending, 0, named.Deadline
	s.TimeLeft = tables.Duration(named.Deadline.Sub(now).Round(time.Second))
	s.OnTrack = named.Deadline.After(now)
	s.Reason = "no analyzer has taken up the move"
	return s
}
