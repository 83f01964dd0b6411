// Package routing chooses a target among those that have room.
//
// A Policy sees only candidates that may run the request now: the caller has
// already left out targets without credits, of the wrong version, ejected or
// tried before. A policy is a pure function of its arguments, so that it can be
// compared with others on the same arrivals; what it needs to remember is kept
// by the caller in the candidates.
//
// The package also holds what decides whether a target is a candidate at all:
// the Ejector (outliers), the Budget (retries) and the PrefixIndex (which
// prompt prefixes a target probably still has cached).
package routing

import "time"

// Request is the request to be routed.
type Request struct {
	// FailureDomain is the caller's.
	FailureDomain string
	// PromptTokens and OutputTokens are the expected tokens.
	PromptTokens, OutputTokens int
	// Random is uniform over all values; policies derive choices from it.
	Random uint64
	// Sequence counts the requests routed before.
	Sequence uint64
}

// Candidate is a target that has room for the request.
type Candidate struct {
	FailureDomain string
	// Slots is the number of requests that the target may run for all.
	Slots int
	// Running is the number of own requests that run there.
	Running int
	// OutstandingTokens is the number of tokens still to be computed there for own
	// requests, corrected by the last load report as far as it is fresh.
	OutstandingTokens int
	// PrefillTime is the expected time to prefill the request there without
	// reuse; TimePerToken is the time per output token.
	PrefillTime, TimePerToken time.Duration
	// CachedShare is the share of the prompt, 0 to 1, probably cached there.
	CachedShare float64
}

// Policy chooses among candidates.
type Policy interface {
	// Name is the policy's name in reports.
	Name() string
	// Pick returns an index into candidates, which are never empty.
	Pick(request Request, candidates []Candidate) int
}

// mix derives the n-th random number from a request's.
func mix(random, n uint64) uint64 {
	x := random + (n+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// lowestCost returns the index with the smallest cost; ties are broken at random.
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
