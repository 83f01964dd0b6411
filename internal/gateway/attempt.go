package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// attempt sends the request to the target of the grant. Again tells that it
// has no answer yet and may be sent to another.
func (r *run) attempt(ctx context.Context, grant *schedule.Grant) (answer *Answer, again bool) {
	started := r.Clock.Now()
	reply, err := r.Pool.Send(ctx, r.exchange(grant.Target, r.call.After, grant.Expected))
	took := r.Clock.Since(started)
	if err != nil {
		return r.sendFailed(ctx, grant, err, took)
	}
	r.sent++
	r.Counters.Sent.Add(1)
	stated := r.Protocol.ReadTarget(reply.Header)
	if stated.NotExecuted || reply.Status == http.StatusMisdirectedRequest {
		return r.notExecuted(grant, reply, took)
	}
	r.mayHaveRun = true
	if reply.Status == http.StatusOK && r.route.Kind == catalog.Streaming && stated.Signed {
		return r.openStream(ctx, grant, reply, started)
	}
	return r.plain(ctx, grant, reply, stated, started)
}

// exchange builds what is sent to the target.
func (r *run) exchange(target *catalog.Target, after string, expected time.Duration) *dispatch.Exchange {
	addressed := Addressed{
		TargetID: target.ID, Account: r.accountName(), TimeLeft: r.deadline.Sub(r.Clock.Now()), After: after,
	}
	return &dispatch.Exchange{
		Address: target.Address, Method: r.call.Method, URI: r.call.URI, Body: r.call.Body,
		Header:   append(r.Protocol.WriteTarget(addressed), r.call.Header...),
		Careful:  !r.route.Retryable(),
		Patience: r.patience(expected),
		Mine: func(header http.Header) bool {
			id := r.Protocol.ReadTarget(header).ID
			return id == "" || id == r.call.ID
		},
	}
}

const (
	// silentObjectives is how many times the objective a target may be silent
	// before a request that may be repeated is sent elsewhere; minSilence bounds
	// it from below. Both leave time for another target within the patience of
	// callers, who leave a stream after four times the objective.
	silentObjectives = 2.5
	minSilence       = time.Second
	// silentExpected is the same in times that were expected of the target.
	silentExpected = 1.5
	// silentGaps and minGapSilence are the same for pauses between events.
	silentGaps    = 3
	minGapSilence = 800 * time.Millisecond
)

// patience returns how long a target may take to the first part of an answer;
// 0 where the request cannot be sent elsewhere.
func (r *run) patience(expected time.Duration) time.Duration {
	if !r.route.Retryable() || r.route.LatencyObjective == 0 || r.sent+1 >= r.route.MaxAttempts {
		return 0
	}
	return max(minSilence, time.Duration(silentObjectives*float64(r.route.LatencyObjective)),
		time.Duration(silentExpected*float64(expected)))
}

// gapPatience returns how long a target may pause between events; 0 where the
// stream cannot be resumed.
func (r *run) gapPatience() time.Duration {
	if !r.route.Retryable() || r.route.EventGapObjective == 0 || r.sent >= r.route.MaxAttempts {
		return 0
	}
	return max(minGapSilence, silentGaps*r.route.EventGapObjective)
}

// sendFailed deals with a request that got no answer's header.
func (r *run) sendFailed(ctx context.Context, grant *schedule.Grant, err error, took time.Duration) (*Answer, bool) {
	notSent := dispatch.IsNotSent(err)
	if !notSent {
		r.sent++
		r.Counters.Sent.Add(1)
		r.mayHaveRun = true
	}
	r.trail.add("send failed", grant.Target.ID, took)
	if ctx.Err() != nil {
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.ended(ctx, "no answer came before the deadline"), false
	}
	r.trail.err = err
	r.avoid = append(r.avoid, grant.Target.Key())
	if notSent {
		r.unreached++
		r.Counters.NotReached.Add(1)
		r.Suspects.Gone(grant.Target.ID)
		grant.Done(schedule.Outcome{Result: schedule.Unreachable})
		return nil, true
	}
	result := schedule.Failed
	if errors.Is(err, dispatch.ErrStale) {
		result = schedule.Cancelled
	}
	grant.Done(schedule.Outcome{Result: result})
	r.countForVersion(grant.Target, true, took)
	return r.afterFailure("the target broke off before an answer")
}

