package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// likelyStartShare is the part of the shutdown in which requests are still begun that are
	// only likely to end in time. The rest is for them to end.
	likelyStartShare = 0.5
	// tokenTimeMargin and pauseAllowance are added to the time of a stream by its tokens:
	// targets slow down under load, and sound ones fall silent for a second.
	tokenTimeMargin = 1.5
	pauseAllowance  = time.Second
	// longMargin is added to the longest of the usual times of a route.
	longMargin = 1.25
	// stoppingRetryAfter is the Retry-After of requests that are refused since the instance
	// stops: the others can serve them at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// shutdown is the course of a graceful shutdown. A request that would be cut at its end is not
// begun: its caller is told that it has not run, and goes to another instance.
//
// Most requests come in before the balancer has taken the instance out. They are begun if they
// are likely to end in time, since a refusal has its price, too. The few that come later, on
// connections that were open, are begun only if their deadline is in time.
type shutdown struct {
	// signalledAt is when the instance was told to stop, acceptsUntil when it stops accepting
	// connections, and endsAt when the requests that are in flight then will be cancelled.
	signalledAt, acceptsUntil, endsAt time.Time
}

// BeginShutdown states that the instance has been told to stop, until when it accepts
// connections, and when the requests that are in flight then will be cancelled by Shutdown.
func (s *Server) BeginShutdown(acceptsUntil, endsAt time.Time) {
	g := s.gateway
	plan := &shutdown{signalledAt: g.Clock.Now(), acceptsUntil: acceptsUntil, endsAt: endsAt}
	g.shutdown.Store(plan)
	s.callers.handOver()
	g.Clock.AfterFunc(plan.lastLikelyStart().Sub(plan.signalledAt), g.endLikelyStarts)
}

// lastLikelyStart is until when requests are begun that may end too late.
func (p *shutdown) lastLikelyStart() time.Time {
	return p.signalledAt.Add(time.Duration(likelyStartShare * float64(p.endsAt.Sub(p.signalledAt))))
}

// errEndsTooLate refuses a request that the end of the shutdown may cut.
var errEndsTooLate = &refusedError{reason: "the instance is stopping, and the request may take longer than it has left", retryAfter: stoppingRetryAfter}

// checkStart returns errEndsTooLate if the request is not to be begun any more at an instance
// that stops. grant is its place, nil as long as it has none. One that may have run goes on: a
// refusal would not be true.
func (r *inflightRequest) checkStart(grant *schedule.Grant) error {
	plan := r.shutdown.Load()
	if plan == nil || r.possibleRuns > 0 || !r.deadline.After(plan.endsAt) {
		return nil
	}
	now := r.Clock.Now()
	if !r.request.ReceivedAt.Before(plan.acceptsUntil) || !now.Before(plan.lastLikelyStart()) {
		return errEndsTooLate
	}
	if grant == nil {
		return nil
	}
	if took, known := r.likelyDuration(grant); !known || now.Add(took).After(plan.endsAt) {
		return errEndsTooLate
	}
	return nil
}

// likelyDuration returns the time in which the request is likely to end at its target; known is
// unset if nothing tells.
func (r *inflightRequest) likelyDuration(grant *schedule.Grant) (took time.Duration, known bool) {
	if tokens := r.expectedOutputTokens(); tokens > 0 && grant.ExpectedTokenTime > 0 {
		stream := grant.ExpectedTimeToFirst + time.Duration(tokens)*grant.ExpectedTokenTime
		return time.Duration(tokenTimeMargin*float64(stream)) + pauseAllowance, true
	}
	usual := r.durations.usual(r.route.Name, r.Clock.Now())
	return time.Duration(longMargin * float64(usual)), usual > 0
}

// describeStart states what errEndsTooLate is based on.
func (r *inflightRequest) describeStart(grant *schedule.Grant) string {
	plan, now := r.shutdown.Load(), r.Clock.Now()
	took, _ := r.likelyDuration(grant)
	return fmt.Sprintf("%d ms left, %d ms likely (%d tokens, %d us each, the first after %d ms; %d ms usual on the route) at",
		plan.endsAt.Sub(now).Milliseconds(), took.Milliseconds(), r.expectedOutputTokens(), grant.ExpectedTokenTime.Microseconds(),
		grant.ExpectedTimeToFirst.Milliseconds(), r.durations.usual(r.route.Name, now).Milliseconds())
}

// acquire waits for a place, at an instance that stops no longer than the request may be begun.
func (r *inflightRequest) acquire(ctx context.Context) (*schedule.Grant, error) {
	if r.possibleRuns > 0 {
		return r.Placer.Acquire(ctx, r.scheduleRequest())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(r.likelyStarts, func() {
		if r.deadline.After(r.shutdown.Load().endsAt) {
			cancel(errEndsTooLate)
		}
	})()
	grant, err := r.Placer.Acquire(ctx, r.scheduleRequest())
	if err != nil && errors.Is(context.Cause(ctx), errEndsTooLate) {
		return nil, errEndsTooLate
	}
	return grant, err
}

// ConnectionFields returns the open connections by state, and the requests that were received,
// refused and cancelled since the signal to stop, for a log line.
func (s *Server) ConnectionFields() []zap.Field {
	c := s.gateway.Counters
	return []zap.Field{
		zap.Int("connections", s.OpenConnections()), zap.Int64("unused", s.conns.byState[connUnused].Load()), zap.Int64("reading", s.conns.byState[connReading].Load()),
		zap.Int64("serving", s.conns.byState[connServing].Load()), zap.Uint64("received_while_stopping", c.ReceivedWhileStopping.Load()),
		zap.Uint64("refused_as_too_late", c.RefusedTooLate.Load()), zap.Uint64("cancelled_while_stopping", c.CancelledWhileStopping.Load()),
	}
}

// stoppingFields returns how the request came in, relative to the signal to stop; none before
// that.
func (r *inflightRequest) stoppingFields() []zap.Field {
	plan := r.shutdown.Load()
	if plan == nil {
		return nil
	}
	d := r.request.Delivery
	return []zap.Field{
		zap.Int64("received_after_signal_ms", r.request.ReceivedAt.Sub(plan.signalledAt).Milliseconds()),
		zap.Int("connection_request", d.ConnRequest), zap.Int64("connection_age_ms", d.ConnAge.Milliseconds()),
		zap.Int64("read_ms", d.ReadTime.Milliseconds()),
	}
}
