package schedule

import (
	"slices"
	"time"
)

const (
	// costJitter is the largest random increase of a cost, relative to it, so
	// that instances with the same stale state do not all select the same target.
	costJitter = 0.1
	// otherDomainPenalty is the cost added to targets in another failure domain,
	// where traffic is charged for; a few times the latency between domains.
	otherDomainPenalty = 10 * time.Millisecond
	// timeToFirstMargin multiplies the expected time to the first part before it
	// is compared with the objective, since the actual time varies.
	timeToFirstMargin = 1.25
	// maxPauseShare is the part of the allowed event gap that the prefill of a
	// request may use up on the other streams of a target.
	maxPauseShare = 0.7
	// maxPrefillBacklog is the longest outstanding prefill with which a target
	// takes another prompt. Targets process prompts in order of arrival, so a
	// prompt sent behind a long one waits for it whatever its priority; if it
	// stays queued here, it can be placed elsewhere or start in its turn.
	maxPrefillBacklog = 120 * time.Millisecond
)

// Candidate is the state of a target that selection depends on.
type Candidate struct {
	// Available is set if the target can take the request now. Other candidates
	// may be worth waiting for.
	Available bool
	Running   int
	Slots     int
	// TimeToFirst is the expected time to the first part of the response,
	// TotalTime the expected time to its end.
	TimeToFirst, TotalTime time.Duration
	// StreamPause is the longest pause that the prefill of the request causes to
	// the other streams of the target.
	StreamPause time.Duration
	// SavedDelay is by how much less, in total, the prefill of the request delays the other
	// streams of the target because parts of the prompt are cached there.
	SavedDelay time.Duration
	// OtherDomain is set if the target is in another failure domain.
	OtherDomain bool
}

// Requirements is the part of a request that selection depends on.
type Requirements struct {
	// ObjectiveTimeLeft is the time left until the first part of the response is
	// due by the latency objective; negative once that is missed.
	ObjectiveTimeLeft time.Duration
	// EventGapObjective is the objective for the longest pause between events; 0
	// means none.
	EventGapObjective time.Duration
	// MaxTimeToFirst is how long the caller waits for the first part; 0 means
	// that it is not known.
	MaxTimeToFirst time.Duration
	// DeadlineTimeLeft is the time left until the response must be complete; 0
	// means that it is not known.
	DeadlineTimeLeft time.Duration
	// MayWait allows the request to stay queued although a target is available.
	MayWait bool
}

// satisfiedBy reports whether the candidate would serve the request in time
// without delaying its other streams beyond the allowed gap.
func (r *Requirements) satisfiedBy(c *Candidate) bool {
	if time.Duration(timeToFirstMargin*float64(c.TimeToFirst)) > r.ObjectiveTimeLeft {
		return false
	}
	if !r.finishes(c) {
		return false
	}
	return r.EventGapObjective == 0 || c.StreamPause <= time.Duration(maxPauseShare*float64(r.EventGapObjective))
}

// finishes reports whether the response is expected to be complete before the
// deadline.
func (r *Requirements) finishes(c *Candidate) bool {
	return r.DeadlineTimeLeft == 0 || c.TotalTime <= r.DeadlineTimeLeft
}

// exceedsCallerWait reports whether the caller would have given up before the
// first part of the response.
func (r *Requirements) exceedsCallerWait(c *Candidate) bool {
	return r.MaxTimeToFirst > 0 && c.TimeToFirst > r.MaxTimeToFirst
}

// NoCandidate is returned by SelectCandidate if the request has to wait.
const NoCandidate = -1

// SelectCandidate returns the index of the best available candidate. It returns
// NoCandidate if there is none, or if waiting for another one is better. random
// returns numbers in [0, 1).
//
// It is made for targets of unequal speed and requests of mixed size: candidates
// that satisfy the requirements come first, then those of the lowest cost. If
// only candidates that do not satisfy them are available, as when short requests
// have filled the fast targets and a long prompt arrives, the request waits for a
// better one while MayWait is set. A candidate that is slower than the caller
// waits is never selected, nor is one that cannot finish before the deadline
// while another one could: long outputs on slow targets would occupy slots until
// the deadline for nothing.
func SelectCandidate(requirements Requirements, candidates []Candidate, random func() float64) int {
	best, bestCost, bestSatisfies := NoCandidate, 0.0, false
	anySatisfies := false
	anyFinishes := slices.ContainsFunc(candidates, func(c Candidate) bool { return requirements.finishes(&c) })
	for i := range candidates {
		c := &candidates[i]
		satisfies := requirements.satisfiedBy(c)
		anySatisfies = anySatisfies || satisfies
		if !c.Available || requirements.exceedsCallerWait(c) || (anyFinishes && !requirements.finishes(c)) {
			continue
		}
		cost := c.cost() * (1 + costJitter*random())
		if best == NoCandidate || (satisfies && !bestSatisfies) || (satisfies == bestSatisfies && cost < bestCost) {
			best, bestCost, bestSatisfies = i, cost, satisfies
		}
	}
	if best != NoCandidate && !bestSatisfies && anySatisfies && requirements.MayWait {
		return NoCandidate
	}
	return best
}

// cost ranks candidates that all satisfy the requirements, or all do not.
func (c *Candidate) cost() float64 {
	total := c.TotalTime - c.SavedDelay
	if c.OtherDomain {
		total += otherDomainPenalty
	}
	return float64(total)
}
