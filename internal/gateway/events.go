package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/segbuf"
)

const (
	// maxEventBytes bounds one event of a stream, and the events without an ID in
	// sequence.
	maxEventBytes = 1 << 20
	// maxPaddingBytes bounds the blank lines and comments before an event.
	maxPaddingBytes = 64 << 10
	// maxUncountedEvents bounds the events beyond the output tokens that the caller
	// allowed, such as one that ends the stream.
	maxUncountedEvents = 16
)

// Errors of streams that would not end by themselves, as far as their bytes tell.
var (
	// errEndless means that bytes without an event exceed a bound.
	errEndless = errors.New("stream without end")
	// errTooManyEvents means that the stream is longer than the caller allowed.
	errTooManyEvents = errors.New("stream longer than the caller allowed")
)

// errPartialEvent is returned for a stream that ends inside an event.
var errPartialEvent = errors.New("event stream ended inside an event")

// event is one server-sent event with the bytes received, including blank lines
// and comments before it, and the blank line that ends it. At the end of a body, it
// may consist of blank lines and comments only.
type event struct {
	// id is "" if the event has none.
	id  string
	raw []byte
	// hasFields is set unless it consists of blank lines and comments, hasKnownFields if
	// it has a field of the format.
	hasFields, hasKnownFields bool
}

// eventReader splits a stream into events without changing their bytes.
type eventReader struct {
	reader *bufio.Reader
	// reserve reports whether there is memory for an event of a size in bytes.
	reserve func(size int) bool
}

func newEventReader(body io.Reader, reserve func(size int) bool) *eventReader {
	const bufferBytes = 2048
	return &eventReader{bufio.NewReaderSize(body, bufferBytes), reserve}
}

// next returns the next complete event, or io.EOF if the body ends after a
// complete event.
func (r *eventReader) next() (event, error) {
	var e event
	var raw segbuf.Buffer
	defer raw.Release()
	lineStarts := true
	// paddingEnd is the length of the complete blocks without fields.
	paddingEnd := 0
	for {
		line, err := r.reader.ReadSlice('\n')
		raw.Append(line)
		isLineStart := lineStarts
		lineStarts = err == nil
		e.hasFields = e.hasFields || isLineStart && startsField(line)
		e.hasKnownFields = e.hasKnownFields || isLineStart && startsKnownField(line)
		if raw.Len() > maxEventBytes || !e.hasFields && raw.Len() > maxPaddingBytes || !r.reserve(raw.Len()) {
			return event{}, errors.Wrapf(errEndless, "event exceeds %d bytes", raw.Len()-1)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && raw.Len() > 0 && raw.Len() == paddingEnd:
			e.raw = raw.Bytes()
			return e, nil
		case err == io.EOF && raw.Len() > 0:
			return event{}, errPartialEvent
		case err != nil:
			return event{}, err
		}
		if !isLineStart {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && e.hasFields {
			e.raw = raw.Bytes()
			return e, nil
		}
		if len(line) == 0 {
			paddingEnd = raw.Len()
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// startsField reports whether a line starts a field, and neither a comment nor a
// blank line.
func startsField(line []byte) bool {
	return len(line) > 0 && line[0] != ':' && line[0] != '\r' && line[0] != '\n'
}

// startsKnownField reports whether a line starts a field of the format. Other fields are
// allowed beside one.
func startsKnownField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte{':'})
	switch string(name) {
	case "id", "data", "event", "retry":
		return true
	}
	return false
}

// hasBufferedEvent reports whether another complete event is already buffered.
func (r *eventReader) hasBufferedEvent() bool {
	data, err := r.reader.Peek(r.reader.Buffered())
	hasFields := false
	for err == nil {
		line, rest, complete := bytes.Cut(data, []byte{'\n'})
		if !complete {
			return false
		}
		if hasFields && len(bytes.TrimRight(line, "\r")) == 0 {
			return true
		}
		hasFields = hasFields || startsField(line)
		data = rest
	}
	return false
}
