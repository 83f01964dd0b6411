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
	statusOK            = http.StatusOK
	statusBadRequest    = http.StatusBadRequest
	statusNotFound      = http.StatusNotFound
	statusUnprocessable = http.StatusUnprocessableEntity
	statusMisdirected   = http.StatusMisdirectedRequest
	statusTooMany       = http.StatusTooManyRequests
	statusServerError   = http.StatusInternalServerError
	statusBadGateway    = http.StatusBadGateway
	statusUnavailable   = http.StatusServiceUnavailable
	statusTimeout       = http.StatusGatewayTimeout
)

// retryAfter is the advice where a later try may fare better.
const retryAfter = time.Second

// refuse returns a refusal of a request that has not run.
func refuse(step fault.Step, status int, reason string) *fault.Refusal {
	refusal := &fault.Refusal{Execution: fault.NotRun, Step: step, Status: status, Reason: reason}
	if status >= statusServerError || status == statusTooMany {
		refusal.RetryAfter = retryAfter
	}
	return refusal
}

// refuseSend turns an error of dispatch.Send at the step into a refusal.
func refuseSend(ctx context.Context, step fault.Step, err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: step, Status: statusBadGateway, Reason: err.Error(),
	}
	if dispatch.IsNotSent(err) {
		refusal.Execution = fault.NotRun
		refusal.RetryAfter = retryAfter
	}
	if ctx.Err() != nil {
		refusal.Status = statusTimeout
	}
	return refusal
}

// asRefusal turns any error of a request that has not run into a refusal.
func asRefusal(step fault.Step, err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return refuse(step, statusTimeout, "the deadline passed before the request was sent")
	}
	return refuse(step, statusUnavailable, err.Error())
}

// count raises the counter of a refusal.
func (e *Executor) count(refusal *fault.Refusal) {
	switch refusal.Execution {
	case fault.NotRun:
		e.Metrics.Add(metrics.RequestsRefusedNotRun, 1)
	case fault.RanInPart:
		e.Metrics.Add(metrics.RequestsRefusedRanInPart, 1)
	default:
		e.Metrics.Add(metrics.RequestsRefusedUnknown, 1)
	}
}
