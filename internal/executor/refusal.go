package executor

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
)

const (
	statusOK                 = http.StatusOK
	statusBadRequest         = http.StatusBadRequest
	statusNotFound           = http.StatusNotFound
	statusUnprocessable      = http.StatusUnprocessableEntity
	statusMisdirectedRequest = http.StatusMisdirectedRequest
	statusTooManyRequests    = http.StatusTooManyRequests
	statusServerError        = http.StatusInternalServerError
	statusBadGateway         = http.StatusBadGateway
	statusUnavailable        = http.StatusServiceUnavailable
	statusGatewayTimeout     = http.StatusGatewayTimeout
)

// defaultRetryAfter is the Retry-After of refusals that a retry may avoid.
const defaultRetryAfter = time.Second

// notRunRefusal returns the refusal of a request that has not run.
func notRunRefusal(step fault.Step, status int, reason string) *fault.Refusal {
	refusal := &fault.Refusal{Execution: fault.NotRun, Step: step, Status: status, Reason: reason}
	if status >= statusServerError || status == statusTooManyRequests {
		refusal.RetryAfter = defaultRetryAfter
	}
	return refusal
}

// refusalForSendError converts an error of dispatch.Send into a refusal.
func refusalForSendError(ctx context.Context, step fault.Step, err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: step, Status: statusBadGateway, Reason: err.Error(),
	}
	if dispatch.IsNotSent(err) {
		refusal.Execution = fault.NotRun
		refusal.RetryAfter = defaultRetryAfter
	}
	if ctx.Err() != nil {
		refusal.Status = statusGatewayTimeout
	}
	return refusal
}

// refusalForError converts an error into the refusal of a request that has not
// run; a refusal is returned as it is.
func refusalForError(step fault.Step, err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return notRunRefusal(step, statusGatewayTimeout, "the deadline passed before the request was sent")
	}
	return notRunRefusal(step, statusUnavailable, err.Error())
}

// countRefusal increments the counter for the kind of refusal.
func (e *Executor) countRefusal(refusal *fault.Refusal) {
	switch refusal.Execution {
	case fault.NotRun:
		e.Metrics.Add(metrics.RequestsRefusedNotRun, 1)
	case fault.RanInPart:
		e.Metrics.Add(metrics.RequestsRefusedRanInPart, 1)
	default:
		e.Metrics.Add(metrics.RequestsRefusedUnknown, 1)
	}
}
