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

// attempt sends the request to the target of the grant. retry is set if there
// is no response and another target may be tried.
func (r *inflightRequest) attempt(ctx context.Context, grant *schedule.Grant) (response *Response, retry bool) {
	startedAt := r.Clock.Now()
	tracked := r.trackAttempt(grant)
	targetResponse, err := r.Pool.Send(ctx, r.targetRequest(grant.Target, r.request.LastEventID, grant.ExpectedTimeToFirst))
	took := r.Clock.Since(startedAt)
	if err != nil {
		endBroken(ctx, tracked, err)
		return r.handleSendError(ctx, grant, err, took)
	}
	r.attempts++
	r.Counters.SentToTargets.Add(1)
	tracked.Heard(targetResponse.ConnOpenedAt())
	metadata := r.Protocol.ParseResponse(targetResponse.Header)
	if metadata.NotExecuted || targetResponse.Status == http.StatusMisdirectedRequest {
		tracked.End(quarantine.NoEvidence)
		return r.handleNotExecuted(grant, targetResponse, took)
	}
	r.mayHaveRun = true
	if targetResponse.Status == http.StatusOK && r.route.Kind == catalog.Streaming && metadata.Signed {
		return r.openStream(ctx, grant, tracked, targetResponse, startedAt)
	}
	return r.relayBuffered(ctx, grant, tracked, targetResponse, metadata, startedAt)
}

// trackAttempt records the start of an attempt, in case the request crashes the
// target.
func (r *inflightRequest) trackAttempt(grant *schedule.Grant) *quarantine.Attempt {
	return r.Quarantine.Start(r.fingerprint, grant.Target.Key().String(), grant.ExpectedTimeToFirst)
}

// endBroken records the end of an attempt without a complete response.
func endBroken(ctx context.Context, tracked *quarantine.Attempt, err error) {
	var netErr net.Error
	switch {
	case dispatch.IsNotSent(err):
		tracked.End(quarantine.NoEvidence)
	case ctx.Err() != nil, errors.As(err, &netErr) && netErr.Timeout():
		tracked.End(quarantine.Unanswered)
	default:
		tracked.End(quarantine.Broken)
	}
}

// failedStep names the step of an attempt that failed: silent if the target sent
// nothing for too long.
func (r *inflightRequest) failedStep(step string, err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		r.Counters.TargetsSilent.Add(1)
		return "silent, " + step
	}
	return step
}

// endComplete records the end of an attempt whose response was read to its end. A
// response that is not the target's own, or that ends with its connection as it
// would if the target had crashed, shows nothing.
func endComplete(tracked *quarantine.Attempt, response *dispatch.PooledResponse, trusted bool) {
	if trusted && response.IsFramed() {
		tracked.End(quarantine.Completed)
	} else {
		tracked.End(quarantine.NoEvidence)
	}
}

// targetRequest builds the request to a target.
func (r *inflightRequest) targetRequest(target *catalog.Target, lastEventID string, expectedTimeToFirst time.Duration) *dispatch.PooledRequest {
	metadata := DispatchMetadata{
		TargetID: target.ID, Account: r.accountName(), TimeLeft: r.deadline.Sub(r.Clock.Now()), LastEventID: lastEventID,
	}
	return &dispatch.PooledRequest{
		Address: target.Address, Method: r.request.Method, URI: r.request.URI, Body: r.request.Body,
		Header:           append(r.Protocol.DispatchFields(metadata), r.request.Header...),
		RequireFreshConn: !r.route.Retryable(),
		ReadTimeout:      r.responseTimeout(expectedTimeToFirst),
		MatchesRequest: func(header http.Header) bool {
			id := r.Protocol.ParseResponse(header).AttemptID
			return id == "" || id == r.request.AttemptID
		},
	}
}

const (
	// responseTimeoutObjectives is the time without a response, in multiples of the
	// objective, after which a retryable request is retried at another target;
	// minResponseTimeout is its lower bound. Both leave time for another target:
	// callers abandon a stream after four times the objective.
	responseTimeoutObjectives = 2.5
	minResponseTimeout        = time.Second
	// responseTimeoutExpected is the same timeout in multiples of the expected time
	// to the first token.
	responseTimeoutExpected = 1.5
	// gapTimeoutGaps and minGapTimeout are the same for gaps between events.
	gapTimeoutGaps = 3
	minGapTimeout  = 800 * time.Millisecond
)

// responseTimeout returns the time that a target has for its header and first
// event, or for a complete buffered response; 0 if no other target may be tried.
func (r *inflightRequest) responseTimeout(expectedTimeToFirst time.Duration) time.Duration {
	if !r.route.Retryable() || r.route.LatencyObjective == 0 || r.attempts+1 >= r.route.MaxAttempts {
		return 0
	}
	return max(minResponseTimeout, time.Duration(responseTimeoutObjectives*float64(r.route.LatencyObjective)),
		time.Duration(responseTimeoutExpected*float64(expectedTimeToFirst)))
}

