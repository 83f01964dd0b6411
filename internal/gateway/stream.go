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
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// errOutOfOrder means that a stream's events do not follow each other.
var errOutOfOrder = errors.New("the stream's events are out of order")

// stream passes the events of an answer on as they come.
type stream struct {
	run    *run
	ctx    context.Context
	cancel context.CancelFunc

	grant  *schedule.Grant
	reply  *dispatch.PooledResponse
	events *eventReader

	started, first, latest time.Time
	// gap is the longest pause between events.
	gap time.Duration
	// count is the number of events of the present target.
	count int
	// last is the id of the last event passed on; "" before the first.
	last    string
	pending []byte
	// failed is why the stream was cut.
	failed error
	ended  bool
	closed bool
}

// openStream waits for the first event, until which another target can still
// take over unnoticed, and returns the stream.
func (r *run) openStream(
	ctx context.Context, grant *schedule.Grant, reply *dispatch.PooledResponse, started time.Time,
) (*Response, bool) {
	s := &stream{
		run: r, ctx: ctx, grant: grant, reply: reply, events: newEventReader(reply),
		started: started, last: r.call.LastEventID,
	}
	err := s.fetch()
	if err == nil || err == io.EOF {
		r.Counters.Streams.Add(1)
		if err == io.EOF {
			s.complete()
		}
		return &Response{Status: reply.Status, Header: endToEnd(reply.Header), Stream: s}, false
	}
	took := r.Clock.Since(started)
	reply.Close()
	if ctx.Err() != nil {
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.ended(ctx, "no event came before the deadline"), false
	}
	r.trail.add("no first event", grant.Target.ID, took)
	r.trail.err = err
	r.avoid = append(r.avoid, grant.Target.Key())
	grant.Done(schedule.Outcome{Result: schedule.Failed})
	r.countForVersion(grant.Target, true, took)
	return r.afterFailure("the target broke off before the first event")
}

// Read implements io.Reader; it returns whole events.
func (s *stream) Read(buffer []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if s.failed != nil {
			return 0, s.failed
		}
		if err := s.advance(); err != nil && len(s.pending) == 0 {
			return 0, err
		}
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance fetches what comes next and deals with the end.
func (s *stream) advance() error {
	err := s.fetch()
	switch {
	case err == nil:
		return nil
	case err == io.EOF:
		s.complete()
		return io.EOF
	case s.ctx.Err() != nil:
		s.failed = s.ctx.Err()
		return s.failed
	}
	if resumed := s.resume(err); resumed {
		return nil
	}
	s.failed = err
	return err
}

// fetch reads the next event and those that have come with it.
func (s *stream) fetch() error {
	if s.count > 0 {
		s.reply.SetReadTimeout(s.run.gapPatience())
	}
	for {
		e, err := s.events.next()
		if err != nil {
			return err
		}
		if err := s.check(e); err != nil {
			return err
		}
		now := s.run.Clock.Now()
		if s.count == 0 {
			s.first = now
			s.grant.First(now.Sub(s.started))
		}
		if s.count > 0 {
			s.gap = max(s.gap, now.Sub(s.latest))
		}
		s.count++
		s.latest = now
		if s.count == paceEvents {
			s.grant.Pace(s.soFar())
		}
		s.pending = append(s.pending, e.raw...)
		if !s.events.buffered() {
			return nil
		}
	}
}

// check keeps the order of events, also across targets.
func (s *stream) check(e event) error {
	if e.id == "" {
		return nil
	}
	if s.last != "" && !follows(s.last, e.id) {
		return errors.Wrapf(errOutOfOrder, "%s after %s", e.id, s.last)
	}
	s.last = e.id
	return nil
}

// follows reports whether an id is the next after another; ids that are not
// numbers are taken as they come.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}

// resume continues the stream at another target after the last event that was
// passed on.
func (s *stream) resume(cause error) bool {
	r := s.run
	s.release(schedule.Failed)
	r.countForVersion(s.grant.Target, true, r.Clock.Since(s.started))
	r.trail.add("cut after "+s.last, s.grant.Target.ID, r.Clock.Since(s.started))
	r.trail.err = cause
	for r.route.Resumable && s.last != "" {
		r.avoid = append(r.avoid, s.grant.Target.Key())
		if r.mayRepeat() != nil {
			return false
		}
		grant, _ := r.acquire(s.ctx)
		if grant == nil {
			return false
		}
		if s.reopen(grant) {
			r.Counters.StreamsResumed.Add(1)
			return true
		}
	}
	return false
}

// reopen asks another target for the rest of the stream.
func (s *stream) reopen(grant *schedule.Grant) bool {
	r := s.run
	s.grant, s.started, s.count = grant, r.Clock.Now(), 0
	reply, err := r.Pool.Send(s.ctx, r.exchange(grant.Target, s.last, grant.Expected))
	if dispatch.IsNotSent(err) {
		r.unreached++
	} else {
		r.sent++
		r.Counters.SentToTargets.Add(1)
	}
	if err != nil {
		r.trail.add("resume failed", grant.Target.ID, r.Clock.Since(s.started))
		grant.Done(schedule.Outcome{Result: schedule.Failed})
		return false
	}
	s.reply = reply
	stated := r.Protocol.ParseResponse(reply.Header)
	if reply.Status != http.StatusOK || !stated.Signed || stated.NotExecuted {
		r.trail.add("resume refused", grant.Target.ID, r.Clock.Since(s.started))
		s.release(schedule.Full)
		return false
	}
	s.events = newEventReader(reply)
	r.trail.add("resumed after "+s.last, grant.Target.ID, r.Clock.Since(s.started))
	return true
}

// complete ends a stream that came whole.
func (s *stream) complete() {
	s.ended = true
	s.release(schedule.Complete)
	s.run.Counters.Answered.Add(1)
	s.run.countForVersion(s.grant.Target, false, s.latest.Sub(s.started))
	s.run.observe(s.first.Sub(s.run.call.ReceivedAt))
	s.run.trail.add(fmt.Sprintf("streamed %d events, the first after %d ms, with pauses of at most %d ms, from",
		s.count, s.first.Sub(s.started).Milliseconds(), s.gap.Milliseconds()), s.grant.Target.ID, s.latest.Sub(s.started))
}

// release ends the exchange with the present target.
func (s *stream) release(result schedule.Result) {
	s.reply.Close()
	tokens, span := s.soFar()
	s.grant.Done(schedule.Outcome{
		Result: result, Whole: s.latest.Sub(s.started), Tokens: tokens, Span: span,
	})
}

// paceEvents is the number of events after which a stream tells the pace of
// its target while it goes on.
const paceEvents = 8

// soFar returns how many tokens have come since the first event, and in what
// time.
func (s *stream) soFar() (tokens int, span time.Duration) {
	return max(0, s.count-1) * s.run.service.TokensPerEvent, s.latest.Sub(s.first)
}

// Close implements io.Closer: it ends what still runs for the caller.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	status, reason := http.StatusOK, ""
	if !s.ended {
		status, reason = statusCallerGone, "the caller has gone"
		if s.failed != nil {
			status, reason = http.StatusBadGateway, "the stream was cut and could not be continued"
			s.run.Counters.Failed.Add(1)
		} else {
			s.run.Counters.CallerGone.Add(1)
		}
		s.release(schedule.Cancelled)
	}
	s.cancel()
	s.run.trail.log(s.run, status, reason)
	return nil
}
