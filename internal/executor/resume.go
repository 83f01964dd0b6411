package executor

import (
	"context"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// HeaderAccount names the client account; the balancer sets it.
const HeaderAccount = "Hibiscus-Account"

// HeaderLastEventID gives the last event that a caller has seen.
const HeaderLastEventID = "Last-Event-ID"

// PathRequests is the path under which answers are asked for by handle.
const PathRequests = "/v1/requests/"

// Resume returns the answer of an earlier request after the given event: from
// this instance, from the one that runs it, or from the target itself. The
// error is a *fault.Refusal, or the context's.
func (e *Executor) Resume(ctx context.Context, account, handleText string, after uint64) (*Execution, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil || decoded.Account != account {
		return nil, notRunRefusal(fault.StepAccept, statusNotFound, "no request of this account has the handle")
	}
	return e.followRequest(ctx, once.Dispatched{
		Instance: decoded.Instance, Handle: handleText, Target: decoded.Target, RequestID: decoded.RequestID,
	}, after, anyForm)
}

// responseForm tells in which responseForm an answer is wanted.
type responseForm int

const (
	// anyForm takes events or a plain body.
	anyForm responseForm = iota
	// streamForm and asBody take only that.
	streamForm
	bodyForm
)

// requestedForm returns the form that a call asks for.
func requestedForm(call *Call) responseForm {
	if call.Prompt.Stream {
		return streamForm
	}
	return bodyForm
}

// matches tells whether a response has the form.
func (f responseForm) matches(response *dispatch.Response) bool {
	return f == anyForm || isEventStream(response) == (f == streamForm)
}

// followRequest returns an answer that is or was written elsewhere.
func (e *Executor) followRequest(ctx context.Context, location once.Dispatched, after uint64, form responseForm) (*Execution, error) {
	if decoded, err := handle.Decode(e.Secret, location.Handle); err == nil {
		location.RequestID = decoded.RequestID
		location.Target = decoded.Target
		if a := e.localAnswer(decoded); a != nil {
			return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
		}
	}
	response, err := e.resumeAt(ctx, location, after)
	if err != nil {
		return nil, answerNotFound(err)
	}
	if refusal := refusalFromPeer(response); refusal != nil {
		response.Close()
		return nil, refusal
	}
	if (response.Status != statusOK && response.Get(HeaderRequest) == "") || !form.matches(response) {
		response.Close()
		return nil, answerNotFound(nil)
	}
	a := answer.New(answer.Options{Limit: answer.LiveLimit, After: after})
	runCtx, cancel := context.WithCancel(e.runsContext)
	e.runs.Go(func() {
		defer cancel()
		e.relayResumed(runCtx, location, after, response, a)
	})
	return &Execution{Answer: a, Abandon: cancel}, nil
}

// localAnswer finds the answer at this instance.
func (e *Executor) localAnswer(decoded handle.Handle) *answer.Answer {
	if decoded.Instance != e.Viewer.View().Self.Name {
		return nil
	}
	if a := e.liveAnswers.Get(decoded.RequestID); a != nil {
		return a
	}
	if a := e.claimedAnswers.Get(decoded.RequestID); a != nil {
		return a
	}
	return e.Ledger.Answer(decoded.RequestID)
}

func answerNotFound(err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Run: fault.Unknown, Step: fault.StepStream, Status: statusNotFound,
		Reason: "neither an instance nor the target knows the answer any more",
	}
	if err != nil {
		refusal.Reason += ": " + err.Error()
	}
	return refusal
}

// relayResumed relays a resumed answer.
func (e *Executor) relayResumed(ctx context.Context, location once.Dispatched, after uint64, response *dispatch.Response, a *answer.Answer) {
	defer response.Close()
	head := answer.Head{Status: response.Status, Fields: toAnswerFields(EndToEndFields(response.Header))}
	if response.Get(HeaderRequest) == "" {
		head.Fields = append(head.Fields, answer.Field{Name: HeaderRequest, Value: location.Handle})
	}
	a.SetHead(head)
	r := &relay{
		source: location.Target, answer: a, observer: discardProgress{}, lastID: after,
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			return e.resumeAt(ctx, location, after)
		},
	}
	e.relayAnswer(ctx, r, response)
}

// resumeByHandle resumes a stream by the handle's text.
func (e *Executor) resumeByHandle(ctx context.Context, handleText string, after uint64) (*dispatch.Response, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil {
		return nil, err
	}
	return e.resumeAt(ctx, once.Dispatched{
		Instance: decoded.Instance, Handle: handleText, Target: decoded.Target, RequestID: decoded.RequestID,
	}, after)
}

// errNotResumable means that the target keeps no streams to resume.
var errNotResumable = errors.New("the target keeps no streams")

// resumeAt asks the instance that runs a request for its answer, and the target
// when the instance does not answer and the target is an engine.
func (e *Executor) resumeAt(ctx context.Context, location once.Dispatched, after uint64) (*dispatch.Response, error) {
	if member, ok := e.findInstance(location.Instance); ok && location.Handle != "" {
		response, err := e.resumeAtInstance(ctx, member, location.Handle, after)
		if err == nil && response.Status == statusOK {
			return response, nil
		}
		if err == nil {
			response.Close()
		}
	}
	if !e.runsAtEngine(location) {
		return nil, errNotResumable
	}
	return dispatch.Resume(ctx, location.Target, location.RequestID, after)
}

// runsAtEngine tells whether a request went to an engine; plain services keep no
// streams, and asking one would be a call of its own.
func (e *Executor) runsAtEngine(location once.Dispatched) bool {
	decoded, err := handle.Decode(e.Secret, location.Handle)
	if err != nil {
		return false
	}
	pool := e.Tables().Pool(decoded.Pool)
	return pool != nil && pool.Kind == tables.KindEngine
}

// findInstance finds another live instance by name.
func (e *Executor) findInstance(name string) (membership.Member, bool) {
	view := e.Viewer.View()
	if name == view.Self.Name {
		return membership.Member{}, false
	}
	for _, member := range view.Members {
		if member.Name == name {
			return member, true
		}
	}
	return membership.Member{}, false
}

// resumeAtInstance asks another instance for an answer that it writes.
func (e *Executor) resumeAtInstance(ctx context.Context, member membership.Member, handleText string, after uint64) (*dispatch.Response, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil {
		return nil, err
	}
	return dispatch.Send(ctx, &dispatch.Request{
		Target: member.CallerAddress, ID: decoded.RequestID, Method: "GET", URI: PathRequests + url.PathEscape(handleText),
		Header: []dispatch.Field{
			{Name: HeaderLastEventID, Value: strconv.FormatUint(after, 10)},
			{Name: HeaderAccount, Value: decoded.Account},
			{Name: HeaderLocalOnly, Value: "1"},
		},
	})
}

// HeaderLocalOnly asks an instance for an answer only if it is recorded there,
// so that instances do not ask each other in a circle.
const HeaderLocalOnly = "Hibiscus-Local-Only"

// ResumeLocal is Resume for the requests of other instances.
func (e *Executor) ResumeLocal(account, handleText string) (*Execution, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err == nil && decoded.Account == account {
		if a := e.localAnswer(decoded); a != nil {
			return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
		}
	}
	return nil, notRunRefusal(fault.StepAccept, statusNotFound, "the answer is not recorded here")
}
