package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

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
	x := r.newExchange(ctx, grant, r.request.LastEventID)
	var t *takeover[*Response]
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
			t = &takeover[*Response]{
				ctx: ctx, logger: r.Logger, cancelCurrent: x.cancel, onStart: x.recordSilence, search: r.searchResponse, discard: (*Response).discard,
			}
		}
		t.start()
	}}
	reply := x.run()
	if response, replaced := t.settle(x.isSuccess(reply)); replaced {
		r.recordReplaced(x)
		concluded = true
		return attemptResult{response: response}
	}
	result := r.conclude(ctx, x, reply)
	concluded = true
	return result
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
			result.response.discard()
			break
		}
		if ctx.Err() != nil || !result.retry {
			break
		}
	}
	return nil, false
}

// conclude returns what a reply means for the request.
func (r *inflightRequest) conclude(ctx context.Context, x *exchange, p reply) attemptResult {
	switch {
	case x.response == nil:
		return r.handleSendError(ctx, x, p)
	case p.metadata.NotExecuted:
		return r.handleNotExecuted(x, p)
	case p.stream:
		r.countSent(x)
		return r.openStream(ctx, x, p)
	}
	r.countSent(x)
	return r.relayBuffered(ctx, x, p)
}

// trackAttempt records the start of an attempt, in case the request crashes the
// target.
func (r *inflightRequest) trackAttempt(grant *schedule.Grant) *quarantine.Attempt {
	return r.Quarantine.Start(r.fingerprint, grant.Target.Key().String(), grant.ExpectedTimeToFirst, r.promptParts...)
}

// endBroken records the end of an attempt without a complete response; pathLost
// states that the target is not the cause.
func endBroken(ctx context.Context, tracked *observation, err error, pathLost bool) {
	if pathLost {
		tracked.End(quarantine.NoEvidence)
		return
	}
	tracked.judgeBroken(ctx, err)
	var netErr net.Error
	switch {
	case dispatch.IsRefused(err):
		tracked.End(quarantine.Unreachable)
	case dispatch.IsNotSent(err), errors.IsAny(err, errUntrusted, dispatch.ErrResponseUnidentified, dispatch.ErrResponseTooLong,
		dispatch.ErrInvalidHeader, dispatch.ErrInvalidStatus, errEndless, errTooManyEvents):
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

// handleSendError handles an attempt that ended without a response header.
func (r *inflightRequest) handleSendError(ctx context.Context, x *exchange, p reply) attemptResult {
	if r.endEvacuated(ctx, x, p.err) {
		return attemptResult{retry: true}
	}
	pathLost := r.isPathLost(ctx, x, p.err)
	endBroken(ctx, x.tracked, p.err, pathLost)
	notSent := dispatch.IsNotSent(p.err)
	if !notSent {
		r.countSent(x)
	}
	r.log.addStep("send failed", x.grant.Target.ID, p.took)
	if ctx.Err() != nil {
		x.end(schedule.Cancelled)
		return attemptResult{reason: "no answer came before the deadline"}
	}
	r.log.cause = p.err
	if notSent {
		r.unreachable++
		r.Counters.TargetsUnreachable.Add(1)
	}
	switch {
	case pathLost:
		// The target is not excluded: it may be reached through another instance.
		x.end(schedule.Cancelled)
		return r.pathLostAttempt(notSent)
	case x.dialSpansPause(p.err):
		x.end(schedule.Cancelled)
		return attemptResult{retry: true}
	case notSent:
		r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
		x.end(schedule.Unreachable)
		return attemptResult{retry: true}
	}
	r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
	x.end(failureResult(p.err))
	return r.failedAttempt("the target broke off before an answer")
}

// failureResult returns what an exchange that failed after the request may have been sent
// means for its target.
func failureResult(err error) schedule.Result {
	switch {
	case errors.Is(err, dispatch.ErrStaleConn):
		return schedule.Cancelled
	case errors.Is(err, dispatch.ErrNoTarget):
		return schedule.Unreachable
	}
	return schedule.Failed
}

// isPathLost reports whether an attempt failed for a reason between this instance and
// the target.
func (r *inflightRequest) isPathLost(ctx context.Context, x *exchange, err error) bool {
	if err == nil || ctx.Err() != nil || !r.Pool.IsPathLost(x.grant.Target.Address, err) {
		return false
	}
	r.Counters.PathsLost.Add(1)
	r.log.addStep("path lost to", x.grant.Target.ID, 0)
	return true
}

// pathLostAttempt is the result of an attempt that the path to the target has ended.
// If the request may have been sent, another attempt is allowed in place of this one.
func (r *inflightRequest) pathLostAttempt(notSent bool) attemptResult {
	if notSent {
		return attemptResult{retry: true}
	}
	r.lostAttempts++
	return r.failedAttempt("the path to the target was lost before an answer")
}

// failedAttempt is the result of an attempt that may have been executed.
func (r *inflightRequest) failedAttempt(reason string) attemptResult {
	return attemptResult{retry: r.route.Retryable(), reason: reason}
}

// handleNotExecuted handles a target that reports that it did not execute the
// request.
func (r *inflightRequest) handleNotExecuted(x *exchange, p reply) attemptResult {
	x.tracked.End(quarantine.NoEvidence)
	r.countSent(x)
	r.possibleRuns--
	r.Counters.NotExecuted.Add(1)
	action := "not executed " + http.StatusText(x.response.Status)
	if rest := p.metadata.Terms.Rest; rest > 0 {
		action += fmt.Sprintf(" with a rest of %v at", rest)
	}
	r.log.addStep(action, x.grant.Target.ID, p.took)
	r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
	if x.response.Status == http.StatusMisdirectedRequest {
		r.misdirected++
		r.Counters.Misdirected.Add(1)
		x.end(schedule.Unreachable)
		r.OnMisdirected(x.grant.Target)
		return attemptResult{retry: true}
	}
	x.end(schedule.Full)
	return attemptResult{retry: true}
}

// relayBuffered returns a response that was read as a whole.
func (r *inflightRequest) relayBuffered(ctx context.Context, x *exchange, p reply) attemptResult {
	pathLost := r.isPathLost(ctx, x, p.err)
	if p.err != nil {
		endBroken(ctx, x.tracked, p.err, pathLost)
	} else {
		endComplete(x.tracked, x.response)
	}
	switch {
	case ctx.Err() != nil:
		x.end(schedule.Cancelled)
		return attemptResult{reason: "the answer was not complete before the deadline"}
	case pathLost:
		r.log.cause = p.err
		x.end(schedule.Cancelled)
		return r.pathLostAttempt(false)
	case p.err != nil:
		r.log.addStep("answer unusable", x.grant.Target.ID, p.took)
		r.log.cause = p.err
		r.excludedTargets = append(r.excludedTargets, x.grant.Target.Key())
		x.end(schedule.Failed)
		return r.failedAttempt("the target's answer was not whole")
	}
	notRun := impliesNotRun(x.response.Status)
	response, concluded := &Response{Status: x.response.Status, Header: removeHopByHop(x.response.Header), Body: p.body}, false
	defer response.releaseUnless(&concluded)
	if !notRun {
		response.memory = x.response.TakeMemory()
	}
	if x.response.Status >= http.StatusInternalServerError {
		x.end(schedule.Cancelled)
	} else {
		x.finish(schedule.Outcome{Result: schedule.Complete, TotalTime: r.unlessPaused(p.took, x.startedAt)})
	}
	r.log.addStep("answered", x.grant.Target.ID, p.took)
	concluded = true
	if notRun {
		return attemptResult{reason: "the target failed"}
	}
	return attemptResult{response: response}
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
