package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// stream relays the events of a response as they arrive. It goes on at another
// target if the current one breaks off, or is silent until another one has begun.
type stream struct {
	inflight *inflightRequest
	ctx      context.Context
	cancel   context.CancelFunc
	// current is the exchange with the target that the events come from.
	current *exchange
	// earlierEvents is the number of events from former targets.
	earlierEvents int
	firstEventAt  time.Time
	// onSilence is called while the target sends nothing; nil if the stream cannot be
	// resumed. takeover is nil unless that has happened since the last event.
	onSilence func()
	takeover  *takeover[*exchange]

	// err is the error that interrupted the stream.
	err       error
	completed bool
	closed    bool
	// exchangeEnded is set once the unfinished exchange with the target has been ended.
	exchangeEnded bool
	// callerErr is the error that ended the writing to the caller.
	callerErr error
}

// openStream returns the stream whose first events have been read. Until then,
// another target can be tried without the caller noticing.
func (r *inflightRequest) openStream(ctx context.Context, x *exchange, p reply) attemptResult {
	if p.err == nil || p.err == io.EOF {
		s := &stream{inflight: r, ctx: ctx, current: x, firstEventAt: x.events.firstAt}
		s.onSilence = s.searchTakeover
		if p.err == io.EOF {
			s.complete()
		}
		return attemptResult{response: &Response{Status: x.response.Status, Header: removeHopByHop(x.response.Header), Stream: s}}
	}
	pathLost := r.isPathLost(ctx, x, p.err)
	endBroken(ctx, x.tracked, p.err, pathLost)
	if ctx.Err() != nil {
		x.end(schedule.Cancelled)
		return attemptResult{reason: "no event came before the deadline"}
	}
	r.log.addStep("no first event", x.grant.Target.ID, p.took)
	r.log.cause = p.err
	if pathLost {
		x.end(schedule.Cancelled)
		return r.pathLostAttempt(false)
	}
	r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
	x.end(schedule.Failed)
	return r.failedAttempt("the target broke off before the first event")
}

// Read implements io.Reader. Only complete events are returned before an error.
func (s *stream) Read(buffer []byte) (int, error) {
	for len(s.current.events.unread) == 0 {
		if s.completed {
			return 0, io.EOF
		}
		if s.err != nil {
			return 0, s.err
		}
		if err := s.advance(); err != nil && len(s.current.events.unread) == 0 {
			return 0, err
		}
	}
	n := copy(buffer, s.current.events.unread)
	s.current.events.unread = s.current.events.unread[n:]
	return n, nil
}

