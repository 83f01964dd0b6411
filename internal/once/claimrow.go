package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// claimTable is the table of claims; the row ID is Key.ID.
const claimTable = "claims"

// claimState is the stored state of a claim.
type claimState uint8

const (
	// claimHeld means that the holder may be about to send the request, or has
	// sent it.
	claimHeld claimState = 1
	// claimCompleted means that the complete answer is stored.
	claimCompleted claimState = 2
	// claimNotRun means that the request was not sent and never will be by this
	// claim.
	claimNotRun claimState = 3
	// claimRanInPart means that a target started the request and did not finish
	// it.
	claimRanInPart claimState = 4
	// claimUnknown means that the holder could not determine whether the
	// request ran.
	claimUnknown claimState = 5
)

// claimRow is the stored value of a claim.
type claimRow struct {
	// ClaimID is unique to the attempt.
	ClaimID string `msgpack:"c"`
	// Hash identifies the request, to detect a key that is used with another
	// one.
	Hash RequestHash `msgpack:"h"`
	// HolderName and Process identify the process that made the claim.
	HolderName string     `msgpack:"n"`
	Process    uint64     `msgpack:"i"`
	Handle     string     `msgpack:"r"`
	State      claimState `msgpack:"s"`
	// CreatedMillis is when the claim was made, by the holder's wall clock;
	// expiry is based on it.
	CreatedMillis int64 `msgpack:"t"`
	// Answer is the encoded answer.Snapshot, unless that is too large for
	// the row.
	Answer []byte `msgpack:"a,omitempty"`
	// ObjectName is the name of the object that stores a larger answer.
	ObjectName string `msgpack:"o,omitempty"`
}

func (r *claimRow) encode() []byte {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode claim row")) // the type has no field that can fail
	}
	return raw
}

func decodeClaimRow(row platform.Row) (*claimRow, error) {
	var decoded claimRow
	if err := msgpack.Unmarshal(row.Value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode claim row %s", row.ID)
	}
	return &decoded, nil
}

func (r *claimRow) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(r.CreatedMillis)) > retention
}

func claimKey(key Key) platform.Key {
	return platform.Key{Table: claimTable, ID: key.ID()}
}
