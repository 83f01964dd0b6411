package executor

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/handle"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// Header fields between instances.
const (
	// HeaderForwarder names the instance that passes a request on, with
	// HeaderForwardMAC as proof.
	HeaderForwarder = "Hibiscus-Forwarder"
	// HeaderForwardKind is forwardKey or forwardDrain.
	HeaderForwardKind = "Hibiscus-Forward-Kind"
	// HeaderForwardRemaining is the time left to the deadline, in milliseconds.
	HeaderForwardRemaining = "Hibiscus-Forward-Remaining"
	// HeaderForwardMAC is the HMAC of the other three with the peer secret.
	HeaderForwardMAC = "Hibiscus-Forward-Mac"
)

// The values of HeaderForwardKind.
const (
	// forwardKey marks a request sent to the owner of its key.
	forwardKey = "key"
	// forwardDrain marks a request that waited at an instance that shuts down.
	forwardDrain = "drain"
)

// maxRefusalBytes bounds the body of another instance's refusal.
const maxRefusalBytes = 64 << 10

// forwardMAC signs the forwarding fields.
func forwardMAC(secret []byte, forwarder, kind, remaining string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("hibiscuspost forward v1\x00" + forwarder + "\x00" + kind + "\x00" + remaining))
	return hex.EncodeToString(mac.Sum(nil))
}

// AcceptForward reads the forwarding fields of a call, given by get. It returns
// false for a call that claims to be forwarded and is not.
func AcceptForward(secret []byte, call *Call, get func(name string) string) bool {
	forwarder := get(HeaderForwarder)
	if forwarder == "" {
		return true
	}
	kind, remaining := get(HeaderForwardKind), get(HeaderForwardRemaining)
	want := forwardMAC(secret, forwarder, kind, remaining)
	if !hmac.Equal([]byte(want), []byte(get(HeaderForwardMAC))) {
		return false
	}
	millis, err := strconv.ParseInt(remaining, 10, 64)
	if err != nil {
		return false
	}
	call.Deadline = call.Received.Add(time.Duration(millis) * time.Millisecond)
	if kind == forwardKey {
		call.Forwarder = forwarder
	}
	return true
}

// send passes a call to another instance.
func (e *Executor) send(ctx context.Context, j *job, to membership.Member, kind string) (*dispatch.Response, error) {
	self := e.Viewer.View().Self.Name
	remaining := strconv.FormatInt(max(time.Until(j.deadline).Milliseconds(), 0), 10)
	header := append(EndToEnd(j.call.Header),
		dispatch.Field{Name: HeaderForwarder, Value: self},
		dispatch.Field{Name: HeaderForwardKind, Value: kind},
		dispatch.Field{Name: HeaderForwardRemaining, Value: remaining},
		dispatch.Field{Name: HeaderForwardMAC, Value: forwardMAC(e.Secret, self, kind, remaining)},
	)
	e.Metrics.Add(metrics.RequestsForwarded, 1)
	return dispatch.Send(ctx, &dispatch.Request{
		Target: to.CallerAddress, ID: j.id, Method: j.call.Method, URI: j.call.URI(), Header: header, Body: j.call.Body,
	})
}

// forwardKeyed passes a request to the owner of its key and relays the answer.
// It returns once the head is there. When the key owner breaks off before it, the
// key is asked for again; the next key owner knows whether it was dispatched.
func (e *Executor) forwardKeyed(
	ctx context.Context, j *job, key once.Key, hash once.BodyHash, keyOwner membership.Member,
) (*Execution, *fault.Refusal) {
	if err := e.Forwards.Note(key, hash, keyOwner, j.deadline); err != nil {
		return nil, asRefusal(fault.StepForward, err)
	}
	run, cancel := context.WithDeadline(e.base, j.deadline)
	response, err := e.send(run, j, keyOwner, forwardKey)
	if err != nil {
		cancel()
		e.Forwards.Done(key, forwardEnd(dispatch.IsNotSent(err)))
		refusal := misdirected("")
		if !dispatch.IsNotSent(err) {
			refusal.Execution = fault.ExecutionUnknown
		}
		return nil, refusal
	}
	if refusal := peerRefusal(response); refusal != nil {
		cancel()
		response.Close()
		e.Forwards.Done(key, forwardEnd(refusal.Execution == fault.NotRun))
		e.learnKeyOwner(key, response.Get(HeaderKeyOwner))
		return nil, refusal
	}
	e.noteDispatched(key, response)
	a := e.live.New(0)
	e.running.Go(func() {
		defer cancel()
		e.relayFrom(run, keyOwner, response, a)
		end := once.ForwardBroken
		if state, _ := a.State(); state == answer.Complete {
			end = once.ForwardEnded
		}
		e.Forwards.Done(key, end)
	})
	return &Execution{Answer: a, Abandon: nobody}, nil
}

