package executor

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// repeatReader returns a text without end and counts the bytes read.
type repeatReader struct {
	text string
	read int
}

func (r *repeatReader) Read(buffer []byte) (int, error) {
	n := copy(buffer, bytes.Repeat([]byte(r.text), 1+len(buffer)/len(r.text)))
	n -= n % len(r.text)
	r.read += n
	return n, nil
}

// A target that repeats recorded events for ever must not hold a request up to its
// deadline.
func TestEndlessRepeatedEventsEndTheRelay(t *testing.T) {
	const repeated = "id: 3\ndata: a\n\n"
	body := &repeatReader{text: repeated}
	r := &relay{source: "target", lastID: 5}
	err := r.relayEvents(t.Context(), &dispatch.Response{Body: body})
	assert.Assert(t, errors.Is(err, errTruncated), "%v", err)
	assert.Assert(t, body.read <= (maxRepeatedEvents+1)*len(repeated)+8192, "%d bytes", body.read)
}
