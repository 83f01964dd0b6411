// Package routing selects a target among those with free capacity.
//
// A Policy sees only candidates that may run the request: the caller has
// already excluded targets that it has no credits for, that have the wrong
// version, that are ejected or that were tried before. A policy is a pure
// function of its arguments, so that policies can be compared on the same
// arrivals; the caller keeps any state in the candidates.
//
// The package also holds the state that decides about candidates and retries:
// the Ejector (outlier ejection), the RetryBudget and WindowRetryBudget, and
// the PrefixIndex (prompt prefixes that a target probably has cached).
package routing

import "time"

// Request is a request to be routed.
type Request struct {
	// FailureDomain is the caller's failure domain.
	FailureDomain string
	// PromptTokens and OutputTokens are the expected numbers of tokens.
	PromptTokens, OutputTokens int
	// Random is uniformly distributed; policies derive random choices from it.
	Random uint64
	// Sequence is the sequence number of the request.
	Sequence uint64
}

// Candidate is a target with free capacity for the request.
type Candidate struct {
	FailureDomain string
	// Slots is the number of concurrent requests of all instances at the target.
	Slots int
	// Running is the number of requests that this instance runs there.
	Running int
	// OutstandingTokens is the number of tokens still to be computed there for
	// this instance's requests, corrected by the last load report as far as it is
	// recent.
	OutstandingTokens int
	// PrefillTime is the expected time to prefill the prompt there without cached
	// prefixes; TimePerToken is the time per output token.
	PrefillTime, TimePerToken time.Duration
	// CachedShare is the share of the prompt, from 0 to 1, that is probably
	// cached.
	CachedShare float64
}

// Policy selects a candidate.
type Policy interface {
	// Name returns the policy's name in reports.
	Name() string
	// Pick returns an index into candidates, which must not be empty.
	Pick(request Request, candidates []Candidate) int
}

// mix derives the n-th random number from a request's random number.
func mix(random, n uint64) uint64 {
	x := random + (n+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// lowestCost returns the index of the lowest cost; ties are broken at random.
func lowestCost(request Request, candidates []Candidate, cost func(*Candidate) float64) int {
	offset := int(mix(request.Random, 0) % uint64(len(candidates)))
	best := offset
	bestCost := cost(&candidates[offset])
	for i := 1; i < len(candidates); i++ {
		index := (offset + i) % len(candidates)
		if c := cost(&candidates[index]); c < bestCost {
			best, bestCost = index, c
		}
	}
	return best
}
