package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
)

// lateWeight multiplies the part of an expected first token that comes after
// the objective, so that long prompts go where they are still in time; from
// comparing 1, 3 and 10 on days of high load.
const lateWeight = 3

// spread is the share by which costs are varied at random, so that instances
// with the same stale picture do not all choose the same target.
const spread = 0.1

// Candidate is a target with room, as far as placing needs it.
type Candidate struct {
	Slots int
	// Running is the number of requests there, over all instances.
	Running int
	// Prefilling is the number of prompt tokens sent there whose first event
	// has not come yet, over all instances.
	Prefilling int
	Speed      *estimate.Speed
	// Far is set when the target is in another failure domain.
	Far bool
}

// Ask is the part of a request that placing needs.
type Ask struct {
	PromptTokens, OutputTokens int
	// Left is the time until the first token must come to be in time.
	Left time.Duration
}

// farPenalty is the cost of a target in another failure domain, whose bytes
// are paid for; a few times the latency between domains.
const farPenalty = 10 * time.Millisecond

// cost returns the expected time to the answer's end on the candidate, with
// the part of the first token's delay that comes too late counted more.
func cost(ask Ask, c *Candidate) float64 {
	first := c.Speed.FirstToken(ask.PromptTokens + c.Prefilling)
	if ask.PromptTokens == 0 {
		first = first * time.Duration(c.Running+1) / time.Duration(max(1, c.Slots))
	}
	total := first + time.Duration(ask.OutputTokens)*c.Speed.Decode()
	if late := first - ask.Left; late > 0 {
		total += lateWeight * late
	}
	if c.Far {
		total += farPenalty
	}
	return float64(total)
}

// Place returns the index of the cheapest candidate, which are never empty.
// Random returns numbers in [0, 1).
//
// It answers the load pattern of unlike targets under mixed request sizes:
// least-outstanding puts long answers and long prompts on slow targets as
// often as on fast ones.
func Place(ask Ask, candidates []Candidate, random func() float64) int {
	best, bestCost := 0, 0.0
	for i := range candidates {
		c := cost(ask, &candidates[i]) * (1 + spread*random())
		if i == 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
