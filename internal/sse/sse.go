// Package sse reads and writes server-sent events as model engines send them:
// an id that rises by one, one data line, and an explicit last event.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds one event, in bytes.
const MaxEventBytes = 1 << 20

// LastEventData is the data of the explicit last event.
const LastEventData = "[DONE]"

// ErrEventTooLong means that an event exceeds MaxEventBytes.
var ErrEventTooLong = errors.New("sse: event too long")

// Event is one event.
type Event struct {
	// ID is the event's number; 0 when the sender gave none.
	ID uint64
	// Type is the event's type; empty for ordinary events.
	Type string
	// Data holds the data lines, joined by newlines.
	Data []byte
}

// IsLast tells whether the event ends its stream.
func (e *Event) IsLast() bool { return string(e.Data) == LastEventData }

// AppendTo appends the event's wire form to buffer.
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

// Reader reads events from a stream.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a Reader over a response body.
func NewReader(body io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(body)}
}

// Next returns the next event with data. It returns io.EOF at the end of the
// body; an event that the end cuts short is dropped.
func (r *Reader) Next() (Event, error) {
	var event Event
	var hasData bool
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
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

// addField adds one field line to the event and tells whether it held data.
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

// readLine reads one readLine without its end; its length is bounded.
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
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
