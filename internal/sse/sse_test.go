package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReaderReportsTruncatedEvent(t *testing.T) {
	for rest, want := range map[string]error{
		"": io.EOF, "\n": io.EOF, "id: 2\ndata: b": io.ErrUnexpectedEOF, "id: 2\ndata: b\n": io.ErrUnexpectedEOF, "id: 2\n": io.ErrUnexpectedEOF,
	} {
		r := NewReader(strings.NewReader(": comment\n\nid: 1\r\ndata: a\r\n\r\n" + rest))
		event, err := r.Next()
		assert.NilError(t, err)
		assert.DeepEqual(t, event, Event{ID: 1, Data: []byte("a")})
		_, err = r.Next()
		assert.Equal(t, err, want, "%q", rest)
	}
}

func TestEndOfAnEventIsRecognized(t *testing.T) {
	for text, want := range map[string]bool{
		"data: a\n\n": true, "data: a\r\n\r\n": true, "data: a\n\r\n": true, "data: a\n": false, "data: a\r\n": false, "data: a": false, "": false,
	} {
		assert.Equal(t, EndsEvent([]byte(text)), want, "%q", text)
		assert.Equal(t, EndsEvent([]byte(text)[max(0, len(text)-EventEndBytes):]), want, "%q", text)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:\ndata: y\n\n:c\n\nid: z\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text))
		for {
			event, err := r.Next()
			if err != nil {
				return
			}
			reparsed, err := NewReader(bytes.NewReader(event.AppendTo(nil))).Next()
			assert.NilError(t, err)
			assert.Equal(t, reparsed.ID, event.ID)
			assert.Equal(t, string(bytes.TrimRight(reparsed.Data, "\r")), string(bytes.TrimRight(event.Data, "\r")))
		}
	})
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

func TestEndlessBytesAreNoEvent(t *testing.T) {
	for _, text := range []string{"\n", "\r\n", ": comment\n", "id: 1\n", "event: x\n\n", "x", "data: a\n"} {
		body := &repeatReader{text: text}
		_, err := NewReader(body).Next()
		assert.ErrorIs(t, err, ErrEventTooLong, "%q", text)
		assert.Assert(t, body.read <= 8*MaxEventBytes, "%q: %d bytes", text, body.read)
	}
}
