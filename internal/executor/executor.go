// Package executor carries one request from its route to its complete answer
// or a true refusal.
//
// A request passes these steps: route, wait (for a target), claim (the right
// to dispatch), dispatch, stream. Each may refuse it; the refusal says whether
// the request ran. There are three grades:
//
//   - without a key, a request is dispatched by the instance that took it;
//   - with a key on an idempotent route, by the owner of the key, to which
//     other instances forward it;
//   - on a route that is not idempotent, by the instance that took it, once it
//     has claimed the key in the table service.
//
// Invariant of all three: from the first byte that may have left for a target,
// the request is never sent again.
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

// ResumeGrace is how long a run without a key goes on after its caller has
// gone, for the case that the caller asks for the rest by the handle.
const ResumeGrace = 2 * time.Second

// liveKeep is how long the end of an answer without a key is kept.
const liveKeep = 10 * time.Second

// Options are what an executor works with; all are required.
type Options struct {
	Viewer membership.Viewer
	// Tables returns the configuration in force.
	Tables func() *tables.Tables
	// Ready tells why the instance takes no new work, or nil.
	Ready     func() error
	Admission *admission.Controller
	// Observe takes the outcome of each request.
	Observe func(evidence.Observation)
	// MarkLeaving is told of a target that refused work since it leaves.
	MarkLeaving func(address string)
	Quarantine  *quarantine.Registry
	Shards      *once.Shards
	Ledger      *once.Ledger
	Forwards    *once.Forwards
	Claims      *once.Claims
	// Secret signs handles and requests between instances.
	Secret  []byte
	Metrics *metrics.Set
}

// Executor carries requests out.
type Executor struct {
	Options
	// base is the parent of all runs.
	base context.Context
	stop context.CancelFunc
	// running holds the runs.
	running conc.WaitGroup
	// live holds the answers of runs without a key, by request id.
	live *answer.Store
	// stored holds the answers of claimed runs, whole, until they are on record
	// in the table service.
	stored *answer.Store
	// load counts the requests that this instance runs at each target.
	load sync.Map
}

// New returns an executor.
func New(options Options) *Executor {
	e := &Executor{Options: options}
	e.base, e.stop = context.WithCancel(context.Background())
	e.live = answer.NewStore(answer.StoreOptions{Limit: answer.LiveLimit, Keep: liveKeep})
	e.stored = answer.NewStore(answer.StoreOptions{Keep: liveKeep})
	return e
}

// Run forgets old answers until the context ends.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(liveKeep / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.live.Age()
			e.stored.Age()
		}
	}
}

// Shutdown waits for all runs; when the context ends first it cuts them.
func (e *Executor) Shutdown(ctx context.Context) {
	defer context.AfterFunc(ctx, e.stop)()
	e.running.Wait()
}

// Execution is a request under way.
type Execution struct {
	// Answer is written as the answer comes.
	Answer *answer.Answer
	// Abandon tells that the caller has gone.
	Abandon func()
}

// job is a call with what was decided about it.
type job struct {
	call  *Call
	route *tables.Route
	pool  *tables.Pool
	// id names the run at its target.
	id          string
	fingerprint quarantine.Fingerprint
	deadline    time.Time
}

// Execute starts a call and returns once it is known where its answer will
// come from. The context is the caller's: its end gives up the wait. The error
// is a *fault.Refusal, or the context's.
func (e *Executor) Execute(ctx context.Context, call *Call) (*Execution, error) {
	e.Metrics.Add(metrics.RequestsAccepted, 1)
	j, err := e.plan(call)
	if err != nil {
		return nil, err
	}
	switch {
	case !j.route.Idempotent:
		return e.claimed(ctx, j)
	case call.Key != "":
		ctx, cancel := context.WithDeadline(ctx, j.deadline)
		defer cancel()
		return e.keyed(ctx, j)
	default:
		return e.unkeyed(j), nil
	}
}

// plan finds the route and refuses what must not run.
func (e *Executor) plan(call *Call) (*job, error) {
	if err := e.Ready(); err != nil {
		refusal := refuse(fault.StepAccept, statusUnavailable, err.Error())
		if call.Key != "" {
			refusal.Execution = fault.ExecutionUnknown
		}
		return nil, refusal
	}
	config := e.Tables()
	route := config.Route(call.Path, call.Prompt.Model, call.Account)
	if route == nil {
		return nil, refuse(fault.StepRoute, statusNotFound, "no route matches the path, model and account")
	}
	if !route.Idempotent && call.Key == "" {
		return nil, refuse(fault.StepRoute, statusBadRequest, "this route is not idempotent and needs the header Idempotency-Key")
	}
	j := &job{call: call, route: route, pool: config.Pool(route.Pool), id: uuid.NewString()}
	j.fingerprint = quarantine.NewFingerprint(call.Account, call.Method+" "+call.Path, call.Body)
	if e.Quarantine.ShouldRefuse(j.fingerprint) {
		e.Metrics.Add(metrics.RequestsQuarantined, 1)
		refusal := refuse(fault.StepRoute, statusUnprocessable, "this request has crashed targets and is quarantined")
		refusal.Execution = fault.RanInPart
		return nil, refusal
	}
	j.deadline = call.Received.Add(time.Duration(route.EffectiveDeadline()))
	if !call.Deadline.IsZero() && call.Deadline.Before(j.deadline) {
		j.deadline = call.Deadline
	}
	return j, nil
}

// unkeyed runs a request without a key.
func (e *Executor) unkeyed(j *job) *Execution {
	a := e.live.New(0)
	e.live.Put(j.id, a)
	ctx, cancel := context.WithDeadline(e.base, j.deadline)
	e.running.Go(func() {
		defer cancel()
		e.carryOut(ctx, j, a, noPermit{})
	})
	return &Execution{Answer: a, Abandon: func() { abandonLater(ctx, cancel, a) }}
}

// abandonLater cancels a run after the grace, unless someone follows it again.
func abandonLater(ctx context.Context, cancel context.CancelFunc, a *answer.Answer) {
	timer := time.AfterFunc(ResumeGrace, func() {
		if a.Readers() == 0 {
			cancel()
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// runningAt returns the counter of this instance's requests at a target.
func (e *Executor) runningAt(address string) *atomic.Int64 {
	counter, ok := e.load.Load(address)
	if !ok {
		counter, _ = e.load.LoadOrStore(address, new(atomic.Int64))
	}
	return counter.(*atomic.Int64)
}
