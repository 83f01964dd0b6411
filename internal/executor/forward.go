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

// Header fields of requests forwarded between instances.
const (
	// HeaderForwarder is the name of the forwarding instance.
	HeaderForwarder = "Hibiscus-Forwarder"
	// HeaderForwardKind is forwardKindKey or forwardKindDrain.
	HeaderForwardKind = "Hibiscus-Forward-Kind"
	// HeaderForwardRemaining is the time until the deadline, in milliseconds.
	HeaderForwardRemaining = "Hibiscus-Forward-Remaining"
	// HeaderForwardMAC is the HMAC of the other three fields under the peer secret.
	HeaderForwardMAC = "Hibiscus-Forward-Mac"
)

// Values of HeaderForwardKind.
const (
	// forwardKindKey marks a request sent to the owner of its key.
	forwardKindKey = "key"
	// forwardKindDrain marks a request that was queued at an instance that shuts
	// down.
	forwardKindDrain = "drain"
)

// maxRefusalBytes is the largest refusal body read from another instance.
const maxRefusalBytes = 64 << 10

// forwardMAC returns the MAC of the forwarding fields.
func forwardMAC(secret []byte, forwarder, kind, remaining string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("hibiscuspost forward v1\x00" + forwarder + "\x00" + kind + "\x00" + remaining))
	return hex.EncodeToString(mac.Sum(nil))
}

// ApplyForwardFields verifies the forwarding fields of a call, as returned by
// getHeader, and sets the deadline and the forwarder of the call from them. It
// returns false if the fields are present but not valid.
func ApplyForwardFields(secret []byte, call *Call, getHeader func(name string) string) bool {
	forwarder := getHeader(HeaderForwarder)
	if forwarder == "" {
		return true
	}
	kind, remaining := getHeader(HeaderForwardKind), getHeader(HeaderForwardRemaining)
	expected := forwardMAC(secret, forwarder, kind, remaining)
	if !hmac.Equal([]byte(expected), []byte(getHeader(HeaderForwardMAC))) {
		return false
	}
	millis, err := strconv.ParseInt(remaining, 10, 64)
	if err != nil {
		return false
	}
	call.Deadline = call.ReceivedAt.Add(time.Duration(millis) * time.Millisecond)
	if kind == forwardKindKey {
		call.Forwarder = forwarder
	}
	return true
}

// forward sends a request to another instance.
func (e *Executor) forward(ctx context.Context, j *job, destination membership.Member, kind string) (*dispatch.Response, error) {
	self := e.Viewer.View().Self.Name
	remaining := strconv.FormatInt(max(time.Until(j.deadline).Milliseconds(), 0), 10)
	header := append(EndToEndFields(j.call.Header),
		dispatch.Field{Name: HeaderForwarder, Value: self},
		dispatch.Field{Name: HeaderForwardKind, Value: kind},
		dispatch.Field{Name: HeaderForwardRemaining, Value: remaining},
		dispatch.Field{Name: HeaderForwardMAC, Value: forwardMAC(e.Secret, self, kind, remaining)},
	)
	e.Metrics.Add(metrics.RequestsForwarded, 1)
	return dispatch.Send(ctx, &dispatch.Request{
		Address: destination.CallerAddress, ID: j.requestID, Method: j.call.Method, URI: j.call.URI(), Header: header, Body: j.call.Body,
	})
}

// forwardKeyed forwards a request to the owner of its key and relays the
// response. It returns once the response headers have arrived. If the connection
// fails before, the returned refusal is transient, so that the key is looked up
// again; the next key owner knows whether the request was dispatched.
func (e *Executor) forwardKeyed(
	ctx context.Context, j *job, key once.Key, hash once.RequestHash, keyOwner membership.Member,
) (*Execution, *fault.Refusal) {
	if err := e.Forwards.Track(key, hash, keyOwner, j.deadline); err != nil {
		return nil, refusalForError(fault.StepForward, err)
	}
	runCtx, cancel := context.WithDeadline(e.runsContext, j.deadline)
	response, err := e.forward(runCtx, j, keyOwner, forwardKindKey)
	if err != nil {
		cancel()
		e.Forwards.Done(key, forwardOutcome(dispatch.IsNotSent(err)))
		refusal := misdirectedRefusal("")
		if !dispatch.IsNotSent(err) {
			refusal.Execution = fault.ExecutionUnknown
		}
		return nil, refusal
	}
	if refusal := refusalFromPeer(response); refusal != nil {
		cancel()
		response.Close()
		e.Forwards.Done(key, forwardOutcome(refusal.Execution == fault.NotRun))
		e.setKeyOwnerHint(key, response.Get(HeaderKeyOwner))
		return nil, refusal
	}
	e.recordLocation(key, response)
	a := e.liveAnswers.New(0)
	e.runs.Go(func() {
		defer cancel()
		e.relayFromInstance(runCtx, keyOwner, response, a)
		outcome := once.ForwardInterrupted
		if state, _ := a.State(); state == answer.Complete {
			outcome = once.ForwardEnded
		}
		e.Forwards.Done(key, outcome)
	})
	return &Execution{Answer: a, Abandon: ignoreAbandon}, nil
}

