package entry

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// pipeParts bounds the parts of one answer that wait for a slow caller.
const pipeParts = 32

// errAbandoned tells the writer that the caller has gone.
var errAbandoned = errors.New("entry: caller has gone")

// pipe carries one answer from the executor to the caller's connection. It is
// the executor's sink and the HTTP library's body stream. A slow caller holds
// up its own answer alone; what waits is bounded.
type pipe struct {
	status int
	header []dispatch.Field

	// begun is closed once the status and header, or the refusal, are set.
	begun   chan struct{}
	once    sync.Once
	refusal error

	// parts carries the answer; it is closed at the answer's end, after cause
	// is set.
	parts chan []byte
	cause error
	rest  []byte

	// gone is closed when the caller has gone.
	gone   chan struct{}
	leave  sync.Once
	cancel context.CancelFunc
}

func newPipe(cancel context.CancelFunc) *pipe {
	return &pipe{
		begun: make(chan struct{}), parts: make(chan []byte, pipeParts),
		gone: make(chan struct{}), cancel: cancel,
	}
}

// Begin implements executor.Sink.
func (p *pipe) Begin(status int, header []dispatch.Field) {
	p.once.Do(func() {
		p.status = status
		p.header = header
		close(p.begun)
	})
}

// Append implements executor.Sink.
func (p *pipe) Append(_ uint64, data []byte) error {
	select {
	case <-p.gone:
		return errAbandoned
	case p.parts <- slices.Clone(data):
		return nil
	}
}

// End implements executor.Sink.
func (p *pipe) End(cause error) {
	p.cause = cause
	close(p.parts)
}

// refuse ends a pipe that has not begun; afterwards it does nothing.
func (p *pipe) refuse(err error) {
	p.once.Do(func() {
		if err == nil {
			err = errors.New("entry: the executor gave no answer")
		}
		p.refusal = err
		close(p.begun)
	})
}

// wait returns when the answer has begun, or the refusal in its place.
func (p *pipe) wait() error {
	<-p.begun
	return p.refusal
}

// Read implements io.Reader for the HTTP library. It returns one part at a
// time, so that each is flushed as it comes, and an error for a cut answer, so
// that the connection ends without the body's regular end.
func (p *pipe) Read(buffer []byte) (int, error) {
	if len(p.rest) == 0 {
		part, ok := <-p.parts
		if !ok {
			return 0, p.end()
		}
		p.rest = part
	}
	n := copy(buffer, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *pipe) end() error {
	if p.cause != nil {
		return p.cause
	}
	return io.EOF
}

// Close implements io.Closer for the HTTP library; it is called at the end of
// the answer and when the caller has gone.
func (p *pipe) Close() error {
	p.abandon()
	return nil
}

// abandon tells the executor that nobody reads the rest.
func (p *pipe) abandon() {
	p.leave.Do(func() {
		close(p.gone)
		p.cancel()
	})
}
