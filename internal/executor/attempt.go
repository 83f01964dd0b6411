package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// HeaderRequest carries a request's handle to its caller.
const HeaderRequest = "Hibiscus-Request"

// errPreempted is the cause of runs cancelled for a higher tier.
var errPreempted = errors.New("preempted by a higher tier")

// permit gives the right to dispatch, just before the first byte may leave. An
// error is a not_run refusal.
type permit interface {
	dispatch(ctx context.Context, at once.Dispatched) error
}

// noPermit is the permit of requests without a key.
type noPermit struct{}

func (noPermit) dispatch(context.Context, once.Dispatched) error { return nil }

// carryOut waits for a target, dispatches and relays the answer into a. It
// always ends a.
func (e *Executor) carryOut(ctx context.Context, j *job, a *answer.Answer, p permit) {
	avoid := e.suspectTargets(j)
	for {
		grant, err := e.admit(ctx, j, avoid)
		if errors.Is(err, admission.ErrDraining) {
			e.passOn(ctx, j, a)
			return
		}
		if err != nil {
			refusal := asRefusal(fault.StepWait, err)
			if _, claims := p.(*claimPermit); claims {
				// An earlier attempt with the key may have run; the claim tells
				// only once a target is free.
				refusal.Execution = doubt(refusal.Execution)
			}
			e.refuseAnswer(a, refusal)
			return
		}
		if again := e.attempt(ctx, j, a, p, grant); !again {
			return
		}
		avoid[grant.Target().Name] = true
	}
}

// suspectTargets returns the targets to which a request that ran at a crash must
// not be sent.
func (e *Executor) suspectTargets(j *job) map[string]bool {
	avoid := make(map[string]bool)
	if !e.Quarantine.IsSuspect(j.fingerprint) {
		return avoid
	}
	for _, target := range j.pool.Targets {
		if !e.Quarantine.MayDispatch(j.fingerprint, target.Name) {
			avoid[target.Name] = true
		}
	}
	return avoid
}

// kept tells whether the request is run by the owner of its key. While the key owner
// shuts down it goes on waiting there: those that keep the key next follow it.
func (j *job) kept() bool { return j.route.Idempotent && j.call.Key != "" }

// admit waits for a target.
func (e *Executor) admit(ctx context.Context, j *job, avoid map[string]bool) (*admission.Grant, error) {
	prompt := &j.call.Prompt
	r := &admission.Request{
		Pool: j.route.Pool, Route: j.route.Name, Account: j.call.Account, Tier: j.route.Tier,
		PromptTokens: prompt.Tokens(), OutputTokens: prompt.MaxTokens, PrefixHashes: prompt.Prefix(),
		FailureDomain: e.Viewer.View().Self.FailureDomain, Deadline: j.deadline,
		QueueDeadline: j.call.Received.Add(time.Duration(j.route.EffectiveMaxWait())),
		Idempotent:    j.route.Idempotent, ExcludedTargets: avoid, WaitThroughDrain: j.kept(),
	}
	if j.route.FirstTokenObjective > 0 {
		r.FirstTokenBy = j.call.Received.Add(time.Duration(j.route.FirstTokenObjective))
	}
	return e.Admission.Admit(ctx, r)
}

// refuseAnswer ends an answer with a refusal.
func (e *Executor) refuseAnswer(a *answer.Answer, refusal *fault.Refusal) {
	e.count(refusal)
	a.Refuse(refusal)
}

// attempt is one dispatch to one target.
type attempt struct {
	executor *Executor
	job      *job
	answer   *answer.Answer
	grant    *admission.Grant
	target   tables.Target
	started  time.Time
	// running is the number of requests at the target at the start.
	running int
	first   time.Duration
	events  int
	usage   usage
	// gone is set once the target was found to have crashed.
	gone bool
}

// attempt dispatches once. It returns true when it is proved that nothing was
// sent and another target may be tried.
func (e *Executor) attempt(ctx context.Context, j *job, a *answer.Answer, p permit, grant *admission.Grant) (again bool) {
	t := &attempt{executor: e, job: j, answer: a, grant: grant, target: grant.Target()}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	e.running.Go(func() {
		select {
		case <-grant.Preempted():
			cancel(errPreempted)
		case <-ended:
		}
	})
	name, err := t.handle()
	if err == nil {
		err = p.dispatch(ctx, once.Dispatched{
			Instance: e.Viewer.View().Self.Name, Handle: name, Target: t.target.Address, RequestID: j.id,
		})
	}
	if err != nil {
		grant.Finish(admission.Outcome{Kind: admission.Cancelled})
		e.refuseAnswer(a, asRefusal(fault.StepClaim, err))
		return false
	}
	return t.run(ctx, name)
}

// handle returns the signed handle of the request at this target.
func (t *attempt) handle() (string, error) {
	return handle.Handle{
		Instance: t.executor.Viewer.View().Self.Name, RequestID: t.job.id, Account: t.job.call.Account,
		Pool: t.job.route.Pool, Target: t.target.Address, CreatedMillis: t.job.call.Received.UnixMilli(),
	}.Encode(t.executor.Secret)
}

// run sends the request and relays the answer.
func (t *attempt) run(ctx context.Context, name string) (again bool) {
	e := t.executor
	counter := e.runningAt(t.target.Address)
	t.running = int(counter.Add(1))
	defer counter.Add(-1)
	t.started = time.Now()
	e.Quarantine.RecordStart(t.job.fingerprint, t.target.Name)
	response, err := dispatch.Send(ctx, &dispatch.Request{
		Target: t.target.Address, ID: t.job.id, Method: t.job.call.Method, URI: t.job.call.URI(),
		Header: EndToEnd(t.job.call.Header), Body: t.job.call.Body,
	})
	if err != nil {
		return t.sendFailed(ctx, err)
	}
	e.Metrics.Add(metrics.RequestsDispatched, 1)
	defer response.Close()
	if refused := t.refusedByTarget(response); refused {
		return false
	}
	t.answer.SetHead(answer.Head{
		Status: response.Status,
		Fields: append(fields(EndToEnd(response.Header)), answer.Field{Name: HeaderRequest, Value: name}),
	})
	t.end(ctx, response, t.relay(ctx, response))
	return false
}

// relay passes the answer's body on.
func (t *attempt) relay(ctx context.Context, response *dispatch.Response) error {
	if t.job.pool.Kind != tables.KindEngine {
		return (&relay{source: t.target.Address, answer: t.answer, watch: t}).body(ctx, response)
	}
	r := &relay{
		source: t.target.Address, answer: t.answer, watch: t,
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			response, err := dispatch.Resume(ctx, t.target.Address, t.job.id, after)
			if dispatch.IsNotSent(err) && ctx.Err() == nil {
				t.crashed()
			}
			return response, err
		},
	}
	defer func() { t.executor.Metrics.Add(metrics.StreamsResumed, int64(r.resumed)) }()
	return r.all(ctx, response)
}

// firstToken implements observer.
func (t *attempt) firstToken() {
	t.first = time.Since(t.started)
	t.grant.ReportFirstToken()
}

// progress implements observer.
func (t *attempt) progress(events int, data []byte) {
	t.events = events
	t.grant.ReportProgress(events)
	t.usage.read(data)
}
