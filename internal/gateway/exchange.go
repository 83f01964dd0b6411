package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// exchange is one exchange of a request with a target.
type exchange struct {
	inflight *inflightRequest
	ctx      context.Context
	cancel   context.CancelFunc
	grant    *schedule.Grant
	tracked  *observation
	silence  dispatch.SilenceWatch

	startedAt time.Time
	// silenceFrom is when the watch for silence began. It belongs to the goroutine that reads the
	// response.
	silenceFrom time.Time
	// silenceRenewed is set once the watch has been renewed after a pause of this instance.
	silenceRenewed bool
	// counted is set once the attempt counts as sent, silent once its silence has
	// been recorded.
	counted, silent bool

	response *dispatch.PooledResponse
	// closed is set once the response has been closed at the end of the exchange.
	closed bool
	events *receivedEvents
	// ended is set if the stream has ended without a further event.
	ended bool
}

// newExchange returns an exchange with the target of a grant, which belongs to the exchange then.
func (r *inflightRequest) newExchange(ctx context.Context, grant *schedule.Grant, lastEventID string) (x *exchange) {
	defer func() {
		if x == nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	now := r.Clock.Now()
	return &exchange{
		inflight: r, ctx: ctx, cancel: cancel, grant: grant, tracked: r.observe(grant), startedAt: now, silenceFrom: now,
		events: &receivedEvents{lastID: lastEventID},
	}
}

// reply is what a target has sent: the first events of a stream, or another response
// as a whole. err says why there is neither.
type reply struct {
	metadata ResponseMetadata
	stream   bool
	body     []byte
	err      error
	took     time.Duration
}

// run sends the request and reads the reply. It does not change the state of
// the request.
func (x *exchange) run() (p reply) {
	r := x.inflight
	defer func() { p.took = r.Clock.Since(x.startedAt) }()
	x.response, p.err = r.Pool.Send(x.ctx, r.targetRequest(x))
	if p.err != nil {
		return p
	}
	if x.response.Status != http.StatusMisdirectedRequest {
		x.tracked.Heard(x.response.ConnOpenedAt())
	}
	p.metadata = r.Protocol.ParseResponse(x.response.Header)
	x.recordTerms(&p.metadata)
	switch {
	case x.isRejected(p.metadata):
		p.metadata.NotExecuted = true
		x.response.Discard()
	case x.response.Status == http.StatusOK && r.route.Kind == catalog.Streaming && p.metadata.Signed:
		p.stream = true
		p.err = x.readEvents()
	case untrusted(x.response, p.metadata):
		// The body is not read: it may come without end.
		p.err = errUntrusted
	default:
		x.grant.ResponseStarted(r.unlessPaused(r.Clock.Since(x.startedAt), x.startedAt))
		p.body, p.err = x.response.ReadBody(maxBufferedBytes)
	}
	return p
}

// recordTerms records what the target states about the requests that it takes. A
// response that another target at the same address sends states nothing about it;
// that a response states nothing is relied on if it is certainly the target's own.
func (x *exchange) recordTerms(m *ResponseMetadata) {
	if x.response.Status == http.StatusMisdirectedRequest {
		return
	}
	if m.TermsInvalid {
		x.inflight.Logger.Warn("a target states terms that cannot be read", zap.String("target", x.grant.Target.ID),
			zap.String("request", x.inflight.request.AttemptID))
	}
	if !isRejection(x.response.Status) {
		// Only a rejection can ask for rest.
		m.Terms.Rest = 0
	}
	if m.Terms.AreStated() || !m.TermsInvalid && (m.Signed || m.NotExecuted) {
		x.grant.TermsStated(m.Terms)
	}
}

// isRejection reports whether a target turns requests away with the status.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isRejected reports whether the target has not executed the request.
func (x *exchange) isRejected(metadata ResponseMetadata) bool {
	return metadata.NotExecuted || x.response.Status == http.StatusMisdirectedRequest
}

// isSuccess reports whether the reply is worth more than that of another target may
// be.
func (x *exchange) isSuccess(p reply) bool {
	if p.stream {
		return p.err == nil || p.err == io.EOF
	}
	return p.err == nil && !p.metadata.NotExecuted && x.response.Status < http.StatusInternalServerError
}

// countSent counts the attempt as one that may have been executed.
func (r *inflightRequest) countSent(x *exchange) {
	if x.counted {
		return
	}
	x.counted = true
	r.attempts++
	r.possibleRuns++
	r.Counters.SentToTargets.Add(1)
}

// beginSilenceWatch states that the target is waited for from now on.
func (x *exchange) beginSilenceWatch() {
	x.silenceFrom, x.silenceRenewed = x.inflight.Clock.Now(), false
}

// confirmSilence reports whether the target is silent once the time of the watch has passed. After a
// pause of this instance, what the target has sent may not have been read: the target gets the
// same time again, once.
func (x *exchange) confirmSilence() bool {
	if x.silenceRenewed || !x.inflight.spansPause(x.silenceFrom) {
		return true
	}
	x.silenceRenewed = true
	return false
}

// dialSpansPause reports whether an exchange has failed since this instance was paused while the
// connection was being set up. The target may be reached all the same.
func (x *exchange) dialSpansPause(err error) bool {
	var netErr net.Error
	return dispatch.IsNotSent(err) && errors.As(err, &netErr) && netErr.Timeout() && x.inflight.spansPause(x.startedAt)
}

// recordSilence records that the target is silent.
func (x *exchange) recordSilence() {
	if x.silent {
		return
	}
	x.silent = true
	r := x.inflight
	if !r.Pool.PathLost(x.grant.Target.Address) {
		x.grant.Silent()
	}
	r.countSent(x)
	r.Counters.TargetsSilent.Add(1)
	r.log.addStep("silent", x.grant.Target.ID, r.Clock.Since(x.startedAt))
	r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
}

// recordReplaced ends the exchange with a silent target after another one has
// responded.
func (r *inflightRequest) recordReplaced(x *exchange) {
	x.tracked.End(quarantine.Unanswered)
	x.end(schedule.Cancelled)
	r.log.addStep("replaced", x.grant.Target.ID, r.Clock.Since(x.startedAt))
}

// end ends the exchange without a complete response.
func (x *exchange) end(result schedule.Result) { x.finish(x.outcome(result)) }

// outcome returns the outcome of the target's part of the stream.
func (x *exchange) outcome(result schedule.Result) schedule.Outcome {
	if x.events.count == 0 {
		return schedule.Outcome{Result: result}
	}
	tokens, span := x.progress()
	total := x.inflight.unlessPaused(x.events.lastAt.Sub(x.startedAt), x.startedAt)
	return schedule.Outcome{Result: result, TotalTime: total, Tokens: tokens, TokenSpan: span}
}

// progress returns the number of tokens since the first event and the time they took; 0 if that
// is unknown.
func (x *exchange) progress() (tokens int, span time.Duration) {
	tokens, span = x.events.progress(x.inflight.service)
	return tokens, x.inflight.unlessPaused(span, x.events.firstAt)
}

// finish closes the response and ends the grant.
func (x *exchange) finish(outcome schedule.Outcome) {
	if x.response != nil {
		x.response.Close()
		x.closed = true
	}
	x.cancel()
	x.grant.Done(outcome)
}

// abandon releases, after a panic, what the exchange still holds.
func (x *exchange) abandon() {
	defer x.grant.Done(schedule.Outcome{Result: schedule.Cancelled})
	defer x.tracked.End(quarantine.NoEvidence)
	x.cancel()
	if x.response != nil && !x.closed {
		x.response.Close()
	}
}

// discard ends an exchange whose response is not used.
func (x *exchange) discard() {
	x.tracked.End(quarantine.Unanswered)
	x.end(schedule.Cancelled)
}

// targetRequest builds the request to a target.
func (r *inflightRequest) targetRequest(x *exchange) *dispatch.PooledRequest {
	target := x.grant.Target
	metadata := DispatchMetadata{
		TargetID: target.ID, Account: r.accountName(), TimeLeft: r.deadline.Sub(r.Clock.Now()), LastEventID: x.events.lastID,
	}
	return &dispatch.PooledRequest{
		Address: target.Address, Method: r.request.Method, URI: r.request.URI, Body: r.request.Body,
		Header:           append(r.Protocol.DispatchFields(metadata), r.request.Header...),
		RequireFreshConn: !r.route.Retryable(),
		Silence:          x.silence,
		// The target is not to blame for what is missing from now on.
		OnPathLost: func() { x.tracked.End(quarantine.NoEvidence) },
		Match:      r.matchResponse,
		Permit:     func() error { return r.checkTarget(target) },
	}
}

// matchResponse tells whether a response is one to the request. Targets name the request in
// all responses.
func (r *inflightRequest) matchResponse(header http.Header) dispatch.Match {
	switch id := r.Protocol.ParseResponse(header).AttemptID; id {
	case r.request.AttemptID:
		return dispatch.MatchOwn
	case "":
		return dispatch.MatchUnknown
	}
	return dispatch.MatchOther
}

const (
	// responseTimeoutObjectives is the time without a response, in multiples of the
	// objective, after which another target is looked for; minResponseTimeout is its
	// lower bound. Both leave time for another target: callers abandon a stream after
	// four times the objective.
	responseTimeoutObjectives = 2.5
	minResponseTimeout        = time.Second
	// responseTimeoutExpected is the same timeout in multiples of the expected time
	// to the first token.
	responseTimeoutExpected = 1.5
	// gapTimeoutGaps and minGapTimeout are the same for gaps between events.
	gapTimeoutGaps = 3
	minGapTimeout  = 800 * time.Millisecond
)

// responseTimeout returns the time without a byte of the response after which
// another target is looked for; 0 if none may be tried.
func (r *inflightRequest) responseTimeout(expectedTimeToFirst time.Duration) time.Duration {
	if !r.route.Retryable() || r.route.LatencyObjective == 0 || r.usedAttempts()+1 >= r.route.MaxAttempts {
		return 0
	}
	return max(minResponseTimeout, time.Duration(responseTimeoutObjectives*float64(r.route.LatencyObjective)),
		time.Duration(responseTimeoutExpected*float64(expectedTimeToFirst)))
}

// gapTimeout returns the same time between two events; 0 if the stream cannot be
// resumed.
func (r *inflightRequest) gapTimeout() time.Duration {
	if !r.route.Retryable() || r.route.EventGapObjective == 0 || r.usedAttempts() >= r.route.MaxAttempts {
		return 0
	}
	return max(minGapTimeout, gapTimeoutGaps*r.route.EventGapObjective)
}
