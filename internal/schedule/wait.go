package schedule

import "time"

const (
	// objectiveShare is the part of the objective that may be spent waiting;
	// the rest is for the target's own work.
	objectiveShare = 0.8
	// holdShare is the part of the objective for which a request may hold out
	// for a better target while others have room.
	holdShare = 0.5
	// defaultWait bounds the wait where no objective is stated.
	defaultWait = time.Second
	// deadlineShare bounds the wait to a part of the caller's whole time, so
	// that a refusal leaves time for one more try.
	deadlineShare = 0.3
)

// waitUntil returns when the request's wait ends.
func waitUntil(r *Request) time.Time {
	from := r.ArrivedAt
	if r.RetriedAt.After(from) {
		from = r.RetriedAt
	}
	return from.Add(waitBound(r))
}

// waitBound returns how long a request may wait for a place: long enough that
// bursts of less than the objective pass without a refusal, and short enough
// that what is started can still be answered in time.
func waitBound(r *Request) time.Duration {
	bound := defaultWait
	if r.Objective > 0 {
		bound = time.Duration(objectiveShare * float64(r.Objective))
	}
	whole := r.Deadline.Sub(r.ArrivedAt)
	return max(0, min(bound, time.Duration(deadlineShare*float64(whole))))
}

const (
	// minReturn and maxReturn bound the advice to callers; callers keep to at
	// most returnShare of the time that they have left.
	minReturn   = 3000 * time.Millisecond
	maxReturn   = 4 * time.Second
	returnShare = 0.3
	// returnSpread is the width of the random part, relative to the base.
	returnSpread = 1.0
)

// returnAfter returns when a refused caller should try again: once the queue
// has had time to empty, spread so that those refused together do not return
// together. Left is the caller's remaining time and u is uniform in [0, 1).
func returnAfter(expected, left time.Duration, u float64) time.Duration {
	base := max(expected, minReturn)
	wait := time.Duration(float64(base) * (1 + returnSpread*u))
	return max(0, min(wait, maxReturn, time.Duration(returnShare*float64(left))))
}
