// Package handle encodes and verifies handles, the signed tokens by which callers
// resume the response to an earlier request.
//
// A Handle holds the account, pool, target and ID of its request and the instance
// that runs it. It is signed with the peer secret of the deployment, so that any
// instance can verify it and resume the response at the target after the instance
// that runs the request has failed. It is not encrypted.
package handle

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrInvalid means that a handle is malformed or not signed with the secret.
var ErrInvalid = errors.New("handle: invalid")

const (
	// macBytes is the length of the truncated HMAC-SHA256.
	macBytes = 16
	// macPurpose separates the MACs of handles from other uses of the peer secret.
	macPurpose = "hibiscuspost handle v1"
	// MaxEncodedBytes is the largest length of an encoded handle.
	MaxEncodedBytes = 1024
)

// Handle identifies one request.
type Handle struct {
	// Instance is the name of the instance that runs the request. For a keyed
	// request that was forwarded, it is the key owner.
	Instance string `msgpack:"i"`
	// RequestID is the ID of the request, at the instance and at the target.
	RequestID string `msgpack:"r"`
	// Account is the client account; only this account may resume the response.
	Account string `msgpack:"a"`
	// Pool is the pool that serves the request.
	Pool string `msgpack:"p"`
	// Target is the "ip:port" of the target; empty before dispatch.
	Target string `msgpack:"t,omitempty"`
	// CreatedUnixMillis is the wall-clock time at which the request was received, in
	// milliseconds since 1970.
	CreatedUnixMillis int64 `msgpack:"c"`
}

// CreatedAt returns the wall-clock time at which the request was received.
func (h Handle) CreatedAt() time.Time { return time.UnixMilli(h.CreatedUnixMillis) }

// Encode returns the signed handle as text that is safe in URLs and header fields.
func (h Handle) Encode(secret []byte) (string, error) {
	body, err := msgpack.Marshal(&h)
	if err != nil {
		return "", errors.Wrap(err, "encode handle")
	}
	text := base64.RawURLEncoding.EncodeToString(append(sign(secret, body), body...))
	if len(text) > MaxEncodedBytes {
		return "", errors.Newf("handle of %d bytes is too long", len(text))
	}
	return text, nil
}

// Decode verifies and decodes a handle. Every error is ErrInvalid.
func Decode(secret []byte, text string) (Handle, error) {
	if len(text) > MaxEncodedBytes {
		return Handle{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Handle{}, ErrInvalid
	}
	mac, body := raw[:macBytes], raw[macBytes:]
	if !hmac.Equal(mac, sign(secret, body)) {
		return Handle{}, ErrInvalid
	}
	var h Handle
	if err := msgpack.Unmarshal(body, &h); err != nil {
		return Handle{}, ErrInvalid
	}
	return h, nil
}

func sign(secret, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(macPurpose))
	mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}