// gapTimeout returns the timeout between two events; 0 if the stream cannot be
// resumed.
func (r *inflightRequest) gapTimeout() time.Duration {
	if !r.route.Retryable() || r.route.EventGapObjective == 0 || r.attempts >= r.route.MaxAttempts {
		return 0
	}
	return max(minGapTimeout, gapTimeoutGaps*r.route.EventGapObjective)
}

// handleSendError handles an attempt that ended without a response header.
func (r *inflightRequest) handleSendError(ctx context.Context, grant *schedule.Grant, err error, took time.Duration) (*Response, bool) {
	notSent := dispatch.IsNotSent(err)
	if !notSent {
		r.attempts++
		r.Counters.SentToTargets.Add(1)
		r.mayHaveRun = true
	}
	if ctx.Err() != nil {
		r.log.addStep("send failed", grant.Target.ID, took)
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.contextDone(ctx, "no answer came before the deadline"), false
	}
	r.log.addStep(r.failedStep("send failed", err), grant.Target.ID, took)
	r.log.cause = err
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
	if notSent {
		r.unreachable++
		r.Counters.TargetsUnreachable.Add(1)
		grant.Done(schedule.Outcome{Result: schedule.Unreachable})
		return nil, true
	}
	result := schedule.Failed
	if errors.Is(err, dispatch.ErrStaleConn) {
		result = schedule.Cancelled
	}
	grant.Done(schedule.Outcome{Result: result})
	r.recordOutcome(grant.Target, true, took)
	return r.retryOrFail("the target broke off before an answer")
}

// retryOrFail allows another attempt if the route is retryable.
func (r *inflightRequest) retryOrFail(reason string) (*Response, bool) {
	if r.route.Retryable() {
		return nil, true
	}
	return r.fail(http.StatusBadGateway, reason), false
}

// handleNotExecuted handles a target that reports that it did not execute the
// request.
func (r *inflightRequest) handleNotExecuted(grant *schedule.Grant, response *dispatch.PooledResponse, took time.Duration) (*Response, bool) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxBufferedBytes))
	response.Close()
	r.Counters.NotExecuted.Add(1)
	r.log.addStep("not executed "+http.StatusText(response.Status), grant.Target.ID, took)
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
	if response.Status == http.StatusMisdirectedRequest {
		r.Counters.Misdirected.Add(1)
		grant.Done(schedule.Outcome{Result: schedule.Unreachable})
		r.OnMisdirected(grant.Target)
		return nil, true
	}
	grant.Done(schedule.Outcome{Result: schedule.Full})
	return nil, true
}

// relayBuffered reads the complete response and returns it.
func (r *inflightRequest) relayBuffered(
	ctx context.Context, grant *schedule.Grant, tracked *quarantine.Attempt, response *dispatch.PooledResponse,
	metadata ResponseMetadata, startedAt time.Time,
) (*Response, bool) {
	grant.ResponseStarted(r.Clock.Since(startedAt))
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	took := r.Clock.Since(startedAt)
	response.Close()
	if err != nil {
		endBroken(ctx, tracked, err)
	} else {
		endComplete(tracked, response, !untrusted(response, metadata))
	}
	switch {
	case ctx.Err() != nil:
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.contextDone(ctx, "the answer was not complete before the deadline"), false
	case err != nil, len(body) == maxBufferedBytes, untrusted(response, metadata):
		r.log.addStep(r.failedStep("answer unusable", err), grant.Target.ID, took)
		r.log.cause = err
		r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
		grant.Done(schedule.Outcome{Result: schedule.Failed})
		r.recordOutcome(grant.Target, true, took)
		return r.retryOrFail("the target's answer was not whole")
	}
	r.recordOutcome(grant.Target, response.Status >= http.StatusInternalServerError, took)
	result := schedule.Complete
	if response.Status >= http.StatusInternalServerError {
		result = schedule.Cancelled
	}
	grant.Done(schedule.Outcome{Result: result, TotalTime: took})
	r.log.addStep("answered", grant.Target.ID, took)
	if impliesNotRun(response.Status) {
		return r.fail(http.StatusBadGateway, "the target failed"), false
	}
	r.Counters.Answered.Add(1)
	r.observeLatency(0)
	return &Response{Status: response.Status, Header: removeHopByHop(response.Header), Body: body}, false
}

// recordOutcome records a response, or its failure, for the target's version. The
// duration is scaled by the expected output, so that responses of different
// lengths are comparable.
func (r *inflightRequest) recordOutcome(target *catalog.Target, failed bool, took time.Duration) {
	const referenceTokens = 100
	if tokens := r.scheduleRequest().OutputTokens; tokens > 0 {
		took = took * referenceTokens / time.Duration(referenceTokens+tokens)
	}
	r.Rollouts.RecordResponse(r.service.Name, target.Version, failed, took)
}

// observeLatency records the latencies of an answered request.
func (r *inflightRequest) observeLatency(firstEvent time.Duration) {
	r.ObserveLatency(r.route.Priority, r.accountName(), firstEvent, r.Clock.Since(r.request.ReceivedAt))
}

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