// forwardEnd tells how a forwarding without an answer ended.
func forwardEnd(notRun bool) once.ForwardEnd {
	if notRun {
		return once.ForwardNotRun
	}
	return once.ForwardBroken
}

// HeaderKeyOwner names the owner of a key in the refusal of an instance that is
// not.
const HeaderKeyOwner = "Hibiscus-Key-Owner"

// learnKeyOwner takes an instance's word on who keeps a key.
func (e *Executor) learnKeyOwner(key once.Key, name string) {
	for _, member := range e.Viewer.View().Members {
		if member.Name == name {
			e.Shards.Learn(key, member)
		}
	}
}

// noteDispatched remembers where the key owner runs the request.
func (e *Executor) noteDispatched(key once.Key, response *dispatch.Response) {
	text := response.Get(HeaderRequest)
	named, err := handle.Decode(e.Secret, text)
	if err != nil {
		return
	}
	e.Forwards.Dispatched(key, once.Dispatched{
		Instance: named.Instance, Handle: text, Target: named.Target, RequestID: named.RequestID,
	})
}

// peerRefusal reads the refusal in an instance's answer, nil if there is none.
func peerRefusal(response *dispatch.Response) *fault.Refusal {
	if response.Get(HeaderRefusal) == "" {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err == nil {
		err = readRefusal(body)
	}
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: statusBadGateway, Reason: "the key owner's refusal was cut",
	}
}

// HeaderRefusal marks an answer that is a refusal of this system, not the answer
// of a target.
const HeaderRefusal = "Hibiscus-Refusal"

// relayFrom relays the answer of another instance. When that dies, the stream
// is resumed at any instance that can, by the handle.
func (e *Executor) relayFrom(ctx context.Context, from membership.Member, response *dispatch.Response, a *answer.Answer) {
	defer response.Close()
	text := response.Get(HeaderRequest)
	a.SetHead(answer.Head{Status: response.Status, Fields: fields(EndToEnd(response.Header))})
	r := &relay{
		source: from.Name, answer: a, watch: noObserver{},
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			return e.reopen(ctx, text, after)
		},
	}
	e.relayAnswer(ctx, r, response)
}

// relayAnswer passes a whole answer on and ends its record. When it breaks off
// for good, nobody here knows how far the target came.
func (e *Executor) relayAnswer(ctx context.Context, r *relay, response *dispatch.Response) {
	err := r.all(ctx, response)
	e.Metrics.Add(metrics.StreamsResumed, int64(r.resumed))
	if err == nil {
		r.answer.End(answer.Complete)
		return
	}
	refusal, ok := fault.AsRefusal(err)
	if !ok {
		refusal = &fault.Refusal{
			Execution: fault.ExecutionUnknown, Step: fault.StepStream, Status: statusBadGateway, Reason: err.Error(),
		}
	}
	r.answer.Refuse(refusal)
}

// passOn hands a request that waited here to another instance, while this one
// shuts down. It has not been sent to a target.
func (e *Executor) passOn(ctx context.Context, j *job, a *answer.Answer) {
	view := e.Viewer.View()
	for _, member := range membership.Ranked(view, j.id) {
		if member.Name == view.Self.Name || member.Leaving {
			continue
		}
		response, err := e.send(ctx, j, member, forwardDrain)
		if dispatch.IsNotSent(err) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			e.refuseAnswer(a, refuseSend(ctx, fault.StepForward, err))
			return
		}
		e.Metrics.Add(metrics.RequestsHandedOver, 1)
		if refusal := peerRefusal(response); refusal != nil {
			response.Close()
			e.refuseAnswer(a, refusal)
			return
		}
		e.relayFrom(ctx, member, response, a)
		return
	}
	e.refuseAnswer(a, refuse(fault.StepShutdown, statusUnavailable, "the instance shuts down and no other takes the request"))
}
