// Package handle makes the handles by which callers ask for an answer again.
//
// A handle describes its request: who took it, where it runs and under which
// id. It is signed with the deployment's peer secret, so that any instance can
// trust it and resume the answer at the named target after the instance that
// took the request has died. It is not encrypted.
package handle

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrInvalid means that a handle was not made with this secret.
var ErrInvalid = errors.New("handle: invalid")

const (
	// macBytes is the length of the truncated HMAC-SHA256 in bytes.
	macBytes = 16
	// macPurpose separates handles from other uses of the peer secret.
	macPurpose = "hibiscuspost handle v1"
	// MaxEncodedBytes bounds the encoded length in bytes.
	MaxEncodedBytes = 1024
)

// Handle names one request.
type Handle struct {
	// Instance is the name of the instance that took the request.
	Instance string `msgpack:"i"`
	// RequestID is the request's id, also at the target.
	RequestID string `msgpack:"r"`
	// Account is the client account; only it may ask for the answer.
	Account string `msgpack:"a"`
	// Pool is the pool that serves the request.
	Pool string `msgpack:"p"`
	// Target is the target's "ip:port"; empty before dispatch.
	Target string `msgpack:"t,omitempty"`
	// CreatedUnixMillis is the wall clock at acceptance in ms since 1970.
	CreatedUnixMillis int64 `msgpack:"c"`
}

// CreatedAt returns the wall clock time at acceptance.
func (h Handle) CreatedAt() time.Time { return time.UnixMilli(h.CreatedUnixMillis) }

// Encode returns the signed handle, safe in URLs and header fields.
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

// Decode verifies and reads a handle; any fault gives ErrInvalid.
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
