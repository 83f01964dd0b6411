package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// cancelTimeout is the timeout for cancelling a request at its target and for
// recording the outcome of a claim.
const cancelTimeout = 5 * time.Second

// tokenUsage holds the token counts at the end of a model response.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// update sets u from the data of a chunk if it contains token counts.
func (u *tokenUsage) update(data []byte) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return
	}
	var event struct {
		Usage *tokenUsage `json:"usage"`
	}
	if json.Unmarshal(data, &event) == nil && event.Usage != nil {
		*u = *event.Usage
	}
}

// handleSendError ends an attempt whose request could not be sent or got no
// response headers. It returns true if the request was not sent and may be
// retried at another target.
func (a *attempt) handleSendError(ctx context.Context, err error) (retry bool) {
	e := a.executor
	if dispatch.IsNotSent(err) {
		e.Metrics.Add(metrics.DispatchesNotSent, 1)
		a.tracked.End(quarantine.NoEvidence)
		if dispatch.IsRefused(err) {
			e.Quarantine.RecordEnded(a.target.Name)
		}
		a.reportObservation(evidence.FailureUnreachable)
		if ctx.Err() == nil {
			a.grant.Finish(admission.Outcome{Kind: admission.NotSent})
			return true
		}
		a.grant.Finish(admission.Outcome{Kind: admission.Cancelled})
		e.refuseAnswer(a.answer, refusalForSendError(ctx, fault.StepDispatch, err))
		return false
	}
	e.Metrics.Add(metrics.RequestsDispatched, 1)
	a.finishWithError(ctx, err)
	return false
}

// handleTargetRefusal ends the attempt if the response states that the target has
// not run the request, and reports whether it does.
func (a *attempt) handleTargetRefusal(response *dispatch.Response) bool {
	e := a.executor
	kind := admission.Overloaded
	reason := "the target is overloaded and has not run the request"
	switch {
	case response.Status == statusUnavailable && response.Get(dispatch.HeaderLeaving) != "":
		kind = admission.Leaving
		reason = "the target is leaving and has not run the request"
		e.MarkLeaving(a.target.Address)
	case response.Status == statusTooManyRequests:
	default:
		return false
	}
	a.tracked.End(quarantine.NoEvidence)
	a.grant.Finish(admission.Outcome{Kind: kind})
	e.refuseAnswer(a.answer, notRunRefusal(fault.StepDispatch, statusUnavailable, reason))
	return true
}

// finish ends an attempt whose response headers have arrived.
func (a *attempt) finish(ctx context.Context, response *dispatch.Response, err error) {
	if err != nil {
		a.finishWithError(ctx, err)
		return
	}
	e := a.executor
	a.tracked.End(a.completionEvidence(response))
	outcome := a.admissionOutcome(admission.Complete)
	kind := evidence.FailureNone
	if response.Status >= statusServerError {
		outcome.Kind = admission.Failed
		kind = evidence.FailureBadResponse
	}
	a.grant.Finish(outcome)
	a.reportObservation(kind)
	e.Metrics.Add(metrics.RequestsAnswered, 1)
	e.Metrics.Observe(a.job.route.Tier, a.job.call.Account, a.timeToFirstToken, time.Since(a.job.call.ReceivedAt))
	a.answer.End(answer.Complete)
}

// completionEvidence returns what a response that has ended as complete shows. One
// that ends with its connection would end in the same way if the target had crashed,
// unless it is a stream with an explicit end.
func (a *attempt) completionEvidence(response *dispatch.Response) quarantine.Outcome {
	if response.IsFramed() || a.job.pool.Kind == tables.KindEngine && isAnswerStream(response) {
		return quarantine.Completed
	}
	return quarantine.NoEvidence
}

