package schedule

import "time"

const (
	// maxWaitObjectiveShare is the part of the objective that may be spent in the
	// queue; the rest is left for the target.
	maxWaitObjectiveShare = 0.8
	// betterTargetWaitShare is the part of the objective during which a request
	// may wait for a better target while others are available.
	betterTargetWaitShare = 0.5
	// defaultMaxWait limits the wait of requests without an objective.
	defaultMaxWait = time.Second
	// maxWaitDeadlineShare limits the wait to a part of the caller's timeout, so
	// that a refusal leaves time for a retry.
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

const (
	// minRetryAfter and maxRetryAfter limit the advice to callers.
	// maxRetryAfterShare limits it to a part of the caller's remaining time,
	// since callers wait no longer than that.
	minRetryAfter      = 3000 * time.Millisecond
	maxRetryAfter      = 4 * time.Second
	maxRetryAfterShare = 0.3
	// retryAfterJitter is the width of the random part, relative to the base.
	retryAfterJitter = 1.0
)

// retryAfter returns when a refused caller should retry: once the queue has had
// time to drain, with jitter so that callers refused together do not retry
// together. timeLeft is the caller's remaining time and jitter is uniform in [0,
// 1).
func retryAfter(expectedWait, timeLeft time.Duration, jitter float64) time.Duration {
	base := max(expectedWait, minRetryAfter)
	advice := time.Duration(float64(base) * (1 + retryAfterJitter*jitter))
	return max(0, min(advice, maxRetryAfter, time.Duration(maxRetryAfterShare*float64(timeLeft))))
}
