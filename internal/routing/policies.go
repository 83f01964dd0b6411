package routing

import "time"

// RoundRobin picks the candidates in turn.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round_robin" }

// Pick implements Policy.
func (RoundRobin) Pick(request Request, candidates []Candidate) int {
	return int(request.Sequence % uint64(len(candidates)))
}

// LeastTokens picks the candidate with the fewest outstanding tokens.
type LeastTokens struct{}

// Name implements Policy.
func (LeastTokens) Name() string { return "least_tokens" }

// Pick implements Policy.
func (LeastTokens) Pick(request Request, candidates []Candidate) int {
	return lowestCost(request, candidates, func(c *Candidate) float64 { return float64(c.OutstandingTokens) })
}

// TwoChoices picks, of two random candidates, the one with fewer outstanding
// tokens.
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

// ExpectedWait picks the candidate that is expected to complete the request
// first. Cached prefixes shorten the prefill, but count only while the
// candidate's load is within MaxRelativeLoad times the mean load, so that
// affinity does not overload a target.
type ExpectedWait struct {
	// MaxRelativeLoad is the load, relative to the mean including the request, up
	// to which cached prefixes count; 0 ignores them.
	MaxRelativeLoad float64
	// ReuseWeight multiplies the time saved by cached prefixes, since a prefill
	// also delays other requests on the target and evicts prefixes that they would
	// reuse; 0 means 1. The part above 1 is multiplied by the fastest candidate's
	// prefill time, so that slow targets do not attract requests by it.
	ReuseWeight float64
}

// DefaultMaxRelativeLoad and DefaultReuseWeight are the default parameters of
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
// candidate there has a load of at most MaxRelativeLoad times the mean.
type PreferDomain struct {
	Inner Policy
	// MaxRelativeLoad is the load, relative to the mean including the request, up
	// to which a candidate in the caller's domain is preferred.
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

// DefaultPolicy returns the default policy; see docs/design/pressure.md.
func DefaultPolicy() Policy {
	return ExpectedWait{MaxRelativeLoad: DefaultMaxRelativeLoad, ReuseWeight: DefaultReuseWeight}
}

// backlog returns the delay in nanoseconds caused by the work already on a
// candidate: its slots compute the outstanding tokens in parallel.
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

// meanLoadPerRequest returns the mean load that one request adds.
func meanLoadPerRequest(candidates []Candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += 1 / float64(max(1, candidates[i].Slots))
	}
	return total / float64(len(candidates))
}
