package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// attemptResult is what became of an attempt. Without a response, reason says why,
// and retry whether another target may be tried.
type attemptResult struct {
	response *Response
	retry    bool
	reason   string
}

// attempt sends the request to the target of the grant. While that is silent,
// another target is looked for.
func (r *inflightRequest) attempt(ctx context.Context, grant *schedule.Grant) attemptResult {
	l := r.newLeg(ctx, grant, r.request.LastEventID)
	var t *takeover[*Response]
	l.silence = dispatch.SilenceWatch{After: r.responseTimeout(grant.ExpectedTimeToFirst), OnSilence: func() {
		if t == nil {
			t = &takeover[*Response]{
				ctx: ctx, cancelCurrent: l.cancel, onStart: l.recordSilence, search: r.searchResponse, discard: (*Response).discard,
			}
		}
		t.start()
	}}
	reply := l.exchange()
	if response, replaced := t.settle(l.isSuccess(reply)); replaced {
		r.recordReplaced(l)
		return attemptResult{response: response}
	}
	return r.conclude(ctx, l, reply)
}

// searchResponse tries other targets until one responds well; see takeover.
func (r *inflightRequest) searchResponse(ctx context.Context) (*Response, bool) {
	for {
		grant, err := r.placeRetry(ctx)
		if err != nil {
			break
		}
		result := r.attempt(ctx, grant)
		if result.response != nil {
			if result.response.Status < http.StatusInternalServerError {
				return result.response, true
			}
			break
		}
		if ctx.Err() != nil || !result.retry {
			break
		}
	}
	return nil, false
}

// leg is one exchange of a request with a target.
type leg struct {
	inflight *inflightRequest
	ctx      context.Context
	cancel   context.CancelFunc
	grant    *schedule.Grant
	tracked  *observation
	silence  dispatch.SilenceWatch

	startedAt time.Time
	// counted is set once the attempt counts as sent, silent once its silence has
	// been recorded.
	counted, silent bool

	response *dispatch.PooledResponse
	events   *legEvents
	// ended is set if the stream has ended without a further event.
	ended bool
}

func (r *inflightRequest) newLeg(ctx context.Context, grant *schedule.Grant, lastEventID string) *leg {
	ctx, cancel := context.WithCancel(ctx)
	return &leg{
		inflight: r, ctx: ctx, cancel: cancel, grant: grant, tracked: r.observe(grant), startedAt: r.Clock.Now(),
		events: &legEvents{lastID: lastEventID},
	}
}

// reply is what a target sent before its response, or the failure of the exchange,
// is known: the first events of a stream or another response as a whole.
type reply struct {
	metadata ResponseMetadata
	stream   bool
	body     []byte
	err      error
	took     time.Duration
}

// isRejected reports whether the target has not executed the request.
func (l *leg) isRejected(metadata ResponseMetadata) bool {
	return metadata.NotExecuted || l.response.Status == http.StatusMisdirectedRequest
}

// isSuccess reports whether the reply is worth more than that of another target may
// be.
func (l *leg) isSuccess(p reply) bool {
	if p.stream {
		return p.err == nil || p.err == io.EOF
	}
	return p.err == nil && !p.metadata.NotExecuted && l.response.Status < http.StatusInternalServerError
}

// exchange sends the request and reads the reply. It does not change the state of
// the request.
func (l *leg) exchange() reply {
	r := l.inflight
	var p reply
	defer func() { p.took = r.Clock.Since(l.startedAt) }()
	l.response, p.err = r.Pool.Send(l.ctx, r.targetRequest(l))
	if p.err != nil {
		return p
	}
	if l.response.Status != http.StatusMisdirectedRequest {
		l.tracked.Heard(l.response.ConnOpenedAt())
	}
	p.metadata = r.Protocol.ParseResponse(l.response.Header)
	switch {
	case l.isRejected(p.metadata):
		p.metadata.NotExecuted = true
		l.response.Discard()
	case l.response.Status == http.StatusOK && r.route.Kind == catalog.Streaming && p.metadata.Signed:
		p.stream = true
		p.err = l.readEvents()
	case untrusted(l.response, p.metadata):
		// The body is not read: it may come without end.
		p.err = errUntrusted
	default:
		l.grant.ResponseStarted(r.Clock.Since(l.startedAt))
		p.body, p.err = l.response.ReadBody(maxBufferedBytes)
	}
	return p
}