// forwardOutcome returns how a forwarded request without a response ended.
func forwardOutcome(notRun bool) once.ForwardOutcome {
	if notRun {
		return once.ForwardNotRun
	}
	return once.ForwardInterrupted
}

// HeaderKeyOwner names the owner of a key in a refusal by another instance.
const HeaderKeyOwner = "Hibiscus-Key-Owner"

// setKeyOwnerHint stores the owner of a key as reported by another instance.
func (e *Executor) setKeyOwnerHint(key once.Key, ownerName string) {
	for _, member := range e.Viewer.View().Members {
		if member.Name == ownerName {
			e.Shards.SetKeyOwnerHint(key, member)
		}
	}
}

// recordLocation records where the key owner runs a forwarded request.
func (e *Executor) recordLocation(key once.Key, response *dispatch.Response) {
	handleText := response.Get(HeaderRequest)
	decoded, err := handle.Decode(e.Secret, handleText)
	if err != nil {
		return
	}
	e.Forwards.SetLocation(key, once.Location{
		Instance: decoded.Instance, Handle: handleText, Target: decoded.Target, RequestID: decoded.RequestID,
	})
}

// refusalFromPeer decodes the refusal in the response of another instance. It
// returns nil if the response is not a refusal.
func refusalFromPeer(response *dispatch.Response) *fault.Refusal {
	if response.Get(HeaderRefusal) == "" {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err == nil {
		err = parseRefusal(body)
	}
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: statusBadGateway, Reason: "the key owner's refusal was cut",
	}
}

// HeaderRefusal marks a response as a refusal by an instance, as opposed to a
// response of a target.
const HeaderRefusal = "Hibiscus-Refusal"

// relayFromInstance relays the response of another instance. If the connection
// breaks, a stream is resumed by its handle, at the instance or the target that
// runs the request.
func (e *Executor) relayFromInstance(ctx context.Context, instance membership.Member, response *dispatch.Response, a *answer.Answer) {
	defer response.Close()
	handleText := response.Get(HeaderRequest)
	a.SetHead(answer.Head{Status: response.Status, Fields: toAnswerFields(EndToEndFields(response.Header))})
	r := &relay{
		source: instance.Name, answer: a, observer: discardProgress{},
		resume: func(ctx context.Context, after uint64) (*dispatch.Response, error) {
			return e.resumeByHandle(ctx, handleText, after)
		},
	}
	e.relayAnswer(ctx, r, response)
}

// relayAnswer relays a whole response and ends its record. If the response
// breaks off and cannot be resumed, the refusal says unknown, since this instance
// does not know how far the target got.
func (e *Executor) relayAnswer(ctx context.Context, r *relay, response *dispatch.Response) {
	err := r.relay(ctx, response)
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

// forwardAtShutdown forwards a queued request to another instance while this one
// shuts down. The request has not been sent to a target.
func (e *Executor) forwardAtShutdown(ctx context.Context, j *job, a *answer.Answer) {
	view := e.Viewer.View()
	for _, member := range membership.RankMembers(view, j.requestID) {
		if member.Name == view.Self.Name || member.Leaving {
			continue
		}
		response, err := e.forward(ctx, j, member, forwardKindDrain)
		if dispatch.IsNotSent(err) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			e.refuseAnswer(a, refusalForSendError(ctx, fault.StepForward, err))
			return
		}
		e.Metrics.Add(metrics.RequestsHandedOver, 1)
		if refusal := refusalFromPeer(response); refusal != nil {
			response.Close()
			e.refuseAnswer(a, refusal)
			return
		}
		e.relayFromInstance(ctx, member, response, a)
		return
	}
	e.refuseAnswer(a, notRunRefusal(fault.StepShutdown, statusUnavailable, "the instance shuts down and no other takes the request"))
}
