package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// claimTable is the table of claims; the row id is Key.ID.
const claimTable = "claims"

// claimState is the state in a claim's row.
type claimState uint8

const (
	// claimHeld means that the holder may be about to send, or has sent.
	claimHeld claimState = 1
	// claimCompleted means that the complete answer is stored.
	claimCompleted claimState = 2
	// claimNotRun means that the holder has not sent and never will.
	claimNotRun claimState = 3
	// claimRanInPart means that the target started and did not finish.
	claimRanInPart claimState = 4
	// claimUnknown means that the holder could not tell.
	claimUnknown claimState = 5
)

// claimRow is the content of a claim's row.
type claimRow struct {
	// ClaimID is unique to the attempt.
	ClaimID string `msgpack:"c"`
	// Hash is the digest of the request.
	Hash RequestHash `msgpack:"h"`
	// HolderName and Process name the process that made the claim.
	HolderName string     `msgpack:"n"`
	Process    uint64     `msgpack:"i"`
	Handle     string     `msgpack:"r"`
	State      claimState `msgpack:"s"`
	// CreatedMillis is the holder's wall clock, for ageing.
	CreatedMillis int64 `msgpack:"t"`
	// Answer is the encoded answer.Stored of a small answer.
	Answer []byte `msgpack:"a,omitempty"`
	// ObjectName names the stored answer of a larger one.
	ObjectName string `msgpack:"o,omitempty"`
}

func (r *claimRow) encode() []byte {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "claim row")) // the type has no field that can fail
	}
	return raw
}

func decodeClaimRow(row platform.Row) (*claimRow, error) {
	var decoded claimRow
	if err := msgpack.Unmarshal(row.Value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "claim row %s", row.ID)
	}
	return &decoded, nil
}

func (r *claimRow) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(r.CreatedMillis)) > retention
}

func claimKey(key Key) platform.Key {
	return platform.Key{Table: claimTable, ID: key.ID()}
}
