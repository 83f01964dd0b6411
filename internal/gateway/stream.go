package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// errOutOfOrder is returned when the event IDs of a stream are not consecutive.
var errOutOfOrder = errors.New("stream events out of order")

// stream relays the events of a response as they arrive.
type stream struct {
	inflight *inflightRequest
	ctx      context.Context
	cancel   context.CancelFunc

	grant    *schedule.Grant
	tracked  *quarantine.Attempt
	response *dispatch.PooledResponse
	events   *eventReader

	startedAt, firstEventAt, lastEventAt time.Time
	// maxGap is the longest gap between events.
	maxGap time.Duration
	// eventCount is the number of events from the current target.
	eventCount int
	// lastEventID is the ID of the last event read, initially the caller's.
	lastEventID string
	unread      []byte
	// err is the error that interrupted the stream.
	err       error
	completed bool
	closed    bool
}

// openStream waits for the first event and returns the stream. Until then,
// another target can be tried without the caller noticing.
func (r *inflightRequest) openStream(
	ctx context.Context, grant *schedule.Grant, tracked *quarantine.Attempt, response *dispatch.PooledResponse, startedAt time.Time,
) (*Response, bool) {
	s := &stream{
		inflight: r, ctx: ctx, grant: grant, tracked: tracked, response: response, events: newEventReader(response),
		startedAt: startedAt, lastEventID: r.request.LastEventID,
	}
	err := s.readEvents()
	if err == nil || err == io.EOF {
		r.Counters.Streams.Add(1)
		if err == io.EOF {
			s.complete()
		}
		return &Response{Status: response.Status, Header: removeHopByHop(response.Header), Stream: s}, false
	}
	took := r.Clock.Since(startedAt)
	response.Close()
	endBroken(ctx, tracked, err)
	if ctx.Err() != nil {
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.contextDone(ctx, "no event came before the deadline"), false
	}
	r.log.addStep(r.failedStep("no first event", err), grant.Target.ID, took)
	r.log.cause = err
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
	grant.Done(schedule.Outcome{Result: schedule.Failed})
	r.recordOutcome(grant.Target, true, took)
	return r.retryOrFail("the target broke off before the first event")
}

