package move

import (
	"encoding/json"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// State is the state of a move.
type State string

// The states of a move, in order. Done and RolledBack are final.
const (
	// Pending waits for a usable target that runs the new version.
	Pending State = "pending"
	// Loading waits for enough usable targets of the new version.
	Loading State = "loading"
	// Ramping raises the share in stages.
	Ramping State = "stages"
	// Soaking sends nearly all requests to the new version. The rest keeps the old
	// version warm and is the control group.
	Soaking State = "watch"
	// Done sends all requests to the new version.
	Done State = "done"
	// RolledBack sends all requests to the old version.
	RolledBack State = "taken_back"
)

// isFinal reports whether the state has no successor within the same move.
func (s State) isFinal() bool { return s == Done || s == RolledBack }

// Rollback records that a version of a pool was rolled back. It holds until a
// newer configuration names the version again with another deadline.
type Rollback struct {
	Version string `json:"version" msgpack:"v"`
	// ConfigVersion is the configuration version current at the rollback.
	ConfigVersion uint64 `json:"rank" msgpack:"k"`
	// DeadlineMillis is the deadline of the move in Unix milliseconds.
	DeadlineMillis int64  `json:"deadline_ms" msgpack:"d"`
	Reason         string `json:"reason" msgpack:"r"`
}

// cleared reports whether a newer configuration names the version again with
// another deadline.
func (r *Rollback) cleared(configVersion uint64, poolConfig *tables.Pool) bool {
	return configVersion > r.ConfigVersion && poolConfig.Version == r.Version &&
		!poolConfig.Deadline.IsZero() && poolConfig.Deadline.UnixMilli() != r.DeadlineMillis
}

// Row is the agreed state of a pool's move: the value of the row ("moves", pool)
// in the table service.
type Row struct {
	Pool string `json:"pool" msgpack:"p"`
	// OldVersion is the version to roll back to; empty when the pool has never
	// moved.
	OldVersion string `json:"old" msgpack:"o"`
	NewVersion string `json:"new" msgpack:"n"`
	// ConfigVersion is the configuration version that named NewVersion.
	ConfigVersion uint64    `json:"rank" msgpack:"k"`
	Deadline      time.Time `json:"deadline,omitzero" msgpack:"d"`
	State         State     `json:"state" msgpack:"s"`
	// Stage is the index of the stage, from 0.
	Stage int `json:"stage" msgpack:"g"`
	// Share is the fraction of requests that may go to NewVersion.
	Share float64 `json:"share" msgpack:"h"`
	// Started is the start of the move, StageStarted that of the stage or state.
	Started      time.Time `json:"started,omitzero" msgpack:"b"`
	StageStarted time.Time `json:"since,omitzero" msgpack:"c"`
	// StagePlannedEnd is when the stage ends if the evidence suffices.
	// StageLatestEnd is when it ends even with few requests. A slowdown of the old
	// version delays it further; see holdReason.
	StagePlannedEnd time.Time `json:"until,omitzero" msgpack:"u"`
	StageLatestEnd  time.Time `json:"latest,omitzero" msgpack:"l"`
	Reason          string    `json:"reason,omitempty" msgpack:"r,omitempty"`
	// Rollbacks are the most recent rollbacks, the newest first.
	Rollbacks []Rollback `json:"marks,omitempty" msgpack:"m,omitempty"`
}

// maxRollbacks limits the rollbacks kept in a row.
const maxRollbacks = 6

// rollbackOf returns the row's rollback of a version.
func (r *Row) rollbackOf(version string) (Rollback, bool) {
	for _, rollback := range r.Rollbacks {
		if rollback.Version == version {
			return rollback, true
		}
	}
	return Rollback{}, false
}

// withRollback returns the rollbacks with the given one in front, which replaces
// an earlier one of the same version.
func (r *Row) withRollback(rollback Rollback) []Rollback {
	rollbacks := []Rollback{rollback}
	for _, other := range r.Rollbacks {
		if other.Version != rollback.Version && len(rollbacks) < maxRollbacks {
			rollbacks = append(rollbacks, other)
		}
	}
	return rollbacks
}

// movesTable is the table of the rows.
const movesTable = "moves"

func rowKey(pool string) platform.Key { return platform.Key{Table: movesTable, ID: pool} }

// storedRow is a row with its version in the table service. Version 0 means that
// the row does not exist.
type storedRow struct {
	Row     Row              `msgpack:"r"`
	Version platform.Version `msgpack:"v"`
}

func decodeRow(row platform.Row) (storedRow, error) {
	var decoded Row
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return storedRow{}, err
	}
	return storedRow{decoded, row.Version}, nil
}