// advance reads the next events and handles the end of the stream.
func (s *stream) advance() error {
	s.current.beginSilenceWatch()
	s.current.response.WatchSilence(dispatch.SilenceWatch{After: s.inflight.gapTimeout(), OnSilence: s.onSilence})
	err := s.current.readEvents()
	t := s.takeover
	s.takeover = nil
	if next, replaced := t.settle(err == nil || err == io.EOF); replaced {
		s.inflight.recordReplaced(s.current)
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
		if next, ok := s.inflight.searchContinuation(s.ctx, s.position()); ok {
			next.events.unread = append(s.current.events.unread, next.events.unread...)
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
	if !s.current.confirmSilence() {
		return
	}
	if s.takeover == nil {
		position := s.position()
		s.takeover = &takeover[*exchange]{
			ctx: s.ctx, logger: s.inflight.Logger, cancelCurrent: s.current.cancel, onStart: s.current.recordSilence, discard: (*exchange).discard,
			search: func(ctx context.Context) (*exchange, bool) { return s.inflight.searchContinuation(ctx, position) },
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
	events := s.current.events
	return streamPosition{events.lastID, s.earlierEvents + events.count, events.identified}
}

// continueAt goes on with the stream at another target.
func (s *stream) continueAt(next *exchange) error {
	s.earlierEvents += s.current.events.count
	s.current = next
	s.inflight.Counters.StreamsResumed.Add(1)
	if next.ended {
		s.complete()
		return io.EOF
	}
	return nil
}

// recordBroken records that the target broke off the stream.
func (s *stream) recordBroken(cause error) {
	r, x := s.inflight, s.current
	pathLost := r.isPathLost(s.ctx, x, cause)
	endBroken(s.ctx, x.tracked, cause, pathLost)
	if pathLost {
		r.lostAttempts++
		x.end(schedule.Cancelled)
	} else {
		x.end(schedule.Failed)
	}
	took := r.Clock.Since(x.startedAt)
	r.log.addStep("cut after "+x.events.lastID, x.grant.Target.ID, took)
	r.log.cause = cause
	if !pathLost {
		r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
	}
}

// searchContinuation asks other targets for the rest of the stream until one sends its first
// events, or its end; see takeover.
func (r *inflightRequest) searchContinuation(ctx context.Context, from streamPosition) (*exchange, bool) {
	if !r.route.Resumable || from.lastEventID == "" {
		return nil, false
	}
	r.receivedTokens = from.events * r.service.TokensPerEvent
	for {
		grant, err := r.placeRetry(ctx)
		if err != nil {
			break
		}
		if x, ok := r.resumeAt(ctx, grant, from); ok {
			return x, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, false
}

// resumeAt requests the rest of a stream from another target, and waits until it
// has begun. While that is silent, too, a further one is looked for.
func (r *inflightRequest) resumeAt(ctx context.Context, grant *schedule.Grant, from streamPosition) (next *exchange, ok bool) {
	x := r.newExchange(ctx, grant, from.lastEventID)
	x.events.identified = from.identified
	var t *takeover[*exchange]
	concluded := false
	defer func() {
		if !concluded {
			x.abandon()
			t.abandon()
		}
	}()
	x.silence = dispatch.SilenceWatch{After: r.responseTimeout(grant.ExpectedTimeToFirst), OnSilence: func() {
		if !x.confirmSilence() {
			return
		}
		if t == nil {
			t = &takeover[*exchange]{
				ctx: ctx, logger: r.Logger, cancelCurrent: x.cancel, onStart: x.recordSilence, discard: (*exchange).discard,
				search: func(ctx context.Context) (*exchange, bool) { return r.searchContinuation(ctx, from) },
			}
		}
		t.start()
	}}
	p := x.run()
	if next, ok = t.settle(p.stream && (p.err == nil || p.err == io.EOF)); ok {
		r.recordReplaced(x)
	} else if r.concludeResume(ctx, x, p, from) {
		next, ok = x, true
	}
	concluded = true
	return next, ok
}

// concludeResume evaluates what a target has sent that was asked for the rest of a stream. It
// reports whether the stream goes on there; if not, the exchange has been ended.
func (r *inflightRequest) concludeResume(ctx context.Context, x *exchange, p reply, from streamPosition) bool {
	grant := x.grant
	if r.endEvacuated(ctx, x, p.err) {
		return false
	}
	if dispatch.IsNotSent(p.err) {
		r.unreachable++
	} else {
		r.countSent(x)
	}
	if p.stream && (p.err == nil || p.err == io.EOF) {
		x.ended = p.err == io.EOF
		r.log.addStep("resumed after "+from.lastEventID, grant.Target.ID, p.took)
		return true
	}
	if ctx.Err() != nil {
		x.discard()
		r.log.addStep("resume cancelled", grant.Target.ID, p.took)
		return false
	}
	if p.err != nil {
		r.recordResumeError(ctx, x, p)
		return false
	}
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
	x.tracked.End(quarantine.NoEvidence)
	r.log.addStep("resume refused", grant.Target.ID, p.took)
	x.end(schedule.Full)
	return false
}

// recordResumeError records that a target did not begin with the rest of a stream.
func (r *inflightRequest) recordResumeError(ctx context.Context, x *exchange, p reply) {
	pathLost := r.isPathLost(ctx, x, p.err)
	endBroken(ctx, x.tracked, p.err, pathLost)
	r.log.addStep("resume failed", x.grant.Target.ID, p.took)
	if pathLost {
		if !dispatch.IsNotSent(p.err) {
			r.lostAttempts++
		}
		x.end(schedule.Cancelled)
		return
	}
	if x.dialSpansPause(p.err) {
		x.end(schedule.Cancelled)
		return
	}
	r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
	x.end(schedule.Failed)
}

// complete records the regular end of the stream.
func (s *stream) complete() {
	s.completed = true
	r, x, events := s.inflight, s.current, s.current.events
	endComplete(x.tracked, x.response)
	x.end(schedule.Complete)
	r.log.addStep(fmt.Sprintf("streamed %d events, the first after %d ms, with pauses of at most %d ms, from",
		events.count, events.firstAt.Sub(x.startedAt).Milliseconds(), events.maxGap.Milliseconds()), x.grant.Target.ID, events.lastAt.Sub(x.startedAt))
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
	if errors.Is(s.err, errStopping) {
		s.inflight.Counters.CancelledWhileStopping.Add(1)
	}
	s.endExchange()
	s.cancel()
	s.inflight.observeDuration()
	s.inflight.log.write(s.inflight, status, reason, true)
	return nil
}

// endExchange ends the exchange with the target unless the stream is complete.
func (s *stream) endExchange() {
	if !s.completed && !s.exchangeEnded {
		s.exchangeEnded = true
		s.current.discard()
		s.inflight.log.addStep(fmt.Sprintf("ended after %d events, the last one %s, from", s.position().events, s.position().lastEventID),
			s.current.grant.Target.ID, s.inflight.Clock.Since(s.current.startedAt))
	}
}

// finalStatus returns the status that is logged for the stream and, unless it is
// complete, the reason. The caller has received the header before.
func (s *stream) finalStatus() (status int, reason string) {
	switch {
	case errors.IsAny(s.err, errCallerStalled, errCallerTooSlow, errCallerBlocks):
		return statusCallerGone, s.err.Error()
	case s.callerErr != nil:
		return statusCallerGone, s.callerErr.Error()
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
