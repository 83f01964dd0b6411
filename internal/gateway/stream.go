package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

var (
	// errOutOfOrder is returned when the event IDs of a stream are not consecutive.
	errOutOfOrder = errors.New("stream events out of order")
	// errNoEvents is returned for a stream that ends with its connection before its
	// first event.
	errNoEvents = errors.New("event stream without a framing ended before its first event")
)

// legEvents are the events of a stream that one target has sent.
type legEvents struct {
	reader *eventReader
	// lastID is the ID of the last event read, initially the one after which the
	// target was to begin.
	lastID string
	// unread holds the events that were read and not passed on yet.
	unread []byte
	count  int
	// identified is the number of events with an ID, of this target and of those
	// before it, unidentifiedBytes the size of the events without one since the last
	// of them.
	identified, unidentifiedBytes int

	firstAt, lastAt time.Time
	// maxGap is the longest gap between events.
	maxGap time.Duration
}

// readEvents reads the next event and those buffered behind it. It returns io.EOF
// at the regular end of the stream.
func (l *leg) readEvents() error {
	events := l.events
	if events.reader == nil {
		events.reader = newEventReader(l.response, l.response.Reserve)
	}
	for {
		e, err := events.reader.next()
		if err == io.EOF && events.count == 0 && !l.response.IsFramed() {
			return errNoEvents
		}
		if err != nil {
			return err
		}
		if err := events.check(e, l.inflight.request.MaxOutputTokens); err != nil {
			return err
		}
		l.tracked.Heard(l.response.ConnOpenedAt())
		now := l.inflight.Clock.Now()
		if events.count == 0 {
			l.grant.ResponseStarted(now.Sub(l.startedAt))
		}
		events.add(e, now)
		if events.count == tokenReportEvents {
			l.grant.TokensReceived(events.progress(l.inflight.service))
		}
		if !events.reader.hasBufferedEvent() {
			return nil
		}
	}
}

// check verifies that events are consecutive, also across targets, and that there
// are no more than the caller's limit on output tokens allows; 0 means no limit.
func (e *legEvents) check(next event, maxTokens int) error {
	if next.id == "" {
		if e.unidentifiedBytes += len(next.raw); e.unidentifiedBytes > maxEventBytes {
			return errors.Wrap(errEndless, "events without IDs")
		}
		return nil
	}
	e.unidentifiedBytes = 0
	e.identified++
	if maxTokens > 0 && e.identified > maxTokens+maxUncountedEvents {
		return errors.Wrapf(errTooManyEvents, "more events than %d output tokens", maxTokens)
	}
	if e.lastID != "" && !follows(e.lastID, next.id) {
		return errors.Wrapf(errOutOfOrder, "%s after %s", next.id, e.lastID)
	}
	e.lastID = next.id
	return nil
}

// add adds an event that was read at the given time.
func (e *legEvents) add(next event, now time.Time) {
	if e.count == 0 {
		e.firstAt = now
	} else {
		e.maxGap = max(e.maxGap, now.Sub(e.lastAt))
	}
	e.count++
	e.lastAt = now
	e.unread = append(e.unread, next.raw...)
}

// follows reports whether next is the successor of last; IDs that are not
// numbers are not compared.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}

// tokenReportEvents is the number of events after which a stream reports the
// tokens received so far, before it ends.
const tokenReportEvents = 8

// progress returns the number of tokens since the first event and the time they
// took.
func (e *legEvents) progress(service *catalog.Service) (tokens int, span time.Duration) {
	return max(0, e.count-1) * service.TokensPerEvent, e.lastAt.Sub(e.firstAt)
}

// outcome returns the outcome of the target's part of the stream.
func (l *leg) outcome(result schedule.Result) schedule.Outcome {
	if l.events.count == 0 {
		return schedule.Outcome{Result: result}
	}
	tokens, span := l.events.progress(l.inflight.service)
	return schedule.Outcome{Result: result, TotalTime: l.events.lastAt.Sub(l.startedAt), Tokens: tokens, TokenSpan: span}
}

