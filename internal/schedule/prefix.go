package schedule

import "time"

const (
	// maxCachedParts bounds the parts of prompts remembered for each target: prompts of
	// two parts and some 500 tokens fill a memory of 500,000 tokens with 2,000 parts.
	maxCachedParts = 2048
	// maxCachedTokens bounds the tokens of these parts for targets whose memory is not
	// known.
	maxCachedTokens = 200_000
	// maxPartAge is how long a part is taken to be cached after its last use. Targets
	// evict by what they read, which the bound on the tokens follows; the age limits the
	// effect of what other instances have placed without it being known here.
	maxPartAge = 2 * time.Minute
)

// cachedTokens returns how many tokens of the prompt the target probably has cached. One
// at least is left to read.
func (t *target) cachedTokens(r *Request, now time.Time) int {
	if t.prefixes == nil || len(r.Prefix) == 0 || r.PromptTokens == 0 {
		return 0
	}
	return min(t.prefixes.MatchTokens(r.Prefix, now.Add(-maxPartAge)), r.PromptTokens-1)
}

// expirePrefixes drops the parts of prompts that are too old, also of targets of groups that
// other instances coordinate by now.
func (s *Scheduler) expirePrefixes() {
	since := s.clock.Now().Add(-maxPartAge)
	for _, t := range s.targets {
		if t.prefixes != nil {
			t.prefixes.MatchTokens(nil, since)
		}
	}
}

// newExecution returns the execution of a request that is placed on the target.
func (s *Scheduler) newExecution(t *target, r *Request, now time.Time) *execution {
	e := &execution{
		scheduler: s, target: t, request: r, prefillAhead: t.prefillTokens, startedAt: now, placed: true,
		cachedTokens: t.cachedTokens(r, now),
	}
	if e.cachedTokens > 0 {
		s.counters.PrefixPlacements.Add(1)
		s.counters.CachedTokens.Add(uint64(e.cachedTokens))
	}
	return e
}

// recordPrefix records that the target has read the prompt of a request placed here. What
// other schedulers place is left to their own records, so that an instance does not keep
// those of all targets that it sends requests to.
func (e *execution) recordPrefix(now time.Time) {
	t := e.target
	if !e.placed || len(e.request.Prefix) == 0 {
		return
	}
	t.prefixes.RecordRead(e.request.Prefix, now, t.cacheTokens())
}

// cacheTokens returns how many tokens of the target's memory the running requests leave for
// parts of prompts.
func (t *target) cacheTokens() int {
	if t.info.Limits.MemoryTokens == 0 {
		return maxCachedTokens
	}
	return max(0, t.info.Limits.MemoryTokens-t.heldTokens)
}
