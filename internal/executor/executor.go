// Package executor executes requests: it routes a request, waits for a target,
// dispatches the request there and records the response.
//
// The steps of a request are route, wait (for a target), claim (the right to
// dispatch), dispatch and stream. Each step may refuse the request; the refusal
// states whether the request ran. Who dispatches a request depends on its
// idempotency key and its route:
//
//   - without a key, the instance that received the request;
//   - with a key on an idempotent route, the owner of the key, to which the
//     other instances forward the request;
//   - on a non-idempotent route, the instance that received the request, after
//     it has claimed the key in the table service.
//
// In all three cases a request is never sent again once a byte of it may have
// been sent to a target.
//
// Executor runs requests. Call is a request as received from a caller, and
// Execution is the running request that the caller follows.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// ResumeGrace is how long a request without a key continues to run after its
// caller has disconnected, so that the caller can resume it by its handle.
const ResumeGrace = 2 * time.Second

// liveRetention is how long a response is kept in memory after it has ended.
const liveRetention = 10 * time.Second

// Options holds the dependencies of an Executor; all are required.
type Options struct {
	Viewer membership.Viewer
	// Tables returns the configuration in force.
	Tables func() *tables.Tables
	// CheckReady returns the reason why the instance accepts no requests, or nil.
	CheckReady func() error
	Admission  *admission.Controller
	// Observe records the outcome of an attempt.
	Observe func(evidence.Observation)
	// MarkLeaving marks a target that refused a request because it is shutting
	// down.
	MarkLeaving func(address string)
	Quarantine  *quarantine.Registry
	Shards      *once.Shards
	Ledger      *once.Ledger
	Forwards    *once.Forwards
	Claims      *once.Claims
	// Secret is the key for signing handles and forwarded requests.
	Secret  []byte
	Metrics *metrics.Set
}

// Executor executes requests.
type Executor struct {
	Options
	// runsContext is the parent context of all runs.
	runsContext context.Context
	cancelRuns  context.CancelFunc
	// runs tracks the goroutines of the runs.
	runs conc.WaitGroup
	// liveAnswers holds the responses to requests without a key, by request ID.
	liveAnswers *answer.Store
	// claimedAnswers holds the responses to claimed requests in full, by request
	// ID, until they are stored in the table service.
	claimedAnswers *answer.Store
	// runningByTarget maps a target's address to the *atomic.Int64 that counts the
	// requests of this instance at the target.
	runningByTarget sync.Map
}

// New returns an Executor. Run removes its expired responses.
func New(options Options) *Executor {
	e := &Executor{Options: options}
	e.runsContext, e.cancelRuns = context.WithCancel(context.Background())
	e.liveAnswers = answer.NewStore(answer.StoreOptions{AnswerMaxBytes: answer.LiveMaxBytes, Retention: liveRetention})
	e.claimedAnswers = answer.NewStore(answer.StoreOptions{Retention: liveRetention})
	return e
}

// Run removes expired responses until the context ends.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(liveRetention / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.liveAnswers.RemoveExpired()
			e.claimedAnswers.RemoveExpired()
		}
	}
}

// Shutdown waits for all runs. If the context ends first, it cancels them.
func (e *Executor) Shutdown(ctx context.Context) {
	defer context.AfterFunc(ctx, e.cancelRuns)()
	e.runs.Wait()
}

// Execution is a request that has started.
type Execution struct {
	// Answer records the response as it arrives.
	Answer *answer.Answer
	// Abandon is to be called when the caller stops following the response before
	// its end.
	Abandon func()
}

// job is a call with its route, pool and deadline.
type job struct {
	call  *Call
	route *tables.Route
	pool  *tables.Pool
	// requestID identifies the request at its target.
	requestID   string
	fingerprint quarantine.Fingerprint
	deadline    time.Time
}

// Execute starts a call and returns once the source of its response is known.
// The end of the context, which is the caller's, ends the wait. The error is a
// *fault.Refusal or the error of the context.
func (e *Executor) Execute(ctx context.Context, call *Call) (*Execution, error) {
	e.Metrics.Add(metrics.RequestsAccepted, 1)
	j, err := e.plan(call)
	if err != nil {
		return nil, err
	}
	switch {
	case !j.route.Idempotent:
		return e.executeClaimed(ctx, j)
	case call.IdempotencyKey != "":
		ctx, cancel := context.WithDeadline(ctx, j.deadline)
		defer cancel()
		return e.executeKeyed(ctx, j)
	default:
		return e.executeUnkeyed(j), nil
	}
}

// plan selects the route and computes the deadline. It refuses calls that must
// not run.
func (e *Executor) plan(call *Call) (*job, error) {
	if err := e.CheckReady(); err != nil {
		refusal := notRunRefusal(fault.StepAccept, statusUnavailable, err.Error())
		if call.IdempotencyKey != "" {
			refusal.Execution = fault.ExecutionUnknown
		}
		return nil, refusal
	}
	config := e.Tables()
	route := config.Route(call.Path, call.Prompt.Model, call.Account)
	if route == nil {
		return nil, notRunRefusal(fault.StepRoute, statusNotFound, "no route matches the path, model and account")
	}
	if !route.Idempotent && call.IdempotencyKey == "" {
		return nil, notRunRefusal(fault.StepRoute, statusBadRequest, "this route is not idempotent and needs the header Idempotency-Key")
	}
	j := &job{call: call, route: route, pool: config.Pool(route.Pool), requestID: uuid.NewString()}
	j.fingerprint = quarantine.NewFingerprint(call.Account, call.Method+" "+call.Path, call.Body)
	if e.Quarantine.ShouldRefuse(j.fingerprint) {
		e.Metrics.Add(metrics.RequestsQuarantined, 1)
		refusal := notRunRefusal(fault.StepRoute, statusUnprocessable, "this request has crashed targets and is quarantined")
		refusal.Execution = fault.RanInPart
		return nil, refusal
	}
	j.deadline = call.ReceivedAt.Add(time.Duration(route.EffectiveDeadline()))
	if !call.Deadline.IsZero() && call.Deadline.Before(j.deadline) {
		j.deadline = call.Deadline
	}
	return j, nil
}

// executeUnkeyed starts a request without a key.
func (e *Executor) executeUnkeyed(j *job) *Execution {
	a := e.liveAnswers.New(0)
	e.liveAnswers.Put(j.requestID, a)
	ctx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	e.runs.Go(func() {
		defer cancel()
		e.runJob(ctx, j, a, unkeyedPermit{})
	})
	return &Execution{Answer: a, Abandon: func() { cancelAfterGrace(ctx, cancel, a) }}
}

// cancelAfterGrace cancels a run after ResumeGrace unless a reader follows its
// response by then.
func cancelAfterGrace(ctx context.Context, cancel context.CancelFunc, a *answer.Answer) {
	timer := time.AfterFunc(ResumeGrace, func() {
		if a.ReaderCount() == 0 {
			cancel()
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// runningCounter returns the counter of this instance's requests at a target.
func (e *Executor) runningCounter(address string) *atomic.Int64 {
	counter, ok := e.runningByTarget.Load(address)
	if !ok {
		counter, _ = e.runningByTarget.LoadOrStore(address, new(atomic.Int64))
	}
	return counter.(*atomic.Int64)
}
