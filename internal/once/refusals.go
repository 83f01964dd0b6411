package once

import (
	"net/http"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// retryAfter is the retry delay sent with refusals that may be temporary.
const retryAfter = 2 * time.Second

// mismatchRefusal is the refusal of a key that was used with a different
// request. The request of this attempt has not run.
func mismatchRefusal() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepClaim, Status: http.StatusUnprocessableEntity,
		Reason: "the idempotency key was used with a different request",
	}
}

// claimTimeoutRefusal is the refusal of an attempt that did not obtain its claim
// in time. NotRun is correct even if the claim's row was written, since this
// attempt never sends the request.
func claimTimeoutRefusal() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepClaim, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Reason:     "this attempt got no claim before its deadline and was not sent; resend with the same key",
	}
}

func notRunRefusal(reason string) *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepDispatch, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter, Reason: reason,
	}
}

func ranInPartRefusal() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.RanInPart, Step: fault.StepClaim, Status: http.StatusConflict,
		Reason: "the earlier attempt with this key started at a target and did not finish",
	}
}

func unknownRefusal(reason string) *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepClaim, Status: http.StatusConflict,
		RetryAfter: retryAfter, Reason: reason,
	}
}
