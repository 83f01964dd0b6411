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

// HeaderLastEvent gives the last event that a caller has seen.
const HeaderLastEvent = "Last-Event-ID"

// PathRequests is the path under which answers are asked for by handle.
const PathRequests = "/v1/requests/"

// Resume returns the answer of an earlier request after the given event: from
// this instance, from the one that runs it, or from the target itself. The
// error is a *fault.Refusal, or the context's.
func (e *Executor) Resume(ctx context.Context, account, text string, after uint64) (*Execution, error) {
	named, err := handle.Decode(e.Secret, text)
	if err != nil || named.Account != account {
		return nil, refuse(fault.StepAccept, statusNotFound, "no request of this account has the handle")
	}
	return e.follow(ctx, once.Dispatched{
		Instance: named.Instance, Handle: text, Target: named.Target, RequestID: named.RequestID,
	}, after, anyForm)
}

// form tells in which form an answer is wanted.
type form int

const (
	// anyForm takes events or a plain body.
	anyForm form = iota
	// asStream and asBody take only that.
	asStream
	asBody
)

// formOf returns the form that a call asks for.
func formOf(call *Call) form {
	if call.Prompt.Stream {
		return asStream
	}
	return asBody
}

// fits tells whether a response has the form.
func (f form) fits(response *dispatch.Response) bool {
	return f == anyForm || isEventStream(response) == (f == asStream)
}

// follow returns an answer that is or was written elsewhere.
func (e *Executor) follow(ctx context.Context, at once.Dispatched, after uint64, want form) (*Execution, error) {
	if named, err := handle.Decode(e.Secret, at.Handle); err == nil {
		at.RequestID = named.RequestID
		at.Target = named.Target
		if a := e.local(named); a != nil {
			return &Execution{Answer: a, Abandon: nobody}, nil
		}
	}
	response, err := e.reopenAt(ctx, at, after)
	if err != nil {
		return nil, followRefusal(err)
	}
	if refusal := peerRefusal(response); refusal != nil {
		response.Close()
		return nil, refusal
	}
	if (response.Status != statusOK && response.Get(HeaderRequest) == "") || !want.fits(response) {
		response.Close()
		return nil, followRefusal(nil)
	}
	a := answer.New(answer.Options{Limit: answer.LiveLimit, After: after})
	run, cancel := context.WithCancel(e.base)
	e.running.Go(func() {
		defer cancel()
		e.relayResumed(run, at, after, response, a)
	})
	return &Execution{Answer: a, Abandon: cancel}, nil
}

// local finds the answer at this instance.
func (e *Executor) local(named handle.Handle) *answer.Answer {
	if named.Instance != e.Viewer.View().Self.Name {
		return nil
	}
	if a := e.live.Get(named.RequestID); a != nil {
		return a
	}
	if a := e.stored.Get(named.RequestID); a != nil {
		return a
	}
	return e.Ledger.Answer(named.RequestID)
}

func followRefusal(err error) *fault.Refusal {
	refusal := &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepStream, Status: statusNotFound,
		Reason: "neither an instance nor the target knows the answer any more",
	}
	if err != nil {
		refusal.Reason += ": " + err.Error()
	}
	return refusal
}

// relayResumed relays a resumed answer.
func (e *Executor) relayResumed(ctx context.Context, at once.Dispatched, after uint64, response *dispatch.Response, a *answer.Answer) {
	defer response.Close()
	head := answer.Head{Status: response.Status, Fields: fields(EndToEnd(response.Header))}
	if response.Get(HeaderRequest) == "" {
		head.Fields = append(head.Fields, answer.Field{Name: HeaderRequest, Value: at.Handle})
	}
	a.SetHead(head)
	r := &relay{
		source: at.Target, answer: a, watch: noObserver{}, last: after,
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			return e.reopenAt(ctx, at, after)
		},
	}
	e.relayAnswer(ctx, r, response)
}

// reopen resumes a stream by the handle's text.
func (e *Executor) reopen(ctx context.Context, text string, after uint64) (*dispatch.Response, error) {
	named, err := handle.Decode(e.Secret, text)
	if err != nil {
		return nil, err
	}
	return e.reopenAt(ctx, once.Dispatched{
		Instance: named.Instance, Handle: text, Target: named.Target, RequestID: named.RequestID,
	}, after)
}

// errNoStream means that the target keeps no streams to resume.
var errNoStream = errors.New("the target keeps no streams")

// reopenAt asks the instance that runs a request for its answer, and the target
// when the instance does not answer and the target is an engine.
func (e *Executor) reopenAt(ctx context.Context, at once.Dispatched, after uint64) (*dispatch.Response, error) {
	if member, ok := e.member(at.Instance); ok && at.Handle != "" {
		response, err := e.askInstance(ctx, member, at.Handle, after)
		if err == nil && response.Status == statusOK {
			return response, nil
		}
		if err == nil {
			response.Close()
		}
	}
	if !e.runsAtEngine(at) {
		return nil, errNoStream
	}
	return dispatch.Resume(ctx, at.Target, at.RequestID, after)
}

// runsAtEngine tells whether a request went to an engine; plain services keep no
// streams, and asking one would be a call of its own.
func (e *Executor) runsAtEngine(at once.Dispatched) bool {
	named, err := handle.Decode(e.Secret, at.Handle)
	if err != nil {
		return false
	}
	pool := e.Tables().Pool(named.Pool)
	return pool != nil && pool.Kind == tables.KindEngine
}

// member finds another live instance by name.
func (e *Executor) member(name string) (membership.Member, bool) {
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

// askInstance asks another instance for an answer that it writes.
func (e *Executor) askInstance(ctx context.Context, member membership.Member, text string, after uint64) (*dispatch.Response, error) {
	named, err := handle.Decode(e.Secret, text)
	if err != nil {
		return nil, err
	}
	return dispatch.Send(ctx, &dispatch.Request{
		Target: member.CallerAddress, ID: named.RequestID, Method: "GET", URI: PathRequests + url.PathEscape(text),
		Header: []dispatch.Field{
			{Name: HeaderLastEvent, Value: strconv.FormatUint(after, 10)},
			{Name: HeaderAccount, Value: named.Account},
			{Name: HeaderLocalOnly, Value: "1"},
		},
	})
}

// HeaderLocalOnly asks an instance for an answer only if it is recorded there,
// so that instances do not ask each other in a circle.
const HeaderLocalOnly = "Hibiscus-Local-Only"

// ResumeLocal is Resume for the requests of other instances.
func (e *Executor) ResumeLocal(account, text string) (*Execution, error) {
	named, err := handle.Decode(e.Secret, text)
	if err == nil && named.Account == account {
		if a := e.local(named); a != nil {
			return &Execution{Answer: a, Abandon: nobody}, nil
		}
	}
	return nil, refuse(fault.StepAccept, statusNotFound, "the answer is not recorded here")
}
