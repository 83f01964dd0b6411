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

// Limits of a relay.
const (
	// maxResumeAttempts bounds the attempts to resume a stream without progress.
	maxResumeAttempts = 5
	// resumeBackoff is doubled once before the second attempt and once more before
	// each further one.
	resumeBackoff = 50 * time.Millisecond
	// bodyChunkBytes is the largest chunk in which a plain body is relayed.
	bodyChunkBytes = 32 << 10
	// maxRepeatedEvents bounds the events of one connection that are skipped since
	// they have been recorded before.
	maxRepeatedEvents = 10000
)

// EventRefusal is the type of an event that ends a stream with a refusal.
const EventRefusal = "refusal"

// Errors of a relay.
var (
	// errTruncated means that a response broke off.
	errTruncated = errors.New("answer cut before its end")
	// errMissingEnd means that a framed stream was closed in order, but without its
	// last event.
	errMissingEnd = errors.New("stream ended without its explicit end")
)

// progressObserver is notified of the progress of a response.
type progressObserver interface {
	// onFirstChunk is called before the first chunk is recorded.
	onFirstChunk()
	// onChunk is called with the number of chunks so far and the data of the
	// latest.
	onChunk(chunks int, data []byte)
}

// discardProgress is a progressObserver that does nothing.
type discardProgress struct{}

func (discardProgress) onFirstChunk()       {}
func (discardProgress) onChunk(int, []byte) {}

// relay copies a response from its source into the recorded response.
type relay struct {
	// source is the address or name of the sender, for errors.
	source   string
	answer   *answer.Answer
	observer progressObserver
	resume   func(ctx context.Context, after uint64) (*dispatch.Response, error)
	// lastID is the ID of the last chunk recorded.
	lastID uint64
	// chunks counts the chunks recorded.
	chunks int
	// resumed counts how often the stream was resumed.
	resumed int
}

// relay relays the whole response, as a stream or as a plain body.
func (r *relay) relay(ctx context.Context, response *dispatch.Response) error {
	if isAnswerStream(response) {
		return r.relayStream(ctx, response)
	}
	return r.relayBody(ctx, response)
}

// isEventStream reports whether the response is a stream of server-sent events.
func isEventStream(response *dispatch.Response) bool {
	return strings.HasPrefix(response.Get("Content-Type"), "text/event-stream")
}

// isAnswerStream reports whether the response of an engine is a stream of events
// with an explicit end.
func isAnswerStream(response *dispatch.Response) bool {
	return isEventStream(response) && response.Status == statusOK
}

// relayBody relays a plain body, or a stream as one. A body shorter than its
// declared length is an error, and so is a stream that is not framed and does not end
// after an event.
func (r *relay) relayBody(ctx context.Context, response *dispatch.Response) error {
	buffer := make([]byte, bodyChunkBytes)
	received := 0
	var tail []byte
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			received += n
			tail = lastBytes(append(tail, lastBytes(buffer[:n])...))
			if err := r.appendChunk(ctx, r.lastID+1, buffer[:n], slices.Clone(buffer[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fault.At(fault.StepStream, r.source, errors.Mark(err, errTruncated))
		}
	}
	brokenOff := isEventStream(response) && !response.IsFramed() && !sse.EndsEvent(tail)
	if response.ContentLength > received || brokenOff {
		return fault.At(fault.StepStream, r.source, errTruncated)
	}
	return nil
}

// lastBytes returns the bytes at the end of data from which sse.EndsEvent tells how
// it ends.
func lastBytes(data []byte) []byte { return data[max(0, len(data)-sse.EventEndBytes):] }

// relayStream relays events up to the last one. A stream that breaks off is
// resumed after the last event recorded.
func (r *relay) relayStream(ctx context.Context, response *dispatch.Response) error {
	attempts := 0
	for {
		lastBefore := r.lastID
		err := r.relayEvents(ctx, response)
		response.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if _, refused := fault.AsRefusal(err); refused {
			return err
		}
		if r.lastID > lastBefore {
			attempts = 0
		}
		if errors.Is(err, errMissingEnd) && attempts > 0 {
			return err
		}
		response, err = r.resumeStream(ctx, &attempts, err)
		if err != nil {
			return err
		}
	}
}

// resumeStream resumes the stream unless maxResumeAttempts have been made without
// progress. If it fails, it returns cause.
func (r *relay) resumeStream(ctx context.Context, attempts *int, cause error) (*dispatch.Response, error) {
	for *attempts < maxResumeAttempts {
		response, err := r.resume(ctx, r.lastID)
		*attempts++
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
		case <-time.After(resumeBackoff << *attempts):
		}
	}
	return nil, cause
}

