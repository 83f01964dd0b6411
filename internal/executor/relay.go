package executor

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/sse"
)

// Bounds of the relay.
const (
	// resumeAttempts bounds how often one stream is resumed without progress.
	resumeAttempts = 5
	// resumePause is the wait before a further attempt; it doubles each time.
	resumePause = 50 * time.Millisecond
	// partBytes is the size of the parts in which plain bodies are passed on.
	partBytes = 32 << 10
)

// EventRefusal is the type of the event that ends a stream with a refusal.
const EventRefusal = "refusal"

// Errors of the relay.
var (
	// errCut means that an answer ended before its explicit end.
	errCut = errors.New("answer cut before its end")
	// errWrongEnd means that a stream ended in order, without its explicit end.
	errWrongEnd = errors.New("stream ended without its explicit end")
)

// observer hears of an answer's progress.
type observer interface {
	// firstToken is called at the first part.
	firstToken()
	// progress gives the number of parts so far and the last of them.
	progress(parts int, data []byte)
}

// noObserver hears nothing.
type noObserver struct{}

func (noObserver) firstToken()          {}
func (noObserver) progress(int, []byte) {}

// relay passes an answer from its source into the record.
type relay struct {
	// source is the address that sends, for errors.
	source string
	answer *answer.Answer
	watch  observer
	resume func(ctx context.Context, after uint64) (*dispatch.Response, error)
	// last is the number of the last part passed on.
	last uint64
	// parts counts the parts passed on.
	parts int
	// resumed counts successful resumptions.
	resumed int
}

// all passes the whole answer on.
func (r *relay) all(ctx context.Context, response *dispatch.Response) error {
	if isEventStream(response) && response.Status == statusOK {
		return r.stream(ctx, response)
	}
	return r.body(ctx, response)
}

// isEventStream tells whether a response is a stream of events.
func isEventStream(response *dispatch.Response) bool {
	return strings.HasPrefix(response.Get("Content-Type"), "text/event-stream")
}

// body passes a plain body on. An announced length that is not reached is an
// error.
func (r *relay) body(ctx context.Context, response *dispatch.Response) error {
	buffer := make([]byte, partBytes)
	total := 0
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			total += n
			if err := r.pass(ctx, r.last+1, buffer[:n], slices.Clone(buffer[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fault.At(fault.StepStream, r.source, errors.Mark(err, errCut))
		}
	}
	if response.ContentLength > total {
		return fault.At(fault.StepStream, r.source, errCut)
	}
	return nil
}

// stream passes events on until the explicit last one. A cut stream is resumed
// after the last event passed on.
func (r *relay) stream(ctx context.Context, response *dispatch.Response) error {
	failures := 0
	for {
		before := r.last
		err := r.connection(ctx, response)
		response.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if _, refused := fault.AsRefusal(err); refused {
			return err
		}
		if r.last > before {
			failures = 0
		}
		if errors.Is(err, errWrongEnd) && failures > 0 {
			return err
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
		response, err := r.resume(ctx, r.last)
		*failures++
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
func (r *relay) connection(ctx context.Context, response *dispatch.Response) error {
	reader := sse.NewReader(response.Body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return fault.At(fault.StepStream, r.source, errWrongEnd)
		}
		if err != nil {
			return fault.At(fault.StepStream, r.source, errors.Mark(err, errCut))
		}
		if event.Name == EventRefusal {
			return readRefusal(event.Data)
		}
		if event.ID != 0 && event.ID <= r.last {
			continue
		}
		if event.ID == 0 {
			event.ID = r.last + 1
		}
		if event.ID != r.last+1 {
			return fault.At(fault.StepStream, r.source, errors.Mark(errors.Newf("event %d follows %d", event.ID, r.last), errCut))
		}
		if err := r.pass(ctx, event.ID, event.Data, event.Encode(nil)); err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
	}
}

// pass appends one part to the record. Data is what the observer is shown.
func (r *relay) pass(ctx context.Context, id uint64, data, encoded []byte) error {
	if r.parts == 0 {
		r.watch.firstToken()
	}
	if err := r.answer.Append(ctx, answer.Chunk{ID: id, Data: encoded}); err != nil {
		return err
	}
	r.last = id
	r.parts++
	r.watch.progress(r.parts, data)
	return nil
}

// Refusal is the wire form of a refusal, application/problem+json (RFC 9457).
type Refusal struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run states whether the request ran: not_run, ran_in_part or unknown.
	Run fault.ExecutionState `json:"run"`
	// Step is where the request was given up.
	Step fault.Step `json:"step"`
	// RetryAfterSeconds repeats the header Retry-After.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// WireRefusal returns a refusal's wire form.
func WireRefusal(r *fault.Refusal) Refusal {
	return Refusal{
		Title: "request refused", Status: r.Status, Detail: r.Reason, Run: r.Execution, Step: r.Step,
		RetryAfterSeconds: int((r.RetryAfter + time.Second - 1) / time.Second),
	}
}

// readRefusal reads a refusal that another instance has sent.
func readRefusal(data []byte) error {
	var wire Refusal
	if err := json.Unmarshal(data, &wire); err != nil || wire.Run == "" {
		return errors.Mark(errors.New("no refusal could be read"), errCut)
	}
	return &fault.Refusal{
		Execution: wire.Run, Step: wire.Step, Status: wire.Status, Reason: wire.Detail,
		RetryAfter: time.Duration(wire.RetryAfterSeconds) * time.Second,
	}
}

// fields turns header fields into the record's form.
func fields(header []dispatch.Field) []answer.Field {
	converted := make([]answer.Field, len(header))
	for i, field := range header {
		converted[i] = answer.Field(field)
	}
	return converted
}