// countSent counts the attempt as one that may have been executed.
func (r *inflightRequest) countSent(l *leg) {
	if l.counted {
		return
	}
	l.counted = true
	r.attempts++
	r.possibleRuns++
	r.Counters.SentToTargets.Add(1)
}

// recordSilence records that the target is silent.
func (l *leg) recordSilence() {
	if l.silent {
		return
	}
	l.silent = true
	l.grant.Silent()
	r := l.inflight
	r.countSent(l)
	r.Counters.TargetsSilent.Add(1)
	r.log.addStep("silent", l.grant.Target.ID, r.Clock.Since(l.startedAt))
	r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
}

// recordReplaced ends the exchange with a silent target after another one has
// responded.
func (r *inflightRequest) recordReplaced(l *leg) {
	l.tracked.End(quarantine.Unanswered)
	l.end(schedule.Cancelled)
	r.log.addStep("replaced", l.grant.Target.ID, r.Clock.Since(l.startedAt))
}

// conclude returns what a reply means for the request.
func (r *inflightRequest) conclude(ctx context.Context, l *leg, p reply) attemptResult {
	switch {
	case l.response == nil:
		return r.handleSendError(ctx, l, p)
	case p.metadata.NotExecuted:
		return r.handleNotExecuted(l, p)
	case p.stream:
		r.countSent(l)
		return r.openStream(ctx, l, p)
	}
	r.countSent(l)
	return r.relayBuffered(ctx, l, p)
}

// trackAttempt records the start of an attempt, in case the request crashes the
// target.
func (r *inflightRequest) trackAttempt(grant *schedule.Grant) *quarantine.Attempt {
	return r.Quarantine.Start(r.fingerprint, grant.Target.Key().String(), grant.ExpectedTimeToFirst, r.promptParts...)
}

// endBroken records the end of an attempt without a complete response.
func endBroken(ctx context.Context, tracked *observation, err error) {
	tracked.judgeBroken(ctx, err)
	var netErr net.Error
	switch {
	case dispatch.IsRefused(err):
		tracked.End(quarantine.Unreachable)
	case dispatch.IsNotSent(err), errors.IsAny(err, errUntrusted, dispatch.ErrResponseTooLong, errEndless, errTooManyEvents):
		tracked.End(quarantine.NoEvidence)
	case ctx.Err() != nil, errors.As(err, &netErr) && netErr.Timeout():
		tracked.End(quarantine.Unanswered)
	default:
		tracked.End(quarantine.Broken)
	}
}

// endComplete records the end of an attempt whose response was read to its end.
func endComplete(tracked *observation, response *dispatch.PooledResponse) {
	tracked.judgeComplete(response)
	switch {
	case !response.IsFramed():
		tracked.End(quarantine.EndedInOrder)
	case response.Status >= http.StatusMultipleChoices:
		tracked.End(quarantine.CompletedWithError)
	default:
		tracked.End(quarantine.Completed)
	}
}

// targetRequest builds the request to a target.
func (r *inflightRequest) targetRequest(l *leg) *dispatch.PooledRequest {
	target := l.grant.Target
	metadata := DispatchMetadata{
		TargetID: target.ID, Account: r.accountName(), TimeLeft: r.deadline.Sub(r.Clock.Now()), LastEventID: l.events.lastID,
	}
	return &dispatch.PooledRequest{
		Address: target.Address, Method: r.request.Method, URI: r.request.URI, Body: r.request.Body,
		Header:           append(r.Protocol.DispatchFields(metadata), r.request.Header...),
		RequireFreshConn: !r.route.Retryable(),
		Silence:          l.silence,
		MatchesRequest: func(header http.Header) bool {
			id := r.Protocol.ParseResponse(header).AttemptID
			return id == "" || id == r.request.AttemptID
		},
	}
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
	if !r.route.Retryable() || r.route.LatencyObjective == 0 || r.attempts+1 >= r.route.MaxAttempts {
		return 0
	}
	return max(minResponseTimeout, time.Duration(responseTimeoutObjectives*float64(r.route.LatencyObjective)),
		time.Duration(responseTimeoutExpected*float64(expectedTimeToFirst)))
}

// gapTimeout returns the same time between two events; 0 if the stream cannot be
// resumed.
func (r *inflightRequest) gapTimeout() time.Duration {
	if !r.route.Retryable() || r.route.EventGapObjective == 0 || r.attempts >= r.route.MaxAttempts {
		return 0
	}
	return max(minGapTimeout, gapTimeoutGaps*r.route.EventGapObjective)
}

