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
	// maxResumeAttempts bounds how often one stream is resumed without progress.
	maxResumeAttempts = 5
	// resumeBackoff is the wait before a further attempt; it doubles each time.
	resumeBackoff = 50 * time.Millisecond
	// bodyPartBytes is the size of the parts in which plain bodies are passed on.
	bodyPartBytes = 32 << 10
)

// EventRefusal is the type of the event that ends a stream with a refusal.
const EventRefusal = "refusal"

// Errors of the relay.
var (
	// errTruncated means that an answer ended before its explicit end.
	errTruncated = errors.New("answer cut before its end")
	// errMissingEnd means that a stream ended in order, without its explicit end.
	errMissingEnd = errors.New("stream ended without its explicit end")
)

// progressObserver hears of an answer's progress.
type progressObserver interface {
	// onFirstPart is called at the first part.
	onFirstPart()
	// onPart gives the number of parts so far and the last of them.
	onPart(parts int, data []byte)
}

// discardProgress hears nothing.
type discardProgress struct{}

func (discardProgress) onFirstPart()       {}
func (discardProgress) onPart(int, []byte) {}

// relay passes an answer from its source into the record.
type relay struct {
	// source is the address that sends, for errors.
	source   string
	answer   *answer.Answer
	observer progressObserver
	resume   func(ctx context.Context, after uint64) (*dispatch.Response, error)
	// lastID is the number of the lastID part passed on.
	lastID uint64
	// parts counts the parts passed on.
	parts int
	// resumed counts successful resumptions.
	resumed int
}

// relay passes the whole answer on.
func (r *relay) relay(ctx context.Context, response *dispatch.Response) error {
	if isEventStream(response) && response.Status == statusOK {
		return r.relayStream(ctx, response)
	}
	return r.relayBody(ctx, response)
}

// isEventStream tells whether a response is a stream of events.
func isEventStream(response *dispatch.Response) bool {
	return strings.HasPrefix(response.Get("Content-Type"), "text/event-stream")
}

// relayBody passes a plain relayBody on. An announced length that is not reached is an
// error.
func (r *relay) relayBody(ctx context.Context, response *dispatch.Response) error {
	buffer := make([]byte, bodyPartBytes)
	received := 0
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			received += n
			if err := r.appendPart(ctx, r.lastID+1, buffer[:n], slices.Clone(buffer[:n])); err != nil {
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
	if response.Length > received {
		return fault.At(fault.StepStream, r.source, errTruncated)
	}
	return nil
}

// relayStream passes events on until the explicit last one. A cut relayStream is resumed
// after the last event passed on.
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

// resumeStream resumes the stream, within the bound on attempts without progress.
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

// relayEvents passes the events of one relayEvents on.
func (r *relay) relayEvents(ctx context.Context, response *dispatch.Response) error {
	reader := sse.NewReader(response.Body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return fault.At(fault.StepStream, r.source, errMissingEnd)
		}
		if err != nil {
			return fault.At(fault.StepStream, r.source, errors.Mark(err, errTruncated))
		}
		if event.Name == EventRefusal {
			return parseRefusal(event.Data)
		}
		if event.ID != 0 && event.ID <= r.lastID {
			continue
		}
		if event.ID == 0 {
			event.ID = r.lastID + 1
		}
		if event.ID != r.lastID+1 {
			return fault.At(fault.StepStream, r.source, errors.Mark(errors.Newf("event %d follows %d", event.ID, r.lastID), errTruncated))
		}
		if err := r.appendPart(ctx, event.ID, event.Data, event.Encode(nil)); err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
	}
}

// appendPart appends one part to the record. Data is what the observer is shown.
func (r *relay) appendPart(ctx context.Context, id uint64, data, encoded []byte) error {
	if r.parts == 0 {
		r.observer.onFirstPart()
	}
	if err := r.answer.Append(ctx, answer.Chunk{ID: id, Data: encoded}); err != nil {
		return err
	}
	r.lastID = id
	r.parts++
	r.observer.onPart(r.parts, data)
	return nil
}

// ProblemDetails is the wire form of a refusal, application/problem+json (RFC 9457).
type ProblemDetails struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run states whether the request ran: not_run, ran_in_part or unknown.
	Run fault.Run `json:"run"`
	// Step is where the request was given up.
	Step fault.Step `json:"step"`
	// RetryAfterSeconds repeats the header Retry-After.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// NewProblemDetails returns a refusal's wire form.
func NewProblemDetails(r *fault.Refusal) ProblemDetails {
	return ProblemDetails{
		Title: "request refused", Status: r.Status, Detail: r.Reason, Run: r.Run, Step: r.Step,
		RetryAfterSeconds: int((r.RetryAfter + time.Second - 1) / time.Second),
	}
}

// parseRefusal reads a refusal that another instance has sent.
func parseRefusal(data []byte) error {
	var problem ProblemDetails
	if err := json.Unmarshal(data, &problem); err != nil || problem.Run == "" {
		return errors.Mark(errors.New("no refusal could be read"), errTruncated)
	}
	return &fault.Refusal{
		Run: problem.Run, Step: problem.Step, Status: problem.Status, Reason: problem.Detail,
		RetryAfter: time.Duration(problem.RetryAfterSeconds) * time.Second,
	}
}

// toAnswerFields turns header toAnswerFields into the record's form.
func toAnswerFields(header []dispatch.Field) []answer.Field {
	converted := make([]answer.Field, len(header))
	for i, field := range header {
		converted[i] = answer.Field(field)
	}
	return converted
}
