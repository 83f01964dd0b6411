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
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// HeaderRequest carries the handle of a request to its caller.
const HeaderRequest = "Hibiscus-Request"

// errPreempted is the cancellation cause of a request preempted for a higher
// tier.
var errPreempted = errors.New("preempted by a higher tier")

// dispatchPermit grants the right to dispatch. It is acquired immediately before
// the request is sent to a target.
type dispatchPermit interface {
	acquire(ctx context.Context, location once.Location) error
}

// unkeyedPermit is the permit of requests without a key.
type unkeyedPermit struct{}

func (unkeyedPermit) acquire(context.Context, once.Location) error { return nil }

// runJob waits for a target, dispatches the request and relays the response
// into a. It always ends a.
func (e *Executor) runJob(ctx context.Context, j *job, a *answer.Answer, p dispatchPermit) {
	excluded := e.excludedTargets(j)
	for {
		grant, err := e.admit(ctx, j, excluded)
		if errors.Is(err, admission.ErrDraining) {
			e.forwardAtShutdown(ctx, j, a)
			return
		}
		if err != nil {
			refusal := refusalForError(fault.StepWait, err)
			if _, isClaim := p.(*claimPermit); isClaim {
				// An earlier attempt with the key may have run, but the claim is
				// read only after a target has been admitted.
				refusal.Execution = downgradeNotRun(refusal.Execution)
			}
			e.refuseAnswer(a, refusal)
			return
		}
		if retry := e.attempt(ctx, j, a, p, grant); !retry {
			return
		}
		excluded[grant.Target().Name] = true
	}
}

// excludedTargets returns the names of the targets to which the request must not
// be sent because it is suspected of crashing targets.
func (e *Executor) excludedTargets(j *job) map[string]bool {
	excluded := make(map[string]bool)
	if !e.Quarantine.IsSuspect(j.fingerprint) {
		return excluded
	}
	for _, target := range j.pool.Targets {
		if !e.Quarantine.MayDispatch(j.fingerprint, target.Name) {
			excluded[target.Name] = true
		}
	}
	return excluded
}

// runsAtKeyOwner reports whether the request runs at the owner of its key. Such a
// request keeps waiting there while the key owner shuts down, since the next
// owners of the key follow it there.
func (j *job) runsAtKeyOwner() bool { return j.route.Idempotent && j.call.IdempotencyKey != "" }

// admit waits for capacity at a target.
func (e *Executor) admit(ctx context.Context, j *job, excluded map[string]bool) (*admission.Grant, error) {
	prompt := &j.call.Prompt
	request := &admission.Request{
		Pool: j.route.Pool, Route: j.route.Name, Account: j.call.Account, Tier: j.route.Tier,
		PromptTokens: prompt.EstimatedTokens(), OutputTokens: prompt.MaxTokens, PrefixHashes: prompt.PrefixHashes(),
		FailureDomain: e.Viewer.View().Self.FailureDomain, Deadline: j.deadline,
		QueueDeadline: j.call.ReceivedAt.Add(time.Duration(j.route.EffectiveMaxWait())),
		Idempotent:    j.route.Idempotent, ExcludedTargets: excluded, WaitThroughDrain: j.runsAtKeyOwner(),
	}
	if j.route.FirstTokenObjective > 0 {
		request.FirstTokenBy = j.call.ReceivedAt.Add(time.Duration(j.route.FirstTokenObjective))
	}
	return e.Admission.Admit(ctx, request)
}

// refuseAnswer ends a response with a refusal and counts the refusal.
func (e *Executor) refuseAnswer(a *answer.Answer, refusal *fault.Refusal) {
	e.countRefusal(refusal)
	a.Refuse(refusal)
}

// attempt is one dispatch of a request to one target.
type attempt struct {
	executor  *Executor
	job       *job
	answer    *answer.Answer
	grant     *admission.Grant
	target    tables.Target
	startedAt time.Time
	// runningAtStart is the number of this instance's requests at the target when
	// the attempt started, this one included.
	runningAtStart   int
	timeToFirstToken time.Duration
	// chunks counts the chunks relayed: events of a stream or pieces of a body.
	chunks     int
	tokenUsage tokenUsage
	// tracked records the attempt in case the request crashes the target.
	tracked *quarantine.Attempt
}