// stream relays the events of a response as they arrive. It goes on at another
// target if the current one breaks off, or is silent until another one has begun.
type stream struct {
	inflight *inflightRequest
	ctx      context.Context
	cancel   context.CancelFunc
	leg      *leg
	// earlierEvents is the number of events from former targets.
	earlierEvents int
	firstEventAt  time.Time
	// onSilence is called while the target sends nothing; nil if the stream cannot be
	// resumed. takeover is nil unless that has happened since the last event.
	onSilence func()
	takeover  *takeover[*leg]

	// err is the error that interrupted the stream.
	err       error
	completed bool
	closed    bool
}

// openStream returns the stream whose first events have been read. Until then,
// another target can be tried without the caller noticing.
func (r *inflightRequest) openStream(ctx context.Context, l *leg, p reply) attemptResult {
	if p.err == nil || p.err == io.EOF {
		s := &stream{inflight: r, ctx: ctx, leg: l, firstEventAt: l.events.firstAt}
		s.onSilence = s.searchTakeover
		if p.err == io.EOF {
			s.complete()
		}
		return attemptResult{response: &Response{Status: l.response.Status, Header: removeHopByHop(l.response.Header), Stream: s}}
	}
	endBroken(ctx, l.tracked, p.err)
	if ctx.Err() != nil {
		l.end(schedule.Cancelled)
		return attemptResult{reason: "no event came before the deadline"}
	}
	r.log.addStep("no first event", l.grant.Target.ID, p.took)
	r.log.cause = p.err
	r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
	l.end(schedule.Failed)
	return r.failedAttempt("the target broke off before the first event")
}

// Read implements io.Reader. Only complete events are returned before an error.
func (s *stream) Read(buffer []byte) (int, error) {
	for len(s.leg.events.unread) == 0 {
		if s.completed {
			return 0, io.EOF
		}
		if s.err != nil {
			return 0, s.err
		}
		if err := s.advance(); err != nil && len(s.leg.events.unread) == 0 {
			return 0, err
		}
	}
	n := copy(buffer, s.leg.events.unread)
	s.leg.events.unread = s.leg.events.unread[n:]
	return n, nil
}

// advance reads the next events and handles the end of the stream.
func (s *stream) advance() error {
	s.leg.response.WatchSilence(dispatch.SilenceWatch{After: s.inflight.gapTimeout(), OnSilence: s.onSilence})
	err := s.leg.readEvents()
	t := s.takeover
	s.takeover = nil
	if next, replaced := t.settle(err == nil || err == io.EOF); replaced {
		s.inflight.recordReplaced(s.leg)
		return s.continueAt(next)
	}
	switch {
	case err == nil:
		return nil
	case err == io.EOF:
		s.complete()
		return io.EOF
	case s.ctx.Err() != nil:
		return s.interrupt()
	}
	s.recordBroken(err)
	if !errors.Is(err, errTooManyEvents) {
		if next, ok := s.inflight.searchLeg(s.ctx, s.position()); ok {
			next.events.unread = append(s.leg.events.unread, next.events.unread...)
			return s.continueAt(next)
		}
	}
	s.err = err
	return err
}

// interrupt records that the context ended the stream.
func (s *stream) interrupt() error {
	s.err = context.Cause(s.ctx)
	return s.err
}

// searchTakeover looks for another target while the current one is silent.
func (s *stream) searchTakeover() {
	if s.takeover == nil {
		position := s.position()
		s.takeover = &takeover[*leg]{
			ctx: s.ctx, cancelCurrent: s.leg.cancel, onStart: s.leg.recordSilence, discard: (*leg).discard,
			search: func(ctx context.Context) (*leg, bool) { return s.inflight.searchLeg(ctx, position) },
		}
	}
	s.takeover.start()
}

// streamPosition is how much of a stream has been received.
type streamPosition struct {
	lastEventID string
	// events is the number of events, identified that of those with an ID.
	events, identified int
}

func (s *stream) position() streamPosition {
	events := s.leg.events
	return streamPosition{events.lastID, s.earlierEvents + events.count, events.identified}
}

// continueAt goes on with the stream at another target.
func (s *stream) continueAt(next *leg) error {
	s.earlierEvents += s.leg.events.count
	s.leg = next
	s.inflight.Counters.StreamsResumed.Add(1)
	if next.ended {
		s.complete()
		return io.EOF
	}
	return nil
}

