// Package executor carries one request from its route to its complete answer
// or a true refusal.
//
// A request passes these steps: route, wait (for a target), claim (the right
// to dispatch), dispatch, stream. Each may refuse it; the refusal says whether
// the request ran.
package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	statusOK          = 200
	statusNotFound    = 404
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
	cancelTimeout     = 5 * time.Second
)

// Options are what an executor works with.
type Options struct {
	// Tables returns the configuration in force.
	Tables  func() *tables.Tables
	Metrics *metrics.Set
}

// Executor carries requests out.
type Executor struct {
	Options
	next atomic.Uint64
}

// New returns an executor.
func New(options Options) *Executor { return &Executor{Options: options} }

// Execute carries out one call. It returns a *fault.Refusal when the answer
// has not begun; once it has begun, its end is told to the sink alone.
func (e *Executor) Execute(ctx context.Context, call *Call, sink Sink) error {
	e.Metrics.Add(metrics.Accepted, 1)
	route := e.Tables().Route(call.Path, call.Prompt.Model, call.Account)
	if route == nil {
		return &fault.Refusal{
			Run: fault.NotRun, Step: fault.StepRoute, Status: statusNotFound,
			Reason: "no route matches the path, model and account",
		}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Received.Add(time.Duration(route.EffectiveDeadline())))
	defer cancel()
	pool := e.Tables().Pool(route.Pool)
	if pool == nil || len(pool.Targets) == 0 {
		return &fault.Refusal{
			Run: fault.NotRun, Step: fault.StepWait, Status: statusUnavailable,
			Reason: "the pool has no targets", RetryAfter: time.Second,
		}
	}
	target := pool.Targets[int(e.next.Add(1))%len(pool.Targets)]
	return e.run(ctx, call, target, sink)
}

func (e *Executor) run(ctx context.Context, call *Call, target tables.Target, sink Sink) error {
	e.Metrics.Add(metrics.Dispatched, 1)
	response, err := dispatch.Send(ctx, &dispatch.Request{
		Target: target.Address, ID: call.Handle, Method: call.Method, URI: call.URI(),
		Header: EndToEnd(call.Header), Body: call.Body,
	})
	if err != nil {
		if ctx.Err() != nil && !dispatch.IsNotSent(err) {
			cancelRun(target.Address, call.Handle)
		}
		return refuseSend(ctx, err)
	}
	defer response.Close()
	sink.Begin(response.Status, EndToEnd(response.Header))
	r := &relay{target: target.Address, id: call.Handle, sink: sink, watch: noObserver{}, resume: dispatch.Resume}
	if isEventStream(response) && response.Status == statusOK {
		err = r.stream(ctx, response)
	} else {
		err = r.body(response)
	}
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		e.Metrics.Add(metrics.CallerGone, 1)
		cancelRun(target.Address, call.Handle)
	}
	if err == nil {
		e.Metrics.Add(metrics.Answered, 1)
	}
	sink.End(err)
	return nil
}

// cancelRun ends a run whose answer nobody wants.
func cancelRun(target, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = dispatch.Cancel(ctx, target, id)
}

// refuseSend turns an error of dispatch.Send into a refusal.
func refuseSend(ctx context.Context, err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Run: fault.Unknown, Step: fault.StepDispatch, Status: statusBadGateway, Reason: err.Error(),
	}
	if dispatch.IsNotSent(err) {
		refusal.Run = fault.NotRun
		refusal.RetryAfter = time.Second
	}
	if ctx.Err() != nil {
		refusal.Status = statusTimeout
	}
	return refusal
}

type noObserver struct{}

func (noObserver) firstToken()  {}
func (noObserver) progress(int) {}
