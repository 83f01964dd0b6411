package entry

import (
	"context"
	"encoding/json"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/sse"
)

// responseBody is the body of one HTTP response, read from a recorded response.
// It returns one chunk at a time, so that each is flushed as it arrives.
type responseBody struct {
	reader  *answer.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	abandon func()
	// isEventStream is true for event streams, in which a refusal is sent as an
	// event.
	isEventStream bool
	pending       []byte
	// endReturned is true once Read has returned the end of the response.
	endReturned bool
	finalErr    error
}

// Read implements io.Reader for the HTTP library. A response that broke off ends
// with an error, so that the connection is closed without the regular end of the
// body.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.finalErr != nil {
			b.endReturned = true
			return 0, b.finalErr
		}
		if err := b.fetch(); err != nil {
			b.endReturned = true
			return 0, err
		}
	}
	n := copy(buffer, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// fetch reads the next chunk, or encodes the event that reports a refusal.
func (b *responseBody) fetch() error {
	chunk, err := b.reader.Next(b.ctx)
	if err == nil {
		b.pending = chunk.Data
		return nil
	}
	refusal, isRefusal := fault.AsRefusal(err)
	if !isRefusal || !b.isEventStream {
		return err
	}
	data, encodeErr := json.Marshal(executor.NewProblemDetails(refusal))
	if encodeErr != nil {
		return err
	}
	event := sse.Event{Type: executor.EventRefusal, Data: data}
	b.pending = event.AppendTo(nil)
	b.finalErr = err
	return nil
}

// Close implements io.Closer for the HTTP library, which calls it at the end of
// the response and when the caller has disconnected.
func (b *responseBody) Close() error {
	b.cancel()
	b.reader.Close()
	if !b.endReturned {
		b.abandon()
	}
	return nil
}
