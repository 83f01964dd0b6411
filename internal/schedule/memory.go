package schedule

import "time"

// memoryNeed returns how many tokens of the target's memory the request may hold: its
// prompt and the limit on its output. If the output is not known, as that of a request
// that another scheduler has placed, it is assumed to hold the share of one slot at least.
func (t *target) memoryNeed(r *Request) int {
	if r.HeldTokens > 0 {
		return r.HeldTokens
	}
	if r.MaxOutputTokens > 0 {
		return r.PromptTokens + r.MaxOutputTokens
	}
	if r.OutputTokens > 0 {
		return r.PromptTokens + r.OutputTokens
	}
	return max(r.PromptTokens, t.info.Limits.MemoryTokens/max(1, t.info.Slots))
}

// hasMemoryFor reports whether the target can hold the request besides those that it runs.
// A target refuses a request that alone exceeds its memory, so that it is not kept waiting.
//
// It is made for long prompts with long outputs that fill all slots of a target, which
// crashes if they exceed its memory together.
func (t *target) hasMemoryFor(r *Request) bool {
	limit := t.info.Limits.MemoryTokens
	if limit == 0 {
		return true
	}
	need := t.memoryNeed(r)
	return need > limit || t.heldTokens+need <= limit
}

// hold counts the memory of a request that starts on the target.
func (e *execution) hold() {
	t := e.target
	need := t.memoryNeed(e.request)
	if limit := t.info.Limits.MemoryTokens; limit > 0 && need > limit {
		return
	}
	e.heldTokens = need
	t.heldTokens += need
}

// releaseMemory ends the count of a request that has ended.
func (e *execution) releaseMemory() {
	e.target.heldTokens -= e.heldTokens
	e.heldTokens = 0
}

// countMemoryWait counts a request, once, that is not placed although a target has a free
// slot: it lacks memory.
func (s *Scheduler) countMemoryWait(sv *service, entry *queueEntry, now time.Time) {
	if entry.lackedMemory {
		return
	}
	r := entry.request
	ignoreEjection := sv.ignoreEjections(now)
	for _, t := range sv.targets {
		if r.AllowsVersion(t.info.Version) && t.freeSlots(now, ignoreEjection) > 0 && !t.hasMemoryFor(r) {
			entry.lackedMemory = true
			s.counters.MemoryWaits.Add(1)
			return
		}
	}
}
