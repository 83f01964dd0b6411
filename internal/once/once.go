// Package once ensures that each request is dispatched to a target at most
// once, although callers retry it at any instance, instances crash or pause,
// and responses of the table service are lost.
//
// A request is identified by its client account and idempotency key (Key). Each
// attempt is either dispatched, joined to the attempt that was dispatched, or
// refused with a statement of whether the request may have run. There are two
// mechanisms.
//
// # Keyed idempotent requests: Shards, Ledger, Forwards
//
// The key space is divided into ShardCount shards. Each shard is held by one
// instance under a lease in the table service (Shards); the holder is the owner
// of the shard's keys. The instance that receives a keyed request forwards it to
// the key owner and keeps a record of the key, the key owner and the target
// (Forwards). The key owner decides with Ledger.Begin, from local memory: it
// dispatches the request with a Ticket, joins a running attempt, resumes an
// earlier one, forwards or refuses. If the request arrived at the key owner
// itself, the key owner replicates the record to another instance before it
// dispatches. After a key owner has crashed, its successor collects the records
// from all instances before it decides on any key that it has no record of.
//
// Invariants: at any time Shards.Holds is true for a shard at no more than one
// instance; a record exists at two instances before a byte is sent, unless
// every other instance is leaving or gone; a key that may have been dispatched
// under an earlier key owner is never dispatched again while callers may retry
// it, that is, within the resend window.
//
// # Non-idempotent requests: Claims
//
// The right to dispatch is a row in the table service, inserted if absent
// (Claim). The claim of an attempt that may have sent the request is never
// transferred: if its holder crashes before it has recorded the outcome,
// retries are refused as unknown. No lease is involved, so a pause of any
// length is safe. Claims.Claim returns a granted Claim, the instance that runs
// the request, or the stored answer. The holder calls Claim.Dispatch before it
// sends the request, and records the outcome with Claim.Complete or Claim.Fail.
package once

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ShardCount is the number of shards of the key space. With 380 instances each
// holds between two and three on average.
const ShardCount = 1024

// Key identifies a request by its client account and idempotency key.
type Key struct {
	Account string `json:"a" msgpack:"a"`
	Key     string `json:"k" msgpack:"k"`
}

// Shard is a partition of the key space, 0 to ShardCount-1.
type Shard uint16

func (k Key) Shard() Shard {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(k.Account)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(k.Key)
	return Shard(digest.Sum64() % ShardCount)
}

// keyIDSize is the number of bytes of the digest in Key.ID.
const keyIDSize = 16

// ID returns a digest of the key in hexadecimal. It is the ID of the claim's
// row, and the request ID at targets, so that a successor can query a target
// for a request whose record was lost.
func (k Key) ID() string {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Key))
	return hex.EncodeToString(sum[:keyIDSize])
}

// RequestHash is a digest of a request's method, URI and body.
type RequestHash [16]byte

// MarshalText encodes the digest in hexadecimal.
func (h RequestHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText decodes the output of MarshalText.
func (h *RequestHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return errors.Newf("%q is no body hash", text)
	}
	copy(h[:], raw)
	return nil
}

// HashRequest returns the digest of method, URI and body.
func HashRequest(method, uri string, body []byte) RequestHash {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + uri + "\x00"))
	digest.Write(body)
	return RequestHash(digest.Sum(nil)[:16])
}
