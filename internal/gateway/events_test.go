package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readEvents returns the events of a stream and the error that ended it.
func readEvents(body io.Reader) (events []event, err error) {
	reader := newEventReader(body, func(int) bool { return true })
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

// A line that exactly fills the reader's buffer does not end its event.
func TestLineAsLongAsTheBufferIsOneLine(t *testing.T) {
	stream := "id: 1\ndata: " + strings.Repeat("x", 2048-len("id: 1\ndata: ")) + "\ndata: b\n\n"
	events, err := readEvents(strings.NewReader(stream))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, len(events), 1)
}

// Blank lines and comments are no events, however many a target sends. They are
// relayed with the event that follows them.
func TestPaddingIsNoEvent(t *testing.T) {
	const padding = "\n\r\n: comment\n\n"
	events, err := readEvents(strings.NewReader(padding + "id: 1\ndata: a\n\n" + padding))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, string(events[0].raw), padding+"id: 1\ndata: a\n\n")
	assert.Equal(t, string(events[1].raw), padding)
}

// An event must not wait for the one that follows the blank lines and comments
// behind it.
func TestPaddingIsNoBufferedEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "\n\n": false, ": comment\n\n": false, "id: 2\n": false, "id: 2\ndata: b\n": false,
		"id: 2\n\n": true, "\r\n: comment\r\n\r\nid: 2\r\n\r\n": true,
	} {
		reader := newEventReader(strings.NewReader("id: 1\n\n"+rest), func(int) bool { return true })
		_, err := reader.next()
		assert.NilError(t, err)
		assert.Equal(t, reader.hasBufferedEvent(), want, "%q", rest)
	}
}

// repeatReader returns a text without end and counts the bytes read.
type repeatReader struct {
	text string
	read int
}

func (r *repeatReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(buffer)
	return len(buffer), nil
}

func TestEndlessBytesEndAStreamOfEvents(t *testing.T) {
	for text, limit := range map[string]int{
		"\n": maxPaddingBytes, "\r\n": maxPaddingBytes, ": comment\n": maxPaddingBytes, ": comment\n\n": maxPaddingBytes,
		":": maxPaddingBytes, "\r": maxPaddingBytes, "data: a\n": maxEventBytes, "x": maxEventBytes,
	} {
		body := &repeatReader{text: text}
		_, err := readEvents(body)
		assert.ErrorIs(t, err, errEndless, "%q", text)
		assert.Assert(t, body.read <= limit+4096, "%q: %d bytes", text, body.read)
	}
}

func TestEventsWithoutProgressEndAStream(t *testing.T) {
	unidentified := event{raw: []byte("data: a\n\n")}
	var events receivedEvents
	for read := 0; read+len(unidentified.raw) <= maxEventBytes; read += len(unidentified.raw) {
		assert.NilError(t, events.check(unidentified, 0))
	}
	assert.ErrorIs(t, events.check(unidentified, 0), errEndless)
}

func TestMoreEventsThanTheCallerAllowedEndAStream(t *testing.T) {
	const maxTokens = 100
	var events receivedEvents
	for i := range maxTokens + maxUncountedEvents {
		assert.NilError(t, events.check(event{id: strconv.Itoa(i + 1)}, maxTokens))
	}
	assert.ErrorIs(t, events.check(event{id: strconv.Itoa(maxTokens + 1 + maxUncountedEvents)}, maxTokens), errTooManyEvents)
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