// finishWithError ends an attempt whose request was sent but got no complete
// response.
func (a *attempt) finishWithError(ctx context.Context, err error) {
	e := a.executor
	cause := context.Cause(ctx)
	if cause != nil {
		a.cancelAtTarget()
		a.tracked.End(outcomeOfCancelled(cause))
	}
	refusal := &fault.Refusal{
		Execution: fault.RanInPart, Step: fault.StepStream, Status: statusBadGateway, Reason: err.Error(),
	}
	kind := admission.Failed
	switch {
	case errors.Is(cause, errPreempted):
		e.Metrics.Add(metrics.StreamsPreempted, 1)
		refusal.Status, refusal.RetryAfter, refusal.Reason = statusUnavailable, defaultRetryAfter, errPreempted.Error()
		kind = admission.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Status, refusal.Reason = statusGatewayTimeout, "the deadline passed while the request ran"
		a.reportObservation(evidence.FailureTimeout)
		kind = admission.Cancelled
	case cause != nil:
		e.Metrics.Add(metrics.CallersDisconnected, 1)
		refusal.Reason = "the caller has gone"
		kind = admission.Cancelled
	default:
		a.handleBrokenResponse(err, refusal)
	}
	a.grant.Finish(a.admissionOutcome(kind))
	e.refuseAnswer(a.answer, refusal)
}

// handleBrokenResponse records a response that ended early because of the target
// or the network. A stream that closed in order without its last event is not
// counted as a crash of the target.
func (a *attempt) handleBrokenResponse(err error, refusal *fault.Refusal) {
	if errors.Is(err, errMissingEnd) {
		a.tracked.End(quarantine.Completed)
		a.reportObservation(evidence.FailureIncompleteStream)
		return
	}
	if a.chunks == 0 {
		refusal.Execution = fault.ExecutionUnknown
		refusal.Step = fault.StepDispatch
	}
	a.recordCrash()
	a.reportObservation(evidence.FailureConnectionLost)
}

// outcomeOfCancelled returns how an attempt ended that this instance cancelled. A
// request that was preempted would have been answered.
func outcomeOfCancelled(cause error) quarantine.Outcome {
	if errors.Is(cause, errPreempted) {
		return quarantine.NoEvidence
	}
	return quarantine.Unanswered
}

// recordCrash records that the target crashed while the request ran.
func (a *attempt) recordCrash() {
	a.tracked.End(quarantine.Broken)
	a.executor.Quarantine.RecordBroken(a.target.Name)
}

func (a *attempt) admissionOutcome(kind admission.OutcomeKind) admission.Outcome {
	promptTokens := a.tokenUsage.PromptTokens
	if promptTokens == 0 {
		promptTokens = a.job.call.Prompt.EstimatedTokens()
	}
	return admission.Outcome{
		Kind: kind, PromptTokens: promptTokens, CachedTokens: a.tokenUsage.CachedTokens,
		OutputTokens: max(a.tokenUsage.CompletionTokens, a.streamedTokens()), TimeToFirstToken: a.timeToFirstToken, Duration: time.Since(a.startedAt),
	}
}

// streamedTokens returns the number of events of a stream, each taken as one
// token, or zero for other responses.
func (a *attempt) streamedTokens() int {
	if !a.job.call.Prompt.Stream {
		return 0
	}
	return a.chunks
}

// reportObservation adds the outcome to the evidence on the target's version.
func (a *attempt) reportObservation(kind evidence.FailureKind) {
	outcome := a.admissionOutcome(admission.Complete)
	timeToFirstToken := outcome.TimeToFirstToken
	if !a.job.call.Prompt.Stream {
		timeToFirstToken = 0
	}
	a.executor.Observe(evidence.Observation{
		Pool: a.job.route.Pool, Version: a.target.Version, Route: a.job.route.Name, Target: a.target.Name,
		FailureDomain: a.target.FailureDomain, Tier: a.job.route.Tier,
		Failed: kind != evidence.FailureNone, Failure: kind, TimeToFirstToken: timeToFirstToken, TotalDuration: outcome.Duration,
		PromptTokens: outcome.PromptTokens, CachedTokens: outcome.CachedTokens,
		OutputTokens: outcome.OutputTokens, RunningRequests: a.runningAtStart,
	})
}

// cancelAtTarget cancels the request at its target. Only engines support this.
func (a *attempt) cancelAtTarget() {
	if a.job.pool.Kind != tables.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = dispatch.Cancel(ctx, a.target.Address, a.job.requestID)
}
