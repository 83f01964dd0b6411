package entry

import (
	"context"
	"encoding/json"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/sse"
)

// body is the body of one response: it follows a recorded answer. It returns
// one part at a time, so that each is flushed as it comes.
type body struct {
	reader  *answer.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	abandon func()
	// events is set for event streams, whose refusals are sent as an event.
	events bool
	rest   []byte
	// ended is set once the answer's end has been returned.
	ended bool
	cause error
}

// Read implements io.Reader for the HTTP library. A cut answer ends with an
// error, so that the connection ends without the body's regular end.
func (b *body) Read(buffer []byte) (int, error) {
	if len(b.rest) == 0 {
		if b.cause != nil {
			b.ended = true
			return 0, b.cause
		}
		if err := b.next(); err != nil {
			b.ended = true
			return 0, err
		}
	}
	n := copy(buffer, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// next fetches the next part, or the event that tells of a refusal.
func (b *body) next() error {
	chunk, err := b.reader.Next(b.ctx)
	if err == nil {
		b.rest = chunk.Data
		return nil
	}
	refusal, refused := fault.AsRefusal(err)
	if !refused || !b.events {
		return err
	}
	data, encodeErr := json.Marshal(executor.NewProblemDetails(refusal))
	if encodeErr != nil {
		return err
	}
	event := sse.Event{Name: executor.EventRefusal, Data: data}
	b.rest = event.Encode(nil)
	b.cause = err
	return nil
}

// Close implements io.Closer for the HTTP library; it is called at the end of
// the response and when the caller has gone.
func (b *body) Close() error {
	b.cancel()
	b.reader.Close()
	if !b.ended {
		b.abandon()
	}
	return nil
}