// handleSendError handles an attempt that ended without a response header.
func (r *inflightRequest) handleSendError(ctx context.Context, l *leg, p reply) attemptResult {
	endBroken(ctx, l.tracked, p.err)
	notSent := dispatch.IsNotSent(p.err)
	if !notSent {
		r.countSent(l)
	}
	r.log.addStep("send failed", l.grant.Target.ID, p.took)
	if ctx.Err() != nil {
		l.end(schedule.Cancelled)
		return attemptResult{reason: "no answer came before the deadline"}
	}
	r.log.cause = p.err
	r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
	if notSent {
		r.unreachable++
		r.Counters.TargetsUnreachable.Add(1)
		l.end(schedule.Unreachable)
		return attemptResult{retry: true}
	}
	result := schedule.Failed
	if errors.Is(p.err, dispatch.ErrStaleConn) {
		result = schedule.Cancelled
	}
	l.end(result)
	return r.failedAttempt("the target broke off before an answer")
}

// failedAttempt is the result of an attempt that may have been executed.
func (r *inflightRequest) failedAttempt(reason string) attemptResult {
	return attemptResult{retry: r.route.Retryable(), reason: reason}
}

// handleNotExecuted handles a target that reports that it did not execute the
// request.
func (r *inflightRequest) handleNotExecuted(l *leg, p reply) attemptResult {
	l.tracked.End(quarantine.NoEvidence)
	r.countSent(l)
	r.possibleRuns--
	r.Counters.NotExecuted.Add(1)
	r.log.addStep("not executed "+http.StatusText(l.response.Status), l.grant.Target.ID, p.took)
	r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
	if l.response.Status == http.StatusMisdirectedRequest {
		r.Counters.Misdirected.Add(1)
		l.end(schedule.Unreachable)
		r.OnMisdirected(l.grant.Target)
		return attemptResult{retry: true}
	}
	l.end(schedule.Full)
	return attemptResult{retry: true}
}

// relayBuffered returns a response that was read as a whole.
func (r *inflightRequest) relayBuffered(ctx context.Context, l *leg, p reply) attemptResult {
	if p.err != nil {
		endBroken(ctx, l.tracked, p.err)
	} else {
		endComplete(l.tracked, l.response)
	}
	switch {
	case ctx.Err() != nil:
		l.end(schedule.Cancelled)
		return attemptResult{reason: "the answer was not complete before the deadline"}
	case p.err != nil:
		r.log.addStep("answer unusable", l.grant.Target.ID, p.took)
		r.log.cause = p.err
		r.excludedTargets = append(r.excludedTargets, l.grant.Target.Key())
		l.end(schedule.Failed)
		return r.failedAttempt("the target's answer was not whole")
	}
	if l.response.Status >= http.StatusInternalServerError {
		l.end(schedule.Cancelled)
	} else {
		l.finish(schedule.Outcome{Result: schedule.Complete, TotalTime: p.took})
	}
	r.log.addStep("answered", l.grant.Target.ID, p.took)
	if impliesNotRun(l.response.Status) {
		return attemptResult{reason: "the target failed"}
	}
	return attemptResult{response: &Response{Status: l.response.Status, Header: removeHopByHop(l.response.Header), Body: p.body}}
}

// end ends the exchange without a complete response.
func (l *leg) end(result schedule.Result) { l.finish(l.outcome(result)) }

// finish closes the response and ends the grant.
func (l *leg) finish(outcome schedule.Outcome) {
	if l.response != nil {
		l.response.Close()
	}
	l.cancel()
	l.grant.Done(outcome)
}

// observeLatency records the latencies of an answered request.
func (r *inflightRequest) observeLatency(firstEvent time.Duration) {
	r.ObserveLatency(r.route.Priority, r.accountName(), firstEvent, r.Clock.Since(r.request.ReceivedAt))
}

// errUntrusted is returned for a response that is not the target's own.
var errUntrusted = errors.New("response is not the target's own")

// untrusted reports whether a response cannot be the target's own: a success
// without signature or attempt ID, or any encoded content.
func untrusted(response *dispatch.PooledResponse, metadata ResponseMetadata) bool {
	success := response.Status < http.StatusMultipleChoices
	return success && (!metadata.Signed || metadata.AttemptID == "") || response.Header.Get("Content-Encoding") != ""
}

// impliesNotRun reports whether a caller takes the status to mean that the
// request was not executed. The target has not stated that, so the status is
// not relayed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