// recordBroken records that the target broke off the stream.
func (s *stream) recordBroken(cause error) {
	r, l := s.inflight, s.leg
	endBroken(s.ctx, l.tracked, cause)
	l.end(schedule.Failed)
	took := r.Clock.Since(l.startedAt)
	r.log.addStep("cut after "+l.events.lastID, l.grant.Target.ID, took)
	r.log.cause = cause
	r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
}

// searchLeg asks other targets for the rest of the stream until one sends its first
// events, or its end; see takeover.
func (r *inflightRequest) searchLeg(ctx context.Context, from streamPosition) (*leg, bool) {
	if !r.route.Resumable || from.lastEventID == "" {
		return nil, false
	}
	r.receivedTokens = from.events * r.service.TokensPerEvent
	for {
		grant, err := r.placeRetry(ctx)
		if err != nil {
			break
		}
		if l, ok := r.resumeAt(ctx, grant, from); ok {
			return l, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, false
}

// resumeAt requests the rest of a stream from another target, and waits until it
// has begun. While that is silent, too, a further one is looked for.
func (r *inflightRequest) resumeAt(ctx context.Context, grant *schedule.Grant, from streamPosition) (*leg, bool) {
	l := r.newLeg(ctx, grant, from.lastEventID)
	l.events.identified = from.identified
	var t *takeover[*leg]
	l.silence = dispatch.SilenceWatch{After: r.responseTimeout(grant.ExpectedTimeToFirst), OnSilence: func() {
		if t == nil {
			t = &takeover[*leg]{
				ctx: ctx, cancelCurrent: l.cancel, onStart: l.recordSilence, discard: (*leg).discard,
				search: func(ctx context.Context) (*leg, bool) { return r.searchLeg(ctx, from) },
			}
		}
		t.start()
	}}
	p := l.exchange()
	if next, replaced := t.settle(p.stream && (p.err == nil || p.err == io.EOF)); replaced {
		r.recordReplaced(l)
		return next, true
	}
	if dispatch.IsNotSent(p.err) {
		r.unreachable++
	} else {
		r.countSent(l)
	}
	if p.stream && (p.err == nil || p.err == io.EOF) {
		l.ended = p.err == io.EOF
		r.log.addStep("resumed after "+from.lastEventID, grant.Target.ID, p.took)
		return l, true
	}
	if ctx.Err() != nil {
		l.discard()
		r.log.addStep("resume cancelled", grant.Target.ID, p.took)
		return nil, false
	}
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
	if p.err != nil {
		endBroken(ctx, l.tracked, p.err)
		r.log.addStep("resume failed", grant.Target.ID, p.took)
		l.end(schedule.Failed)
		return nil, false
	}
	l.tracked.End(quarantine.NoEvidence)
	r.log.addStep("resume refused", grant.Target.ID, p.took)
	l.end(schedule.Full)
	return nil, false
}

// discard ends an exchange whose response is not used.
func (l *leg) discard() {
	l.tracked.End(quarantine.Unanswered)
	l.end(schedule.Cancelled)
}

// complete records the regular end of the stream.
func (s *stream) complete() {
	s.completed = true
	r, l, events := s.inflight, s.leg, s.leg.events
	endComplete(l.tracked, l.response)
	l.end(schedule.Complete)
	r.log.addStep(fmt.Sprintf("streamed %d events, the first after %d ms, with pauses of at most %d ms, from",
		events.count, events.firstAt.Sub(l.startedAt).Milliseconds(), events.maxGap.Milliseconds()), l.grant.Target.ID, events.lastAt.Sub(l.startedAt))
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
	case http.StatusOK:
		s.inflight.Counters.Answered.Add(1)
		s.inflight.observeLatency(s.firstEventAt.Sub(s.inflight.request.ReceivedAt))
	case http.StatusGatewayTimeout:
		s.inflight.Counters.TimedOut.Add(1)
	case http.StatusBadGateway:
		s.inflight.Counters.Failed.Add(1)
		s.inflight.Counters.StreamsCut.Add(1)
	case statusCallerGone:
		s.inflight.Counters.CallerGone.Add(1)
	}
	if !s.completed {
		s.leg.discard()
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
	case errors.Is(s.err, errStopping):
		return http.StatusBadGateway, errStopping.Error()
	case s.err == nil, errors.Is(s.err, context.Canceled):
		return statusCallerGone, "the caller has gone"
	}
	return http.StatusBadGateway, "the stream was cut and could not be continued"
}
