package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errPartialEvent means that a stream ended inside an event.
var errPartialEvent = errors.New("the stream ended inside an event")

// event is one event exactly as the target sent it, with its end.
type event struct {
	// id is "" where the event has none.
	id  string
	raw []byte
}

// eventReader splits a stream into events without changing their bytes.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	const bufferBytes = 2048
	return &eventReader{bufio.NewReaderSize(body, bufferBytes)}
}

// next returns the next whole event. It returns io.EOF at the regular end of
// the body after a whole event.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, errors.New("event too long")
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

// hasBufferedEvent tells whether a further whole event has come already.
func (r *eventReader) hasBufferedEvent() bool {
	data, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\r\n\r\n")))
}
