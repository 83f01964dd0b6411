package schedule

import "time"

const (
	// maxWaitObjectiveShare is the part of the objective that may be spent waiting;
	// the rest is for the target's own work.
	maxWaitObjectiveShare = 0.8
	// preferObjectiveShare is the part of the objective for which a request may hold out
	// for a better target while others have room.
	preferObjectiveShare = 0.5
	// defaultMaxWait bounds the wait where no objective is stated.
	defaultMaxWait = time.Second
	// maxWaitDeadlineShare bounds the wait to a part of the caller's whole time, so
	// that a refusal leaves time for one more try.
	maxWaitDeadlineShare = 0.3
)

// waitDeadline returns when the request's wait ends.
func waitDeadline(r *Request) time.Time {
	start := r.ArrivedAt
	if r.RetriedAt.After(start) {
		start = r.RetriedAt
	}
	return start.Add(maxWait(r))
}

// maxWait returns how long a request may wait for a place: long enough that
// bursts of less than the objective pass without a refusal, and short enough
// that what is started can still be answered in time.
func maxWait(r *Request) time.Duration {
	bound := defaultMaxWait
	if r.Objective > 0 {
		bound = time.Duration(maxWaitObjectiveShare * float64(r.Objective))
	}
	callerTimeout := r.Deadline.Sub(r.ArrivedAt)
	return max(0, min(bound, time.Duration(maxWaitDeadlineShare*float64(callerTimeout))))
}

const (
	// minRetryAfter and maxReturn bound the advice to callers; callers keep to at
	// most returnShare of the time that they have left.
	minRetryAfter      = 3000 * time.Millisecond
	maxRetryAfter      = 4 * time.Second
	maxRetryAfterShare = 0.3
	// retryAfterJitter is the width of the random part, relative to the base.
	retryAfterJitter = 1.0
)

// retryAfter returns when a refused caller should try again: once the queue
// has had time to empty, spread so that those refused together do not return
// together. Left is the caller's remaining time and u is uniform in [0, 1).
func retryAfter(expectedWait, timeLeft time.Duration, jitter float64) time.Duration {
	base := max(expectedWait, minRetryAfter)
	advice := time.Duration(float64(base) * (1 + retryAfterJitter*jitter))
	return max(0, min(advice, maxRetryAfter, time.Duration(maxRetryAfterShare*float64(timeLeft))))
}
