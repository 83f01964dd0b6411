// Package configuration keeps the accepted configuration in force on every
// instance.
//
// The accepted configuration is two rows of the platform's table service that
// are written in one transaction: a small head with version, hash and nonce,
// which instances poll, and a body with both tables. Store writes them by
// compare-and-swap on the head. Adopter makes them the instance's current
// configuration, whichever way they arrive first: pushed by the instance that
// accepted them, announced by rumour and pulled, or polled.
//
// Invariants:
//   - The version in force on an instance never falls.
//   - Only what the rows hold, or held, is ever pushed or adopted.
//   - For the time of an instance's freshness stamp, the instance holds at
//     least the version that the table held then. An instance that takes new
//     work has a stamp younger than InForceBound, or else follows the rule for
//     an outage of the table in Adopter.Admitting.
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

// The rows.
var (
	// HeadKey names the row that instances poll.
	HeadKey = platform.Key{Table: "configuration", ID: "head"}
	// BodyKey names the row that holds the tables.
	BodyKey = platform.Key{Table: "configuration", ID: "body"}
)

// historyLength is how many past versions the head remembers, so that an
// operator whose answer was lost can be told the outcome although others have
// applied since.
const historyLength = 8

// historyEntry tells which attempt wrote a version.
type historyEntry struct {
	Version uint64 `json:"version"`
	Nonce   string `json:"nonce"`
}

// headRow is the content of the headRow row.
type headRow struct {
	Version uint64         `json:"version"`
	Hash    string         `json:"hash"`
	Nonce   string         `json:"nonce"`
	History []historyEntry `json:"history,omitempty"`
}

// bodyRow is the content of the bodyRow row.
type bodyRow struct {
	Nonce  string        `json:"nonce"`
	Tables tables.Tables `json:"tables"`
}

// nonceBytes is the length of a nonce; it is read with each poll.
const nonceBytes = 8

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return hex.EncodeToString(nonce)
}

// successor returns the head that follows h.
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

// nonceOf returns the nonce that wrote a version; ok is false when the version
// is not reached yet or too long ago.
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

// readHead reads the head row; an absent one is version 0.
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

// readBody reads the tables.
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
