package routing

import "time"

// RoundRobin takes the candidates in turn.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round_robin" }

// Pick implements Policy.
func (RoundRobin) Pick(request Request, candidates []Candidate) int {
	return int(request.Sequence % uint64(len(candidates)))
}

// LeastTokens takes the candidate with the fewest outstanding tokens.
type LeastTokens struct{}

// Name implements Policy.
func (LeastTokens) Name() string { return "least_tokens" }

// Pick implements Policy.
func (LeastTokens) Pick(request Request, candidates []Candidate) int {
	return lowestCost(request, candidates, func(c *Candidate) float64 { return float64(c.OutstandingTokens) })
}

// TwoChoices takes the one with fewer outstanding tokens of two at random.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two_choices" }

// Pick implements Policy.
func (TwoChoices) Pick(request Request, candidates []Candidate) int {
	n := uint64(len(candidates))
	first := int(mix(request.Random, 0) % n)
	second := int(mix(request.Random, 1) % n)
	if candidates[second].OutstandingTokens < candidates[first].OutstandingTokens {
		return second
	}
	return first
}

// ExpectedWait takes the candidate on which the request is expected to end
// first. Reused prefixes shorten the prefill, but only while the candidate's
// load is within Bound times the mean load, so that affinity cannot pile work
// on one target.
type ExpectedWait struct {
	// MaxRelativeLoad is the load, relative to the mean, up to which reuse counts;
	// 0 ignores reuse.
	MaxRelativeLoad float64
	// ReuseWeight multiplies the time that reuse saves, since a prefill also
	// delays other requests on the target and displaces prefixes that they
	// would reuse; 0 means 1. The part beyond 1 counts by the fastest
	// candidate's prefill, so that slow targets attract nothing by it.
	ReuseWeight float64
}

// DefaultMaxRelativeLoad and DefaultReuseWeight are the usual parameters of
// ExpectedWait.
const (
	DefaultMaxRelativeLoad = 1.5
	DefaultReuseWeight     = 5
)

// Name implements Policy.
func (p ExpectedWait) Name() string {
	if p.MaxRelativeLoad == 0 {
		return "expected_wait"
	}
	return "expected_wait_prefix"
}

// Pick implements Policy.
func (p ExpectedWait) Pick(request Request, candidates []Candidate) int {
	limit := p.MaxRelativeLoad * (meanLoad(candidates) + meanLoadPerRequest(candidates))
	reuseBonus := max(0, p.ReuseWeight-1) * float64(shortestPrefill(candidates))
	return lowestCost(request, candidates, func(c *Candidate) float64 {
		prefill := float64(c.PrefillTime)
		if p.MaxRelativeLoad > 0 && relativeLoad(c) <= limit {
			prefill -= c.CachedShare * (prefill + reuseBonus)
		}
		return prefill + float64(c.TimePerToken)*float64(request.OutputTokens) + backlog(c)
	})
}

// PreferDomain restricts another policy to the caller's failure domain while a
// candidate there is no busier than Bound times the mean.
type PreferDomain struct {
	Inner Policy
	// MaxRelativeLoad is the load, relative to the mean, up to which a candidate of the
	// caller's domain is preferred.
	MaxRelativeLoad float64
}

// Name implements Policy.
func (p PreferDomain) Name() string { return p.Inner.Name() + "_domain" }

// Pick implements Policy.
func (p PreferDomain) Pick(request Request, candidates []Candidate) int {
	if request.FailureDomain == "" {
		return p.Inner.Pick(request, candidates)
	}
	limit := p.MaxRelativeLoad * (meanLoad(candidates) + meanLoadPerRequest(candidates))
	sameDomain := make([]Candidate, 0, len(candidates))
	indexes := make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].FailureDomain == request.FailureDomain && relativeLoad(&candidates[i]) <= limit {
			sameDomain = append(sameDomain, candidates[i])
			indexes = append(indexes, i)
		}
	}
	if len(sameDomain) == 0 {
		return p.Inner.Pick(request, candidates)
	}
	return indexes[p.Inner.Pick(request, sameDomain)]
}

// DefaultPolicy returns the policy that measurement chose; see
// docs/design/pressure.md.
func DefaultPolicy() Policy {
	return ExpectedWait{MaxRelativeLoad: DefaultMaxRelativeLoad, ReuseWeight: DefaultReuseWeight}
}

// backlog is the delay in nanoseconds that the work already on a candidate
// adds: its outstanding tokens are computed side by side in its slots.
func backlog(c *Candidate) float64 {
	return float64(c.OutstandingTokens) * float64(c.TimePerToken) / float64(max(1, c.Slots))
}

func relativeLoad(c *Candidate) float64 {
	return float64(c.Running) / float64(max(1, c.Slots))
}

func shortestPrefill(candidates []Candidate) time.Duration {
	shortest := candidates[0].PrefillTime
	for i := range candidates {
		shortest = min(shortest, candidates[i].PrefillTime)
	}
	return shortest
}

func meanLoad(candidates []Candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += relativeLoad(&candidates[i])
	}
	return total / float64(len(candidates))
}

// meanLoadPerRequest is the mean load that one request adds.
func meanLoadPerRequest(candidates []Candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += 1 / float64(max(1, candidates[i].Slots))
	}
	return total / float64(len(candidates))
}
