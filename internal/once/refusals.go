package once

import (
	"net/http"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// retryAfter is the advice where a later resend may fare better.
const retryAfter = 2 * time.Second

// refuseMismatch refuses a key that was used with another body. The request
// with this body has not run.
func refuseMismatch() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepClaim, Status: http.StatusUnprocessableEntity,
		Reason: "the idempotency key was used with a different request",
	}
}

// refuseClaimTimeout refuses an attempt that got no claim in time. Not run is
// true even if the claim's row was written: this attempt never sends.
func refuseClaimTimeout() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepClaim, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Reason:     "this attempt got no claim before its deadline and was not sent; resend with the same key",
	}
}

func refuseNotRun(reason string) *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepDispatch, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter, Reason: reason,
	}
}

func refuseRanInPart() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.RanInPart, Step: fault.StepClaim, Status: http.StatusConflict,
		Reason: "the earlier attempt with this key started at a target and did not finish",
	}
}

func refuseUnknown(reason string) *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepClaim, Status: http.StatusConflict,
		RetryAfter: retryAfter, Reason: reason,
	}
}
