package move

import (
	"encoding/json"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// State is the state of a move.
type State string

// The states of a move, in their order. Done and TakenBack are final.
const (
	// Pending waits for a target that runs the new version.
	Pending State = "pending"
	// Loading waits for enough targets of the new version.
	Loading State = "loading"
	// Ramping raises the share step by step.
	Ramping State = "stages"
	// Soaking has nearly all requests on the new version and keeps the old one
	// warm with the rest, which is also the control group.
	Soaking State = "watch"
	// Done has all requests on the new version.
	Done State = "done"
	// RolledBack has all requests on the old version.
	RolledBack State = "taken_back"
)

// isFinal tells whether the state has no successor within the same move.
func (s State) isFinal() bool { return s == Done || s == RolledBack }

// Rollback records that a version of a pool was taken back. It holds until the
// version is named again, in a higher configuration and with another deadline.
type Rollback struct {
	Version string `json:"version" msgpack:"v"`
	// ConfigVersion is the configuration version in force when it was taken back.
	ConfigVersion uint64 `json:"rank" msgpack:"k"`
	// DeadlineMillis is that of the move, in Unix milliseconds.
	DeadlineMillis int64  `json:"deadline_ms" msgpack:"d"`
	Reason         string `json:"reason" msgpack:"r"`
}

// cleared tells whether the configuration names the version again.
func (r *Rollback) cleared(configVersion uint64, poolConfig *tables.Pool) bool {
	return configVersion > r.ConfigVersion && poolConfig.Version == r.Version &&
		!poolConfig.Deadline.IsZero() && poolConfig.Deadline.UnixMilli() != r.DeadlineMillis
}

// Row is the agreed state of a pool's move: the value of the row ("moves",
// pool) of the table service.
type Row struct {
	Pool string `json:"pool" msgpack:"p"`
	// OldVersion is the version to return to; empty when the pool never moved.
	OldVersion string `json:"old" msgpack:"o"`
	NewVersion string `json:"new" msgpack:"n"`
	// ConfigVersion is the configuration version that named New.
	ConfigVersion uint64    `json:"rank" msgpack:"k"`
	Deadline      time.Time `json:"deadline,omitzero" msgpack:"d"`
	State         State     `json:"state" msgpack:"s"`
	// Stage counts the steps of the share, from 0.
	Stage int `json:"stage" msgpack:"g"`
	// Share is the part of the requests that may go to New.
	Share float64 `json:"share" msgpack:"h"`
	// Started is when the move began, Since when the stage did.
	Started      time.Time `json:"started,omitzero" msgpack:"b"`
	StageStarted time.Time `json:"since,omitzero" msgpack:"c"`
	// StagePlannedEnd is when the stage should end, Latest when it ends even though few
	// requests came or the whole pool is slow.
	StagePlannedEnd time.Time `json:"until,omitzero" msgpack:"u"`
	StageLatestEnd  time.Time `json:"latest,omitzero" msgpack:"l"`
	Reason          string    `json:"reason,omitempty" msgpack:"r,omitempty"`
	// Rollbacks are the versions taken back lately, the newest first.
	Rollbacks []Rollback `json:"marks,omitempty" msgpack:"m,omitempty"`
}

// maxRollbacks bounds the marks kept in a row.
const maxRollbacks = 6

// rollbackOf returns the row's rollbackOf for a version.
func (r *Row) rollbackOf(version string) (Rollback, bool) {
	for _, rollback := range r.Rollbacks {
		if rollback.Version == version {
			return rollback, true
		}
	}
	return Rollback{}, false
}

// withRollback returns the marks with m in front.
func (r *Row) withRollback(rollback Rollback) []Rollback {
	rollbacks := []Rollback{rollback}
	for _, other := range r.Rollbacks {
		if other.Version != rollback.Version && len(rollbacks) < maxRollbacks {
			rollbacks = append(rollbacks, other)
		}
	}
	return rollbacks
}

// movesTable is the movesTable of moves.
const movesTable = "moves"

func rowKey(pool string) platform.Key { return platform.Key{Table: movesTable, ID: pool} }

// storedRow is a row with its version in the table service; Version 0 means that
// there is no row.
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
