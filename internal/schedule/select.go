package schedule

import "time"

const (
	// costJitter is the share by which costs are varied at random, so that instances
	// with the same stale picture do not all choose the same target.
	costJitter = 0.1
	// otherDomainPenalty is the cost of a target in another failure domain, whose bytes
	// are paid for; a few times the latency between domains.
	otherDomainPenalty = 10 * time.Millisecond
	// timeToFirstMargin multiplies expected times to the first token when they are
	// held against the objective, since they vary.
	timeToFirstMargin = 1.25
	// maxPauseShare is the part of the allowed pause between events that reading a
	// prompt may cause to the other streams of a target.
	maxPauseShare = 0.7
	// callerWaitObjectives and minPatience tell how long callers wait for the first
	// part of an answer: four times the objective, and two seconds at least.
	callerWaitObjectives = 4
	minCallerWait        = 2 * time.Second
	// maxPrefillBacklog bounds the time that a target needs for the prompts sent there
	// already, for it to be sent a further one. Targets read prompts in order
	// of arrival, so what is sent behind a long one waits for it whatever its
	// priority; kept back, it can be placed elsewhere or start in its turn.
	maxPrefillBacklog = 120 * time.Millisecond
)

// Candidate is a target as far as placing needs it.
type Candidate struct {
	// Available tells that the target has room now; others may be waited for.
	Available bool
	Running   int
	Slots     int
	// TimeToFirst is the expected time to the first part of the answer, TotalTime the
	// expected time to its end.
	TimeToFirst, TotalTime time.Duration
	// StreamPause is the longest pause that reading the prompt causes to other
	// streams there.
	StreamPause time.Duration
	// OtherDomain is set when the target is in another failure domain.
	OtherDomain bool
}

// Requirements is the part of a request that placing needs.
type Requirements struct {
	// TimeLeft is the time until the first part must come to be in time.
	TimeLeft time.Duration
	// EventGap is the longest pause between events that is good service; 0 means
	// that none is stated.
	EventGap time.Duration
	// MaxTimeToFirst is the longest time to the first part that the caller sits out; 0
	// means that it is not known.
	MaxTimeToFirst time.Duration
	// MayWait allows the request to go on waiting although there is room.
	MayWait bool
}

// satisfiedBy reports whether the request would be served in time on the candidate
// without making others late.
func (r *Requirements) satisfiedBy(c *Candidate) bool {
	if time.Duration(timeToFirstMargin*float64(c.TimeToFirst)) > r.TimeLeft {
		return false
	}
	return r.EventGap == 0 || c.StreamPause <= time.Duration(maxPauseShare*float64(r.EventGap))
}

// exceedsCallerWait reports whether the caller would have gone before the first part.
func (r *Requirements) exceedsCallerWait(c *Candidate) bool {
	return r.MaxTimeToFirst > 0 && c.TimeToFirst > r.MaxTimeToFirst
}

// NoCandidate is the answer of Place when waiting for another target is better than
// any target with room.
const NoCandidate = -1

// SelectCandidate returns the index of the best candidate with room, or Hold. Random
// returns numbers in [0, 1).
//
// It answers the load pattern of unlike targets under mixed sizes: targets
// that serve the request in time without harm come first. When only others
// have room, as when short requests have filled the fast targets and a long
// prompt arrives, the request holds out for a better one as long as it may. One
// that would outlast the caller's patience is never taken.
func SelectCandidate(requirements Requirements, candidates []Candidate, random func() float64) int {
	best, bestCost, bestSatisfies := NoCandidate, 0.0, false
	anySatisfies := false
	for i := range candidates {
		c := &candidates[i]
		satisfies := requirements.satisfiedBy(c)
		anySatisfies = anySatisfies || satisfies
		if !c.Available || requirements.exceedsCallerWait(c) {
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

// cost orders candidates that are alike in being good.
func (c *Candidate) cost() float64 {
	total := c.TotalTime
	if c.OtherDomain {
		total += otherDomainPenalty
	}
	return float64(total)
}
