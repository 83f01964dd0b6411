package schedule

import "time"

const (
	// maxWaitObjectiveShare is the part of the objective that may be spent in the
	// queue; the rest is left for the target.
	maxWaitObjectiveShare = 0.8
	// minWaitObjectiveShare is the part of the objective that must be left for the queue if
	// the wait is limited by what a target needs: requests that take most of it would be put
	// behind lower tiers for their size.
	minWaitObjectiveShare = 0.3
	// betterTargetWaitShare is the part of the objective during which a request
	// may wait for a better target while others are available.
	betterTargetWaitShare = 0.5
	// defaultMaxWait limits the wait of requests without an objective.
	defaultMaxWait = time.Second
	// maxWaitDeadlineShare limits the wait to a part of the caller's timeout, so
	// that a refusal leaves time for a retry.
	maxWaitDeadlineShare = 0.3
	// Callers of streams are assumed to wait for the first event for
	// callerWaitObjectives times the objective, callerWaitGaps times the objective for
	// gaps between events, or minCallerWait, whichever is longest.
	callerWaitObjectives = 4
	callerWaitGaps       = 8
	minCallerWait        = 2 * time.Second
	// overdueReserve is the part of the slots that requests which have missed their objectives
	// leave free: targets are slower when they are full, and new requests come at any moment.
	overdueReserve = 0.1
	// overdueCheckInterval is how often it is examined whether a request that has missed its
	// objective is still expected to start in time.
	overdueCheckInterval = 250 * time.Millisecond
)

// waitDeadline returns until when the request counts as one that can be answered within
// its objective: a target of median speed still has to respond in time.
func (sv *service) waitDeadline(r *Request, now time.Time) time.Time {
	start, wait := r.ArrivedAt, maxWait(r)
	if r.RetriedAt.After(start) {
		start = r.RetriedAt
	}
	if r.LatencyObjective > 0 {
		toFirst, _ := sv.expectedTimes(r, now)
		left := r.LatencyObjective - time.Duration(timeToFirstMargin*float64(toFirst))
		if left >= time.Duration(minWaitObjectiveShare*float64(r.LatencyObjective)) {
			wait = min(wait, left)
		}
	}
	return start.Add(wait)
}

// maxWait returns how long a request may be queued: long enough that bursts
// shorter than the objective pass without a refusal, and short enough that a
// request that starts can still be answered in time.
func maxWait(r *Request) time.Duration {
	bound := defaultMaxWait
	if r.LatencyObjective > 0 {
		bound = time.Duration(maxWaitObjectiveShare * float64(r.LatencyObjective))
	}
	callerTimeout := r.Deadline.Sub(r.ArrivedAt)
	return max(0, min(bound, time.Duration(maxWaitDeadlineShare*float64(callerTimeout))))
}

// maxCallerWait returns how long the caller of a stream waits for its first event.
func (r *Request) maxCallerWait() time.Duration {
	return max(minCallerWait, callerWaitObjectives*r.LatencyObjective, callerWaitGaps*r.EventGapObjective)
}

// mayBeOverdue reports whether the request may wait after it has missed its objective. Plain
// services are slower when they are always full, and their callers return soon.
func (sv *service) mayBeOverdue(r *Request) bool {
	return r.LatencyObjective > 0 && r.PromptTokens > 0 && r.RetriedAt.IsZero()
}

// lateDeadline returns until when a request that has missed its objective may start: its
// caller has to be still there for the first part of the response, and for its end. The
// zero time means that it may not wait any longer.
func (sv *service) lateDeadline(r *Request, now time.Time) time.Time {
	if !sv.mayBeOverdue(r) {
		return time.Time{}
	}
	toFirst, total := sv.expectedTimes(r, now)
	latest := r.Deadline.Add(-total)
	if given := r.ArrivedAt.Add(r.maxCallerWait() - toFirst); given.Before(latest) {
		latest = given
	}
	return latest
}

// expectedTimes returns the expected times to the first part and to the end of the response
// at a target of median speed.
func (sv *service) expectedTimes(r *Request, now time.Time) (toFirst, total time.Duration) {
	m := sv.currentMedians(now)
	if r.PromptTokens == 0 {
		return m.responseTime, m.responseTime
	}
	toFirst = prefillOverhead + sv.prefill.estimate(r.PromptTokens, m.tokenTime)
	return toFirst, toFirst + time.Duration(r.OutputTokens)*m.tokenTime
}

// work returns the work that a request causes, in output tokens; 1 for services without
// tokens.
func (sv *service) work(r *Request) float64 {
	return max(1, sv.prefill.tokenRatio()*float64(r.PromptTokens)+float64(r.OutputTokens))
}
