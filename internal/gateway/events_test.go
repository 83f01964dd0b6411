package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readEvents returns the events of a stream and the error that ended it.
func readEvents(body io.Reader) (events []event, err error) {
	reader := newEventReader(body)
	for {
		e, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

func TestEventsKeepTheirBytes(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"
	for name, body := range map[string]io.Reader{
		"single read":            strings.NewReader(stream),
		"one byte per read":      iotest.OneByteReader(strings.NewReader(stream)),
		"EOF with the last data": iotest.DataErrReader(strings.NewReader(stream)),
		"half-filled reads":      iotest.HalfReader(strings.NewReader(stream)),
	} {
		events, err := readEvents(body)
		assert.Equal(t, err, io.EOF, name)
		assert.Equal(t, len(events), 3, name)
		joined := ""
		for _, e := range events {
			joined += string(e.raw)
		}
		assert.Equal(t, joined, stream, name)
		assert.Equal(t, events[1].id, "2", name)
	}
}

func TestStreamThatEndsInsideAnEventIsNoWholeStream(t *testing.T) {
	for _, body := range []string{"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		events, err := readEvents(strings.NewReader(body))
		assert.ErrorIs(t, err, errPartialEvent)
		assert.Equal(t, len(events), 1)
	}
}

func TestFollowsComparesEventIDs(t *testing.T) {
	assert.Assert(t, follows("3", "4"))
	assert.Assert(t, !follows("3", "5"))
	assert.Assert(t, !follows("3", "3"))
	assert.Assert(t, follows("a", "b"), "non-numeric IDs are not compared")
}

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"5"}, "X-Signature": {"s"},
	}
	assert.DeepEqual(t, removeHopByHop(header), http.Header{"X-Signature": {"s"}})
}

func TestRefusalsPromiseOnlyWhatIsTrue(t *testing.T) {
	for status, want := range map[int]bool{
		http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
		http.StatusMisdirectedRequest: true, http.StatusBadGateway: false, http.StatusInternalServerError: false,
	} {
		assert.Equal(t, impliesNotRun(status), want, http.StatusText(status))
	}
	assert.Equal(t, errorResponse(http.StatusServiceUnavailable, "r", 1500000000).Header.Get("Retry-After"), "1.500")
	assert.Equal(t, errorResponse(http.StatusBadGateway, "r", 0).Header.Get("Retry-After"), "")
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("id: 1\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		events, err := readEvents(strings.NewReader(body))
		joined := ""
		for _, e := range events {
			joined += string(e.raw)
		}
		if !strings.HasPrefix(body, joined) {
			t.Fatalf("%q is not a prefix of %q", joined, body)
		}
		if err == io.EOF && joined != body {
			t.Fatalf("events of a complete stream lack %q", body[len(joined):])
		}
	})
}
