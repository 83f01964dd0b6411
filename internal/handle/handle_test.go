package handle

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	testSecret = []byte("a peer secret")
	testHandle = Handle{
		Instance: "entry-1", RequestID: "0123456789abcdef", Account: "acme",
		Pool: "assistants", Target: "10.0.0.1:8000", CreatedUnixMillis: 1700000000000,
	}
)

func TestHandleRoundTrip(t *testing.T) {
	text, err := testHandle.Encode(testSecret)
	assert.NilError(t, err)
	decoded, err := Decode(testSecret, text)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, testHandle)
	assert.Equal(t, decoded.CreatedAt().UnixMilli(), testHandle.CreatedUnixMillis)
}

func TestMalformedHandlesAreInvalid(t *testing.T) {
	text, err := testHandle.Encode(testSecret)
	assert.NilError(t, err)
	for name, invalid := range map[string]string{
		"empty": "", "too short": text[:10], "not base64": "!" + text[1:],
		"too long": strings.Repeat("A", MaxEncodedBytes+1), "truncated": text[:len(text)-4],
	} {
		_, err := Decode(testSecret, invalid)
		assert.ErrorIs(t, err, ErrInvalid, "%s", name)
	}
	_, err = Decode([]byte("another secret"), text)
	assert.ErrorIs(t, err, ErrInvalid)
}

func TestModifiedHandlesAreInvalid(t *testing.T) {
	text, err := testHandle.Encode(testSecret)
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(text)-1).Draw(t, "position")
		differs := func(c byte) bool { return c != text[i] }
		c := rapid.SampledFrom([]byte("ABCxyz019-_")).Filter(differs).Draw(t, "character")
		_, err := Decode(testSecret, text[:i]+string(c)+text[i+1:])
		assert.ErrorIs(t, err, ErrInvalid)
	})
}

func TestTooLongHandleIsRejected(t *testing.T) {
	long := testHandle
	long.Pool = strings.Repeat("p", MaxEncodedBytes)
	_, err := long.Encode(testSecret)
	assert.ErrorContains(t, err, "too long")
}
