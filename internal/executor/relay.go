package executor

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/sse"
)

// Sink takes one answer. Begin is called once and first, End once and last.
type Sink interface {
	// Begin gives the status and the end-to-end header.
	Begin(status int, header []dispatch.Field)
	// Append gives the next part; id is an event's number, or 0. An error
	// means that nobody wants the rest.
	Append(id uint64, data []byte) error
	// End marks the answer as complete (nil) or cut.
	End(cause error)
}

// Bounds of the relay.
const (
	// resumeAttempts bounds how often one stream is resumed without progress.
	resumeAttempts = 5
	// resumePause is the wait before a further attempt.
	resumePause = 50 * time.Millisecond
	// partBytes is the size of the parts in which plain bodies are passed on.
	partBytes = 32 << 10
)

// errCallerGone means that nobody wants the rest of an answer.
var errCallerGone = errors.New("caller gone")

// errCut means that an answer ended before its explicit end.
var errCut = errors.New("answer cut before its end")

// observer hears of an answer's progress.
type observer interface {
	// firstToken is called at the first part.
	firstToken()
	// progress gives the number of output events so far.
	progress(events int)
}

// relay passes a target's answer to a sink.
type relay struct {
	target string
	id     string
	sink   Sink
	watch  observer
	// last is the number of the last event passed on.
	last uint64
	// events counts the events passed on.
	events int
	resume func(ctx context.Context, target, id string, after uint64) (*dispatch.Response, error)
	// resumed counts successful resumptions.
	resumed int
}

// isEventStream tells whether a response is a stream of events.
func isEventStream(response *dispatch.Response) bool {
	return strings.HasPrefix(response.Get("Content-Type"), "text/event-stream")
}

// body passes a plain body on. An announced length that is not reached is an
// error.
func (r *relay) body(response *dispatch.Response) error {
	buffer := make([]byte, partBytes)
	total := 0
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if total == 0 {
				r.watch.firstToken()
			}
			total += n
			if sinkErr := r.sink.Append(0, buffer[:n]); sinkErr != nil {
				return errors.Mark(sinkErr, errCallerGone)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fault.At(fault.StepStream, r.target, errors.Mark(err, errCut))
		}
	}
	if response.Length > total {
		return fault.At(fault.StepStream, r.target, errCut)
	}
	return nil
}

// stream passes events on until the explicit last one. A cut stream is resumed
// after the last event passed on.
func (r *relay) stream(ctx context.Context, response *dispatch.Response) error {
	failures := 0
	for {
		before := r.last
		err := r.connection(response)
		response.Close()
		if err == nil || errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return err
		}
		if r.last > before {
			failures = 0
		}
		response, err = r.reopen(ctx, &failures, err)
		if err != nil {
			return err
		}
	}
}

// reopen resumes the stream, within the bound on attempts without progress.
func (r *relay) reopen(ctx context.Context, failures *int, cause error) (*dispatch.Response, error) {
	for *failures < resumeAttempts {
		*failures++
		response, err := r.resume(ctx, r.target, r.id, r.last)
		if err == nil && response.Status == statusOK {
			r.resumed++
			return response, nil
		}
		if err == nil {
			response.Close()
			return nil, cause
		}
		select {
		case <-ctx.Done():
			return nil, cause
		case <-time.After(resumePause << *failures):
		}
	}
	return nil, cause
}

// connection passes the events of one connection on.
func (r *relay) connection(response *dispatch.Response) error {
	reader := sse.NewReader(response.Body)
	var buffer []byte
	for {
		event, err := reader.Next()
		if err != nil {
			return fault.At(fault.StepStream, r.target, errors.Mark(err, errCut))
		}
		if event.ID != 0 && event.ID <= r.last {
			continue
		}
		if event.ID > r.last+1 && r.last != 0 {
			return fault.At(fault.StepStream, r.target, errors.Mark(errors.Newf("event %d follows %d", event.ID, r.last), errCut))
		}
		buffer = event.Encode(buffer[:0])
		if err := r.pass(&event, buffer); err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
	}
}

func (r *relay) pass(event *sse.Event, encoded []byte) error {
	if r.events == 0 {
		r.watch.firstToken()
	}
	if err := r.sink.Append(event.ID, encoded); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	r.last = event.ID
	r.events++
	r.watch.progress(r.events)
	return nil
}
