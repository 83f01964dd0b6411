package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errPartialEvent is returned for a stream that ends inside an event.
var errPartialEvent = errors.New("event stream ended inside an event")

// event is one server-sent event with the bytes received, including the blank
// line that ends it.
type event struct {
	// id is "" if the event has none.
	id  string
	raw []byte
}

// eventReader splits a stream into events without changing their bytes.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	const bufferBytes = 2048
	return &eventReader{bufio.NewReaderSize(body, bufferBytes)}
}

// next returns the next complete event, or io.EOF if the body ends after a
// complete event.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, errors.Newf("event exceeds %d bytes", maxEventBytes)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.raw) > 0:
			return event{}, errPartialEvent
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// hasBufferedEvent reports whether another complete event is already buffered.
func (r *eventReader) hasBufferedEvent() bool {
	data, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\r\n\r\n")))
}