// Read implements io.Reader. Only complete events are returned before an error.
func (s *stream) Read(buffer []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.completed {
			return 0, io.EOF
		}
		if s.err != nil {
			return 0, s.err
		}
		if err := s.advance(); err != nil && len(s.unread) == 0 {
			return 0, err
		}
	}
	n := copy(buffer, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// advance reads the next events and handles the end of the stream.
func (s *stream) advance() error {
	err := s.readEvents()
	switch {
	case err == nil:
		return nil
	case err == io.EOF:
		s.complete()
		return io.EOF
	case s.ctx.Err() != nil:
		s.err = s.ctx.Err()
		return s.err
	}
	endBroken(s.ctx, s.tracked, err)
	if resumed := s.resume(err); resumed {
		return nil
	}
	s.err = err
	return err
}

// readEvents reads the next event and those buffered behind it.
func (s *stream) readEvents() error {
	if s.eventCount > 0 {
		s.response.SetReadTimeout(s.inflight.gapTimeout())
	}
	for {
		e, err := s.events.next()
		if err != nil {
			return err
		}
		if err := s.checkOrder(e); err != nil {
			return err
		}
		s.tracked.Heard(s.response.ConnOpenedAt())
		now := s.inflight.Clock.Now()
		if s.eventCount == 0 {
			s.firstEventAt = now
			s.grant.ResponseStarted(now.Sub(s.startedAt))
		}
		if s.eventCount > 0 {
			s.maxGap = max(s.maxGap, now.Sub(s.lastEventAt))
		}
		s.eventCount++
		s.lastEventAt = now
		if s.eventCount == tokenReportEvents {
			s.grant.TokensReceived(s.progress())
		}
		s.unread = append(s.unread, e.raw...)
		if !s.events.hasBufferedEvent() {
			return nil
		}
	}
}

// checkOrder verifies that events are consecutive, also across targets.
func (s *stream) checkOrder(e event) error {
	if e.id == "" {
		return nil
	}
	if s.lastEventID != "" && !follows(s.lastEventID, e.id) {
		return errors.Wrapf(errOutOfOrder, "%s after %s", e.id, s.lastEventID)
	}
	s.lastEventID = e.id
	return nil
}

// follows reports whether next is the successor of last; IDs that are not
// numbers are not compared.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}

// resume continues the stream at another target after the last event read; it
// reports whether it could.
func (s *stream) resume(cause error) bool {
	r := s.inflight
	s.endAttempt(schedule.Failed)
	r.recordOutcome(s.grant.Target, true, r.Clock.Since(s.startedAt))
	r.log.addStep(r.failedStep("cut after "+s.lastEventID, cause), s.grant.Target.ID, r.Clock.Since(s.startedAt))
	r.log.cause = cause
	r.receivedTokens += s.eventCount * r.service.TokensPerEvent
	for r.route.Resumable && s.lastEventID != "" {
		r.excludedTargets = append(r.excludedTargets, s.grant.Target.Key())
		if r.checkRetry() != nil {
			return false
		}
		grant, _ := r.acquire(s.ctx)
		if grant == nil {
			return false
		}
		if s.resumeAt(grant) {
			r.Counters.StreamsResumed.Add(1)
			return true
		}
	}
	return false
}

// resumeAt requests the rest of the stream from another target.
func (s *stream) resumeAt(grant *schedule.Grant) bool {
	r := s.inflight
	s.grant, s.tracked, s.startedAt, s.eventCount = grant, r.trackAttempt(grant), r.Clock.Now(), 0
	response, err := r.Pool.Send(s.ctx, r.targetRequest(grant.Target, s.lastEventID, grant.ExpectedTimeToFirst))
	if dispatch.IsNotSent(err) {
		r.unreachable++
	} else {
		r.attempts++
		r.Counters.SentToTargets.Add(1)
	}
	if err != nil {
		endBroken(s.ctx, s.tracked, err)
		r.log.addStep("resume failed", grant.Target.ID, r.Clock.Since(s.startedAt))
		grant.Done(schedule.Outcome{Result: schedule.Failed})
		return false
	}
	s.response = response
	metadata := r.Protocol.ParseResponse(response.Header)
	if response.Status != http.StatusOK || !metadata.Signed || metadata.NotExecuted {
		s.tracked.End(quarantine.NoEvidence)
		r.log.addStep("resume refused", grant.Target.ID, r.Clock.Since(s.startedAt))
		s.endAttempt(schedule.Full)
		return false
	}
	s.events = newEventReader(response)
	r.log.addStep("resumed after "+s.lastEventID, grant.Target.ID, r.Clock.Since(s.startedAt))
	return true
}

// complete records the regular end of the stream.
func (s *stream) complete() {
	s.completed = true
	endComplete(s.tracked, s.response, true)
	s.endAttempt(schedule.Complete)
	s.inflight.Counters.Answered.Add(1)
	s.inflight.recordOutcome(s.grant.Target, false, s.lastEventAt.Sub(s.startedAt))
	s.inflight.observeLatency(s.firstEventAt.Sub(s.inflight.request.ReceivedAt))
	s.inflight.log.addStep(fmt.Sprintf("streamed %d events, the first after %d ms, with pauses of at most %d ms, from",
		s.eventCount, s.firstEventAt.Sub(s.startedAt).Milliseconds(), s.maxGap.Milliseconds()), s.grant.Target.ID, s.lastEventAt.Sub(s.startedAt))
}

// endAttempt closes the response of the current target and ends its grant.
func (s *stream) endAttempt(result schedule.Result) {
	s.response.Close()
	tokens, span := s.progress()
	s.grant.Done(schedule.Outcome{
		Result: result, TotalTime: s.lastEventAt.Sub(s.startedAt), Tokens: tokens, TokenSpan: span,
	})
}

// tokenReportEvents is the number of events after which a stream reports the
// tokens received so far, before it ends.
const tokenReportEvents = 8

// progress returns the number of tokens since the first event and the time they
// took.
func (s *stream) progress() (tokens int, span time.Duration) {
	return max(0, s.eventCount-1) * s.inflight.service.TokensPerEvent, s.lastEventAt.Sub(s.firstEventAt)
}

// Close implements io.Closer. It cancels an unfinished stream and writes the
// log line.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	status, reason := s.finalStatus()
	switch status {
	case http.StatusGatewayTimeout:
		s.inflight.Counters.TimedOut.Add(1)
	case http.StatusBadGateway:
		s.inflight.Counters.Failed.Add(1)
		s.inflight.Counters.StreamsCut.Add(1)
	case statusCallerGone:
		s.inflight.Counters.CallerGone.Add(1)
	}
	if !s.completed {
		s.tracked.End(quarantine.Unanswered)
		s.endAttempt(schedule.Cancelled)
	}
	s.cancel()
	s.inflight.log.write(s.inflight, status, reason)
	return nil
}

// finalStatus returns the status that is logged for the stream and, unless it is
// complete, the reason. The caller has received the header before.
func (s *stream) finalStatus() (status int, reason string) {
	switch {
	case s.completed:
		return http.StatusOK, ""
	case errors.Is(s.err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout, "the deadline passed during the stream"
	case s.err == nil, errors.Is(s.err, context.Canceled):
		return statusCallerGone, "the caller has gone"
	}
	return http.StatusBadGateway, "the stream was cut and could not be continued"
}
