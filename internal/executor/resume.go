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

// HeaderAccount names the client account; the load balancer sets it.
const HeaderAccount = "Hibiscus-Account"

// HeaderLastEventID is the ID of the last event that the caller received.
const HeaderLastEventID = "Last-Event-ID"

// PathRequests is the path prefix for resuming responses by handle.
const PathRequests = "/v1/requests/"

// Resume returns the response to an earlier request after the given event: from
// this instance, from the instance that runs the request, or from the target. The
// error is a *fault.Refusal.
func (e *Executor) Resume(ctx context.Context, account, handleText string, after uint64) (*Execution, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil || decoded.Account != account {
		return nil, notRunRefusal(fault.StepAccept, statusNotFound, "no request of this account has the handle")
	}
	return e.followRequest(ctx, once.Location{
		Instance: decoded.Instance, Handle: handleText, Target: decoded.Target, RequestID: decoded.RequestID,
	}, after, anyForm)
}

// responseForm is the form of response that a caller accepts.
type responseForm int

const (
	// anyForm accepts an event stream or a plain body.
	anyForm responseForm = iota
	// streamForm accepts an event stream only.
	streamForm
	// bodyForm accepts a plain body only.
	bodyForm
)

// requestedForm returns the form that a call requests.
func requestedForm(call *Call) responseForm {
	if call.Prompt.Stream {
		return streamForm
	}
	return bodyForm
}

// matches reports whether the response has the form.
func (f responseForm) matches(response *dispatch.Response) bool {
	return f == anyForm || isEventStream(response) == (f == streamForm)
}

// followRequest returns the response to a request that another execution started,
// at this instance or elsewhere.
func (e *Executor) followRequest(ctx context.Context, location once.Location, after uint64, form responseForm) (*Execution, error) {
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
	a := answer.New(answer.Options{MaxBytes: answer.LiveMaxBytes, After: after})
	runCtx, cancel := context.WithCancel(e.runsContext)
	e.runs.Go(func() {
		defer cancel()
		e.relayResumed(runCtx, location, after, response, a)
	})
	return &Execution{Answer: a, Abandon: cancel}, nil
}

// localAnswer returns the response if it is recorded at this instance, or nil.
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
		Execution: fault.ExecutionUnknown, Step: fault.StepStream, Status: statusNotFound,
		Reason: "neither an instance nor the target knows the answer any more",
	}
	if err != nil {
		refusal.Reason += ": " + err.Error()
	}
	return refusal
}

// relayResumed relays a resumed response.
func (e *Executor) relayResumed(ctx context.Context, location once.Location, after uint64, response *dispatch.Response, a *answer.Answer) {
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

// resumeByHandle resumes a response by its encoded handle.
func (e *Executor) resumeByHandle(ctx context.Context, handleText string, after uint64) (*dispatch.Response, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil {
		return nil, err
	}
	return e.resumeAt(ctx, once.Location{
		Instance: decoded.Instance, Handle: handleText, Target: decoded.Target, RequestID: decoded.RequestID,
	}, after)
}

// errNotResumable means that the request did not run at an engine, so that the
// target has no stream to resume.
var errNotResumable = errors.New("the target keeps no streams")

// resumeAt resumes a response at the instance that runs the request, or at the
// target if the instance does not return it and the target is an engine.
func (e *Executor) resumeAt(ctx context.Context, location once.Location, after uint64) (*dispatch.Response, error) {
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

// runsAtEngine reports whether a request was sent to an engine. Plain services
// cannot resume a stream: they would take the attempt as a new request.
func (e *Executor) runsAtEngine(location once.Location) bool {
	decoded, err := handle.Decode(e.Secret, location.Handle)
	if err != nil {
		return false
	}
	pool := e.Tables().Pool(decoded.Pool)
	return pool != nil && pool.Kind == tables.KindEngine
}

// findInstance returns another live instance by name.
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

// resumeAtInstance requests a response that another instance records.
func (e *Executor) resumeAtInstance(ctx context.Context, member membership.Member, handleText string, after uint64) (*dispatch.Response, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil {
		return nil, err
	}
	return dispatch.Send(ctx, &dispatch.Request{
		Address: member.CallerAddress, ID: decoded.RequestID, Method: "GET", URI: PathRequests + url.PathEscape(handleText),
		Header: []dispatch.Field{
			{Name: HeaderLastEventID, Value: strconv.FormatUint(after, 10)},
			{Name: HeaderAccount, Value: decoded.Account},
			{Name: HeaderLocalOnly, Value: "1"},
		},
	})
}

// HeaderLocalOnly restricts a resumption to responses recorded at the instance,
// so that instances do not forward it to each other in a loop.
const HeaderLocalOnly = "Hibiscus-Local-Only"

// ResumeLocal is Resume for requests of other instances; it returns only responses
// recorded at this instance.
func (e *Executor) ResumeLocal(account, handleText string) (*Execution, error) {
	decoded, err := handle.Decode(e.Secret, handleText)
	if err == nil && decoded.Account == account {
		if a := e.localAnswer(decoded); a != nil {
			return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
		}
	}
	return nil, notRunRefusal(fault.StepAccept, statusNotFound, "the answer is not recorded here")
}