// afterFailure lets a request that may be repeated try another target.
func (r *run) afterFailure(reason string) (*Answer, bool) {
	if r.route.Retryable() {
		return nil, true
	}
	return r.fail(http.StatusBadGateway, reason), false
}

// notExecuted deals with a target that states that it did not run the request.
func (r *run) notExecuted(grant *schedule.Grant, reply *dispatch.Reply, took time.Duration) (*Answer, bool) {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxPlainBytes))
	reply.Close()
	r.Counters.NotExecuted.Add(1)
	r.trail.add("not executed "+http.StatusText(reply.Status), grant.Target.ID, took)
	r.avoid = append(r.avoid, grant.Target.Key())
	if reply.Status == http.StatusMisdirectedRequest {
		r.Counters.Misdirected.Add(1)
		grant.Done(schedule.Outcome{Result: schedule.Unreachable})
		r.Misdirected(grant.Target)
		return nil, true
	}
	grant.Done(schedule.Outcome{Result: schedule.Full})
	return nil, true
}

// plain passes an answer on that is held until it is whole.
func (r *run) plain(
	ctx context.Context, grant *schedule.Grant, reply *dispatch.Reply, stated Stated, started time.Time,
) (*Answer, bool) {
	grant.First(r.Clock.Since(started))
	body, err := io.ReadAll(io.LimitReader(reply, maxPlainBytes))
	took := r.Clock.Since(started)
	reply.Close()
	switch {
	case ctx.Err() != nil:
		grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		return r.ended(ctx, "the answer was not complete before the deadline"), false
	case err != nil, len(body) == maxPlainBytes, spoiled(reply, stated):
		r.trail.add("answer unusable", grant.Target.ID, took)
		r.trail.err = err
		r.avoid = append(r.avoid, grant.Target.Key())
		grant.Done(schedule.Outcome{Result: schedule.Failed})
		r.countForVersion(grant.Target, true, took)
		return r.afterFailure("the target's answer was not whole")
	}
	r.countForVersion(grant.Target, reply.Status >= http.StatusInternalServerError, took)
	result := schedule.Complete
	if reply.Status >= http.StatusInternalServerError {
		result = schedule.Cancelled
	}
	grant.Done(schedule.Outcome{Result: result, Whole: took})
	r.trail.add("answered", grant.Target.ID, took)
	if promises(reply.Status) {
		return r.fail(http.StatusBadGateway, "the target failed"), false
	}
	r.Counters.Answered.Add(1)
	r.observe(0)
	return &Answer{Status: reply.Status, Header: endToEnd(reply.Header), Body: body}, false
}

// countForVersion counts an answer, or its lack, for or against its target's version.
// The time is taken relative to the expected output, so that answers of unlike
// lengths can be compared.
func (r *run) countForVersion(target *catalog.Target, failed bool, took time.Duration) {
	if failed {
		r.Suspects.Broke(r.asks, target.ID)
	}
	const usualTokens = 100
	if tokens := r.request().OutputTokens; tokens > 0 {
		took = took * usualTokens / time.Duration(usualTokens+tokens)
	}
	r.Rollouts.Observe(r.service.Name, target.Version, failed, took)
}

// observe records the times of a request that has been answered.
func (r *run) observe(first time.Duration) {
	r.Suspects.Finished(r.asks)
	r.Observe(r.route.Priority, r.accountName(), first, r.Clock.Since(r.call.Received))
}

// spoiled reports whether an answer cannot be the target's own.
func spoiled(reply *dispatch.Reply, stated Stated) bool {
	success := reply.Status < http.StatusMultipleChoices
	return success && (!stated.Signed || stated.ID == "") || reply.Header.Get("Content-Encoding") != ""
}

// promises reports whether callers read the status as a promise that the
// request has not run, which the target did not make.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