// relayEvents relays the events of one connection.
func (r *relay) relayEvents(ctx context.Context, response *dispatch.Response) error {
	reader := sse.NewReader(response.Body)
	repeated := 0
	for {
		event, err := reader.Next()
		if err == io.EOF && response.IsFramed() {
			return fault.At(fault.StepStream, r.source, errMissingEnd)
		}
		if err != nil {
			return fault.At(fault.StepStream, r.source, errors.Mark(err, errTruncated))
		}
		if event.Type == EventRefusal {
			return parseRefusal(event.Data)
		}
		if event.ID != 0 && event.ID <= r.lastID {
			if repeated++; repeated > maxRepeatedEvents {
				return fault.At(fault.StepStream, r.source, errors.Mark(errors.Newf("event %d came again", event.ID), errTruncated))
			}
			continue
		}
		if event.ID == 0 {
			event.ID = r.lastID + 1
		}
		if event.ID != r.lastID+1 {
			return fault.At(fault.StepStream, r.source, errors.Mark(errors.Newf("event %d follows %d", event.ID, r.lastID), errTruncated))
		}
		if err := r.appendChunk(ctx, event.ID, event.Data, event.AppendTo(nil)); err != nil {
			return err
		}
		if event.IsLast() {
			return nil
		}
	}
}

// appendChunk records one chunk; data is its payload, for the observer.
func (r *relay) appendChunk(ctx context.Context, id uint64, data, encoded []byte) error {
	if r.chunks == 0 {
		r.observer.onFirstChunk()
	}
	if err := r.answer.Append(ctx, answer.Chunk{ID: id, Data: encoded}); err != nil {
		return err
	}
	r.lastID = id
	r.chunks++
	r.observer.onChunk(r.chunks, data)
	return nil
}

// ProblemDetails is the wire format of a refusal, application/problem+json
// (RFC 9457).
type ProblemDetails struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Execution states whether the request ran: not_run, ran_in_part or unknown.
	Execution fault.ExecutionState `json:"run"`
	// Step is the step that refused the request.
	Step fault.Step `json:"step"`
	// RetryAfterSeconds is the value of the header Retry-After.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// NewProblemDetails returns the wire format of a refusal.
func NewProblemDetails(r *fault.Refusal) ProblemDetails {
	return ProblemDetails{
		Title: "request refused", Status: r.Status, Detail: r.Reason, Execution: r.Execution, Step: r.Step,
		RetryAfterSeconds: int((r.RetryAfter + time.Second - 1) / time.Second),
	}
}

// parseRefusal decodes a refusal sent by another instance. It returns the
// *fault.Refusal as an error, or an error marked with errTruncated if the data
// holds no refusal.
func parseRefusal(data []byte) error {
	var problem ProblemDetails
	if err := json.Unmarshal(data, &problem); err != nil || problem.Execution == "" {
		return errors.Mark(errors.New("no refusal could be read"), errTruncated)
	}
	return &fault.Refusal{
		Execution: problem.Execution, Step: problem.Step, Status: problem.Status, Reason: problem.Detail,
		RetryAfter: time.Duration(problem.RetryAfterSeconds) * time.Second,
	}
}

// toAnswerFields converts header fields to those of a recorded response.
func toAnswerFields(header []dispatch.Field) []answer.Field {
	converted := make([]answer.Field, len(header))
	for i, field := range header {
		converted[i] = answer.Field(field)
	}
	return converted
}
