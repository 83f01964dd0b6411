// Package configuration replicates the accepted configuration to every
// instance.
//
// The accepted configuration is stored in two rows of the platform's table
// service that are written in one transaction: a small head row with version,
// hash and nonce, which instances poll, and a body row with the routes and
// pools. Store writes them by compare-and-swap on the head row. Replica makes
// them the instance's current configuration by whichever path delivers them
// first: a push from the instance that accepted them, a gossip rumor followed
// by a fetch, or a poll of the table.
//
// Invariants:
//   - The current version of an instance never decreases.
//   - Only a configuration that the rows hold, or held, is pushed or installed.
//   - An instance holds at least the version that the table held at the time of
//     the instance's freshness stamp. An instance that takes new work has a
//     stamp younger than MaxStaleness, or else satisfies the conditions for an
//     outage of the table in Replica.CheckAdmission.
package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Keys of the rows.
var (
	// HeadKey names the row that instances poll.
	HeadKey = platform.Key{Table: "configuration", ID: "head"}
	// BodyKey names the row that holds the routes and pools.
	BodyKey = platform.Key{Table: "configuration", ID: "body"}
)

// historyLength is the number of previous versions kept in the head row. With
// it, the outcome of an apply whose response was lost can be determined even
// after later applies.
const historyLength = 8

// historyEntry identifies the apply that wrote a version.
type historyEntry struct {
	Version uint64 `json:"version"`
	Nonce   string `json:"nonce"`
}

// headRow is the content of the head row.
type headRow struct {
	Version uint64         `json:"version"`
	Hash    string         `json:"hash"`
	Nonce   string         `json:"nonce"`
	History []historyEntry `json:"history,omitempty"`
}

// bodyRow is the content of the body row.
type bodyRow struct {
	Nonce  string        `json:"nonce"`
	Tables tables.Tables `json:"tables"`
}

// nonceBytes is the length of a nonce. It is short because every poll reads it.
const nonceBytes = 8

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return hex.EncodeToString(nonce)
}

// successor returns the head row for t, with h added to its history.
func (h headRow) successor(t *tables.Tables, nonce string) headRow {
	history := slices.Clone(h.History)
	if h.Version > 0 {
		history = append(history, historyEntry{Version: h.Version, Nonce: h.Nonce})
	}
	if extra := len(history) - historyLength; extra > 0 {
		history = history[extra:]
	}
	return headRow{Version: t.Version, Hash: t.Hash, Nonce: nonce, History: history}
}

// nonceOf returns the nonce of the apply that wrote a version. ok is false if
// the version has not been written yet or is no longer in the history.
func (h headRow) nonceOf(version uint64) (nonce string, ok bool) {
	if h.Version == version {
		return h.Nonce, true
	}
	for _, entry := range h.History {
		if entry.Version == version {
			return entry.Nonce, true
		}
	}
	return "", false
}

// readHead reads the head row. A missing row is version 0.
func readHead(ctx context.Context, table platform.TableService) (headRow, platform.Version, error) {
	row, err := table.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return headRow{}, 0, nil
	}
	if err != nil {
		return headRow{}, 0, fault.At(fault.StepPlatform, "", err)
	}
	var h headRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return headRow{}, 0, fault.At(fault.StepPlatform, "", errors.Wrap(err, "configuration head"))
	}
	return h, row.Version, nil
}

// readBody reads the routes and pools from the body row.
func readBody(ctx context.Context, table platform.TableService) (*tables.Tables, error) {
	row, err := table.Get(ctx, BodyKey)
	if err != nil {
		return nil, fault.At(fault.StepPlatform, "", err)
	}
	var b bodyRow
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return nil, fault.At(fault.StepPlatform, "", errors.Wrap(err, "configuration body"))
	}
	return &b.Tables, nil
}
