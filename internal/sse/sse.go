// Package sse encodes and decodes server-sent events in the form that model
// engines use: consecutive event IDs, one data line, and a last event that marks
// the end of the stream.
//
// Event is one event, and Reader decodes events from a response body.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds one event, one line, and the lines before an event.
const MaxEventBytes = 1 << 20

// LastEventData is the data of the last event of a stream.
const LastEventData = "[DONE]"

// ErrEventTooLong means that an event or a line exceeds MaxEventBytes.
var ErrEventTooLong = errors.New("sse: event too long")

// Event is one server-sent event.
type Event struct {
	// ID is the event ID; 0 if the sender set none.
	ID uint64
	// Type is the event type; empty for events of the default type.
	Type string
	// Data holds the data lines, joined by newlines.
	Data []byte
}

// IsLast reports whether the event is the last one of its stream.
func (e *Event) IsLast() bool { return string(e.Data) == LastEventData }

// AppendTo appends the wire format of the event to buffer.
func (e *Event) AppendTo(buffer []byte) []byte {
	if e.ID != 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendUint(buffer, e.ID, 10)
		buffer = append(buffer, '\n')
	}
	if e.Type != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, e.Type...)
		buffer = append(buffer, '\n')
	}
	for line := range bytes.SplitSeq(e.Data, []byte{'\n'}) {
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}

// Reader decodes events from a stream.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a Reader of a response body.
func NewReader(body io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(body)}
}

// Next returns the next event that has data. Lines without data before it may
// together have MaxEventBytes. At the end of the body it returns io.EOF, or
// io.ErrUnexpectedEOF if the body ends inside an event.
func (r *Reader) Next() (Event, error) {
	var event Event
	var hasData, inside bool
	padding := 0
	for {
		line, err := r.readLine()
		if err == io.EOF && inside {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if padding += len(line) + 1; !hasData && padding > MaxEventBytes {
			return Event{}, ErrEventTooLong
		}
		inside = len(line) > 0
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			continue
		}
		hasData = event.addField(line, hasData) || hasData
		if len(event.Data) > MaxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}

// addField sets one field of the event from a line and reports whether the line
// held data.
func (e *Event) addField(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		return true
	case "event":
		e.Type = string(value)
	case "id":
		if id, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			e.ID = id
		}
	}
	return false
}

// readLine reads one line without its line ending. Lines longer than MaxEventBytes
// are rejected, and so is one that the body ends in.
func (r *Reader) readLine() ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.buffered.ReadSlice('\n')
		line = append(line, fragment...)
		if len(line) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// EventEndBytes is the number of bytes at the end of a body from which EndsEvent
// tells whether it ends after an event.
const EventEndBytes = 3

// EndsEvent reports whether a body with these last bytes ends after an event, rather
// than inside one.
func EndsEvent(tail []byte) bool {
	return bytes.HasSuffix(tail, []byte("\n\n")) || bytes.HasSuffix(tail, []byte("\n\r\n"))
}
