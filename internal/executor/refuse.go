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

// defaultRetryAfter is the advice where a later try may fare better.
const defaultRetryAfter = time.Second

// notRunRefusal returns a refusal of a request that has not run.
func notRunRefusal(step fault.Step, status int, reason string) *fault.Refusal {
	refusal := &fault.Refusal{Run: fault.NotRun, Step: step, Status: status, Reason: reason}
	if status >= statusServerError || status == statusTooManyRequests {
		refusal.RetryAfter = defaultRetryAfter
	}
	return refusal
}

// refusalForSendError turns an error of dispatch.Send at the step into a refusal.
func refusalForSendError(ctx context.Context, step fault.Step, err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Run: fault.Unknown, Step: step, Status: statusBadGateway, Reason: err.Error(),
	}
	if dispatch.IsNotSent(err) {
		refusal.Run = fault.NotRun
		refusal.RetryAfter = defaultRetryAfter
	}
	if ctx.Err() != nil {
		refusal.Status = statusGatewayTimeout
	}
	return refusal
}

// refusalForError turns any error of a request that has not run into a refusal.
func refusalForError(step fault.Step, err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return notRunRefusal(step, statusGatewayTimeout, "the deadline passed before the request was sent")
	}
	return notRunRefusal(step, statusUnavailable, err.Error())
}

// countRefusal raises the counter of a refusal.
func (e *Executor) countRefusal(refusal *fault.Refusal) {
	switch refusal.Run {
	case fault.NotRun:
		e.Metrics.Add(metrics.Refused, 1)
	case fault.RanInPart:
		e.Metrics.Add(metrics.RefusedPart, 1)
	default:
		e.Metrics.Add(metrics.RefusedUnknown, 1)
	}
}
