// Package once makes each request run at most once.
//
// Two grades exist. Both key a request by its client account and idempotency
// key, and both tell the truth: an attempt is either dispatched by exactly one
// instance, or joined to the attempt that was, or refused with a statement of
// what is known.
//
// # Keyed idempotent requests: Shards, Ledger, Forwards
//
// The key space is cut into ShardCount shards. A shard is held by one instance
// under a lease in the table service; the holder is the owner of its keys.
// Entries forward keyed requests to the key owner on the data path, and the key owner
// queues and dispatches them, so that its Ledger of keys is local memory. The
// entry that forwarded keeps a record of the key, the key owner and the target
// (Forwards). After a key owner's death its successor collects those records
// before it decides on any key it has not seen.
//
// Invariants: at any moment at most one instance may pass Shards.Holds for a
// shard; a record exists at two instances before a byte leaves; a key that
// could have been dispatched under an earlier key owner is never dispatched again.
//
// # Non-idempotent requests: Claims
//
// The right to dispatch is a row in the table service, inserted if absent. The
// row is never handed on: when its holder dies before it has recorded the
// outcome, resends are answered unknown. No lease is involved, so no pause is
// too long.
package once

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ShardCount is the number of shards of the key space. At 380 instances it
// gives each between two and three on average.
const ShardCount = 1024

// Key names a request: a client account and its idempotency key.
type Key struct {
	Account string `json:"a" msgpack:"a"`
	Key     string `json:"k" msgpack:"k"`
}

// Shard is a part of the key space, 0 to ShardCount-1.
type Shard uint16

// Shard returns the shard of the key.
func (k Key) Shard() Shard {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(k.Account)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(k.Key)
	return Shard(digest.Sum64() % ShardCount)
}

// keyIDSize is the number of bytes of a key's digest.
const keyIDSize = 16

// ID returns a digest of the key as hexadecimal text. It names the claim row,
// and serves as the request id at targets, so that a successor can ask a target
// for a run whose record was lost.
func (k Key) ID() string {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Key))
	return hex.EncodeToString(sum[:keyIDSize])
}

// RequestHash is a digest of what a request asks for.
type RequestHash [16]byte

// MarshalText writes the digest as hexadecimal text.
func (h RequestHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *RequestHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return errors.Newf("%q is no body hash", text)
	}
	copy(h[:], raw)
	return nil
}

// HashRequest digests method, path and body.
func HashRequest(method, path string, body []byte) RequestHash {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + path + "\x00"))
	digest.Write(body)
	return RequestHash(digest.Sum(nil)[:16])
}
