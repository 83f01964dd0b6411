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

// usage is the token count at the end of a model's answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// read takes the usage from a part of an answer that holds one.
func (u *usage) read(data []byte) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return
	}
	var part struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &part) == nil && part.Usage != nil {
		*u = *part.Usage
	}
}

// sendFailed ends an attempt without an answer.
func (t *attempt) sendFailed(ctx context.Context, err error) (again bool) {
	e := t.executor
	if dispatch.IsNotSent(err) {
		e.Metrics.Add(metrics.DispatchesNotSent, 1)
		e.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, false)
		t.observe(evidence.FailureUnreachable)
		if ctx.Err() == nil {
			t.grant.Finish(admission.Outcome{Kind: admission.NotSent})
			return true
		}
		t.grant.Finish(admission.Outcome{Kind: admission.Cancelled})
		e.refuseAnswer(t.answer, refuseSend(ctx, fault.StepDispatch, err))
		return false
	}
	e.Metrics.Add(metrics.RequestsDispatched, 1)
	t.failed(ctx, err)
	return false
}

// refusedByTarget handles a target that says that it has not run the request.
func (t *attempt) refusedByTarget(response *dispatch.Response) bool {
	e := t.executor
	kind := admission.Overloaded
	reason := "the target is overloaded and has not run the request"
	switch {
	case response.Status == statusUnavailable && response.Get(dispatch.HeaderLeaving) != "":
		kind = admission.Leaving
		reason = "the target is leaving and has not run the request"
		e.MarkLeaving(t.target.Address)
	case response.Status == statusTooMany:
	default:
		return false
	}
	e.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, false)
	t.grant.Finish(admission.Outcome{Kind: kind})
	e.refuseAnswer(t.answer, refuse(fault.StepDispatch, statusUnavailable, reason))
	return true
}

// end ends an attempt whose answer has begun.
func (t *attempt) end(ctx context.Context, response *dispatch.Response, err error) {
	if err != nil {
		t.failed(ctx, err)
		return
	}
	e := t.executor
	e.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, true)
	outcome := t.outcome(admission.Complete)
	kind := evidence.FailureNone
	if response.Status >= statusServerError {
		outcome.Kind = admission.Failed
		kind = evidence.FailureBadResponse
	}
	t.grant.Finish(outcome)
	t.observe(kind)
	e.Metrics.Add(metrics.RequestsAnswered, 1)
	e.Metrics.Observe(t.job.route.Tier, t.job.call.Account, t.first, time.Since(t.job.call.Received))
	t.answer.End(answer.Complete)
}

// failed ends an attempt that was sent and got no complete answer.
func (t *attempt) failed(ctx context.Context, err error) {
	e := t.executor
	cause := context.Cause(ctx)
	if cause != nil {
		t.cancelRun()
		e.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, false)
	}
	refusal := &fault.Refusal{
		Execution: fault.RanInPart, Step: fault.StepStream, Status: statusBadGateway, Reason: err.Error(),
	}
	kind := admission.Failed
	switch {
	case errors.Is(cause, errPreempted):
		e.Metrics.Add(metrics.StreamsPreempted, 1)
		refusal.Status, refusal.RetryAfter, refusal.Reason = statusUnavailable, retryAfter, errPreempted.Error()
		kind = admission.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Status, refusal.Reason = statusTimeout, "the deadline passed while the request ran"
		t.observe(evidence.FailureTimeout)
		kind = admission.Cancelled
	case cause != nil:
		e.Metrics.Add(metrics.CallersDisconnected, 1)
		refusal.Reason = "the caller has gone"
		kind = admission.Cancelled
	default:
		t.broken(err, refusal)
	}
	t.grant.Finish(t.outcome(kind))
	e.refuseAnswer(t.answer, refusal)
}

// broken handles an answer that the target, or the path to it, broke off.
func (t *attempt) broken(err error, refusal *fault.Refusal) {
	if errors.Is(err, errWrongEnd) {
		t.executor.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, true)
		t.observe(evidence.FailureIncompleteStream)
		return
	}
	if t.events == 0 {
		refusal.Execution = fault.ExecutionUnknown
		refusal.Step = fault.StepDispatch
	}
	t.crashed()
	t.observe(evidence.FailureConnectionLost)
}

// crashed notes once that the target has gone while the request ran.
func (t *attempt) crashed() {
	if t.gone {
		return
	}
	t.gone = true
	t.executor.Quarantine.RecordCrash(t.target.Name)
	t.executor.Quarantine.RecordEnd(t.job.fingerprint, t.target.Name, false)
}

func (t *attempt) outcome(kind admission.OutcomeKind) admission.Outcome {
	prompt := t.usage.PromptTokens
	if prompt == 0 {
		prompt = t.job.call.Prompt.Tokens()
	}
	return admission.Outcome{
		Kind: kind, PromptTokens: prompt, CachedTokens: t.usage.CachedTokens,
		OutputTokens: max(t.usage.CompletionTokens, t.streamedTokens()), FirstToken: t.first, Duration: time.Since(t.started),
	}
}

// streamedTokens counts the tokens of a stream; other answers give none.
func (t *attempt) streamedTokens() int {
	if !t.job.call.Prompt.Stream {
		return 0
	}
	return t.events
}

// observe counts the outcome for the version's evidence.
func (t *attempt) observe(kind evidence.FailureKind) {
	outcome := t.outcome(admission.Complete)
	first := outcome.FirstToken
	if !t.job.call.Prompt.Stream {
		first = 0
	}
	t.executor.Observe(evidence.Observation{
		Pool: t.job.route.Pool, Version: t.target.Version, Route: t.job.route.Name, Target: t.target.Name,
		FailureDomain: t.target.FailureDomain, Tier: t.job.route.Tier,
		Failed: kind != evidence.FailureNone, Failure: kind, TimeToFirstToken: first, TotalDuration: outcome.Duration,
		PromptTokens: outcome.PromptTokens, CachedTokens: outcome.CachedTokens,
		OutputTokens: outcome.OutputTokens, RunningRequests: t.running,
	})
}

// cancelRun ends a run whose answer nobody wants. Only engines can.
func (t *attempt) cancelRun() {
	if t.job.pool.Kind != tables.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = dispatch.Cancel(ctx, t.target.Address, t.job.id)
}