// attempt dispatches the request once. It returns true if nothing was sent and
// the request may be retried at another target.
func (e *Executor) attempt(ctx context.Context, j *job, a *answer.Answer, p dispatchPermit, grant *admission.Grant) (retry bool) {
	current := &attempt{executor: e, job: j, answer: a, grant: grant, target: grant.Target()}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	e.runs.Go(func() {
		select {
		case <-grant.Preempted():
			cancel(errPreempted)
		case <-done:
		}
	})
	handleText, err := current.encodeHandle()
	if err == nil {
		err = p.acquire(ctx, once.Location{
			Instance: e.Viewer.View().Self.Name, Handle: handleText, Target: current.target.Address, RequestID: j.requestID,
		})
	}
	if err != nil {
		grant.Finish(admission.Outcome{Kind: admission.Cancelled})
		e.refuseAnswer(a, refusalForError(fault.StepClaim, err))
		return false
	}
	return current.run(ctx, handleText)
}

// encodeHandle returns the signed handle of the request at the target.
func (a *attempt) encodeHandle() (string, error) {
	return handle.Handle{
		Instance: a.executor.Viewer.View().Self.Name, RequestID: a.job.requestID, Account: a.job.call.Account,
		Pool: a.job.route.Pool, Target: a.target.Address, CreatedUnixMillis: a.job.call.ReceivedAt.UnixMilli(),
	}.Encode(a.executor.Secret)
}

// run sends the request and relays the response.
func (a *attempt) run(ctx context.Context, handleText string) (retry bool) {
	e := a.executor
	counter := e.runningCounter(a.target.Address)
	a.runningAtStart = int(counter.Add(1))
	defer counter.Add(-1)
	a.startedAt = time.Now()
	a.tracked = e.Quarantine.Start(a.job.fingerprint, a.target.Name, 0)
	response, err := dispatch.Send(ctx, &dispatch.Request{
		Address: a.target.Address, ID: a.job.requestID, Method: a.job.call.Method, URI: a.job.call.URI(),
		Header: EndToEndFields(a.job.call.Header), Body: a.job.call.Body,
	})
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	e.Metrics.Add(metrics.RequestsDispatched, 1)
	defer response.Close()
	if isRefusal := a.handleTargetRefusal(response); isRefusal {
		return false
	}
	a.answer.SetHead(answer.Head{
		Status: response.Status,
		Fields: append(toAnswerFields(EndToEndFields(response.Header)), answer.Field{Name: HeaderRequest, Value: handleText}),
	})
	a.finish(ctx, response, a.relayResponse(ctx, response))
	return false
}

// relayResponse relays the response body into the recorded response. Streams are
// resumed only at engines.
func (a *attempt) relayResponse(ctx context.Context, response *dispatch.Response) error {
	if a.job.pool.Kind != tables.KindEngine {
		return (&relay{source: a.target.Address, answer: a.answer, observer: a}).relayBody(ctx, response)
	}
	r := &relay{
		source: a.target.Address, answer: a.answer, observer: a,
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			response, err := dispatch.Resume(ctx, a.target.Address, a.job.requestID, after)
			if dispatch.IsNotSent(err) && ctx.Err() == nil {
				a.recordCrash()
				a.executor.Quarantine.RecordEnded(a.target.Name)
			}
			return response, err
		},
	}
	defer func() { a.executor.Metrics.Add(metrics.StreamsResumed, int64(r.resumed)) }()
	return r.relay(ctx, response)
}

// onFirstChunk implements progressObserver.
func (a *attempt) onFirstChunk() {
	a.timeToFirstToken = time.Since(a.startedAt)
	a.grant.ReportFirstToken()
}

// onChunk implements progressObserver.
func (a *attempt) onChunk(chunks int, data []byte) {
	a.chunks = chunks
	a.tracked.Heard(a.startedAt)
	a.grant.ReportProgress(chunks)
	a.tokenUsage.update(data)
}
