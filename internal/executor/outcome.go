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
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// cancelTimeout bounds the cancellation of a run at its target.
const cancelTimeout = 5 * time.Second

// tokenUsage is the token count at the end of a model's answer.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// update takes the usage from a part of an answer that holds one.
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

// handleSendError ends an attempt without an answer.
func (a *attempt) handleSendError(ctx context.Context, err error) (retry bool) {
	e := a.executor
	if dispatch.IsNotSent(err) {
		e.Metrics.Add(metrics.NotSent, 1)
		e.Quarantine.Done(a.job.fingerprint, a.target.Name, false)
		a.reportObservation(evidence.FailureUnreachable)
		if ctx.Err() == nil {
			a.grant.Finish(admission.Outcome{Kind: admission.NotSent})
			return true
		}
		a.grant.Finish(admission.Outcome{Kind: admission.Cancelled})
		e.refuseAnswer(a.answer, refusalForSendError(ctx, fault.StepDispatch, err))
		return false
	}
	e.Metrics.Add(metrics.Dispatched, 1)
	a.finishWithError(ctx, err)
	return false
}

// handleTargetRefusal handles a target that says that it has not run the request.
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
	e.Quarantine.Done(a.job.fingerprint, a.target.Name, false)
	a.grant.Finish(admission.Outcome{Kind: kind})
	e.refuseAnswer(a.answer, notRunRefusal(fault.StepDispatch, statusUnavailable, reason))
	return true
}

// finish ends an attempt whose answer has begun.
func (a *attempt) finish(ctx context.Context, response *dispatch.Response, err error) {
	if err != nil {
		a.finishWithError(ctx, err)
		return
	}
	e := a.executor
	e.Quarantine.Done(a.job.fingerprint, a.target.Name, true)
	outcome := a.admissionOutcome(admission.Complete)
	kind := evidence.FailureNone
	if response.Status >= statusServerError {
		outcome.Kind = admission.Failed
		kind = evidence.FailureStatus
	}
	a.grant.Finish(outcome)
	a.reportObservation(kind)
	e.Metrics.Add(metrics.Answered, 1)
	e.Metrics.Observe(a.job.route.Tier, a.job.call.Account, a.timeToFirstToken, time.Since(a.job.call.ReceivedAt))
	a.answer.End(answer.Complete)
}

// finishWithError ends an attempt that was sent and got no complete answer.
func (a *attempt) finishWithError(ctx context.Context, err error) {
	e := a.executor
	cause := context.Cause(ctx)
	if cause != nil {
		a.cancelAtTarget()
		e.Quarantine.Done(a.job.fingerprint, a.target.Name, false)
	}
	refusal := &fault.Refusal{
		Run: fault.RanInPart, Step: fault.StepStream, Status: statusBadGateway, Reason: err.Error(),
	}
	kind := admission.Failed
	switch {
	case errors.Is(cause, errPreempted):
		e.Metrics.Add(metrics.Preempted, 1)
		refusal.Status, refusal.RetryAfter, refusal.Reason = statusUnavailable, defaultRetryAfter, errPreempted.Error()
		kind = admission.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Status, refusal.Reason = statusGatewayTimeout, "the deadline passed while the request ran"
		a.reportObservation(evidence.FailureTimeout)
		kind = admission.Cancelled
	case cause != nil:
		e.Metrics.Add(metrics.CallerGone, 1)
		refusal.Reason = "the caller has gone"
		kind = admission.Cancelled
	default:
		a.handleBrokenResponse(err, refusal)
	}
	a.grant.Finish(a.admissionOutcome(kind))
	e.refuseAnswer(a.answer, refusal)
}

// handleBrokenResponse handles an answer that the target, or the path to it, broke off.
func (a *attempt) handleBrokenResponse(err error, refusal *fault.Refusal) {
	if errors.Is(err, errMissingEnd) {
		a.executor.Quarantine.Done(a.job.fingerprint, a.target.Name, true)
		a.reportObservation(evidence.FailureWrongEnd)
		return
	}
	if a.parts == 0 {
		refusal.Run = fault.Unknown
		refusal.Step = fault.StepDispatch
	}
	a.recordCrash()
	a.reportObservation(evidence.FailureBroken)
}

// recordCrash notes once that the target has gone while the request ran.
func (a *attempt) recordCrash() {
	if a.crashRecorded {
		return
	}
	a.crashRecorded = true
	a.executor.Quarantine.Crashed(a.target.Name)
	a.executor.Quarantine.Done(a.job.fingerprint, a.target.Name, false)
}

func (a *attempt) admissionOutcome(kind admission.OutcomeKind) admission.Outcome {
	promptTokens := a.tokenUsage.PromptTokens
	if promptTokens == 0 {
		promptTokens = a.job.call.Prompt.EstimatedTokens()
	}
	return admission.Outcome{
		Kind: kind, PromptTokens: promptTokens, CachedTokens: a.tokenUsage.CachedTokens,
		OutputTokens: max(a.tokenUsage.CompletionTokens, a.streamedTokens()), FirstToken: a.timeToFirstToken, Duration: time.Since(a.startedAt),
	}
}

// streamedTokens counts the tokens of a stream; other answers give none.
func (a *attempt) streamedTokens() int {
	if !a.job.call.Prompt.Stream {
		return 0
	}
	return a.parts
}

// reportObservation counts the outcome for the version's evidence.
func (a *attempt) reportObservation(kind evidence.FailureKind) {
	outcome := a.admissionOutcome(admission.Complete)
	timeToFirstToken := outcome.FirstToken
	if !a.job.call.Prompt.Stream {
		timeToFirstToken = 0
	}
	a.executor.Observe(evidence.Observation{
		Pool: a.job.route.Pool, Version: a.target.Version, Route: a.job.route.Name, Target: a.target.Name,
		FailureDomain: a.target.FailureDomain, Tier: a.job.route.Tier,
		Failed: kind != evidence.FailureNone, Kind: kind, FirstToken: timeToFirstToken, Total: outcome.Duration,
		PromptTokens: outcome.PromptTokens, CachedTokens: outcome.CachedTokens,
		OutputTokens: outcome.OutputTokens, Running: a.runningAtStart,
	})
}

// cancelAtTarget ends a run whose answer nobody wants. Only engines can.
func (a *attempt) cancelAtTarget() {
	if a.job.pool.Kind != tables.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = dispatch.Cancel(ctx, a.target.Address, a.job.requestID)
}
