package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// fullBackoff is how long a target that rejected a request for lack of
	// capacity gets no further ones: about the time in which one of its slots
	// becomes free.
	fullBackoff = 50 * time.Millisecond
	// minUnreachableBackoff is the backoff after a first failed connection; it
	// doubles up to maxUnreachableBackoff.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// unlistedTermsTime is how long the terms of a target are kept that is not listed.
	unlistedTermsTime = 10 * time.Second
)

// target is the state of one incarnation of a target, guarded by Scheduler.mu.
type target struct {
	info *catalog.Target
	// running is the number of requests at the target, prefillTokens the number
	// of prompt tokens that it has to read of those without a first event yet.
	running, prefillTokens int
	// heldTokens is the memory that the running requests may take.
	heldTokens int
	// tokenTime is the time per output token of engines, responseTime the time of
	// a complete response of other targets.
	tokenTime    tokenTimeEstimate
	responseTime durationEWMA
	ejector      routing.Ejector
	backoffUntil time.Time
	backoff      time.Duration
	// terms are what the target last stated.
	terms   HeardTerms
	limiter rateLimiter
	brittle brittleState
	rests   rests
	// prefixes are the parts of prompts that the target probably has cached.
	prefixes *routing.PrefixIndex
	// share is what may be used of the terms here.
	share share
	// removed targets take no new requests and are deleted once nothing runs
	// there.
	removed bool
}

// usable reports whether the target may take requests, now or once it has a free
// slot.
func (t *target) usable(now time.Time, ignoreEjection bool) bool {
	if t.removed || t.isDraining() || now.Before(t.backoffUntil) {
		return false
	}
	return ignoreEjection || !t.ejector.Ejected(now)
}

// freeSlots returns how many more requests may start on the target now.
func (t *target) freeSlots(now time.Time, ignoreEjection bool) int {
	if !t.usable(now, ignoreEjection) {
		return 0
	}
	free := min(t.info.Slots-t.running, t.limiter.admitted(now), t.brittleStarts(now), t.rests.admitted())
	if ignoreEjection {
		return free
	}
	if allowed := t.ejector.ConcurrencyLimit(); allowed >= 0 {
		free = min(free, allowed-t.running)
	}
	return free
}

// addRunning counts a request that starts on the target.
func (t *target) addRunning(e *execution, now time.Time) {
	t.running++
	if e.probing = t.rests.onProbation(); e.probing {
		t.rests.probing++
	}
	e.prefillTokens = e.request.PromptTokens - e.cachedTokens
	t.prefillTokens += e.prefillTokens
	e.hold()
	t.limiter.take(now)
	if t.terms.IsBrittle {
		t.brittle.started(now)
	}
}

// isStateNeeded reports whether the state of a target that is no longer listed is
// kept: requests run there, or it has stated terms lately and its entry may return.
func (t *target) isStateNeeded(now time.Time) bool {
	return t.running > 0 || t.rests.any(now) || t.terms.AreStated() && now.Sub(t.terms.At) < unlistedTermsTime
}

// recordOutcome updates ejection, backoff and the average response time from an
// outcome.
func (t *target) recordOutcome(o *Outcome, promptTokens int, now time.Time) {
	switch o.Result {
	case Complete:
		t.ejector.RecordSuccess()
		t.backoff = 0
		if promptTokens == 0 {
			t.responseTime.observe(o.TotalTime)
		}
	case Failed:
		t.ejector.RecordFailure(now)
	case Unreachable:
		t.backoff = min(max(minUnreachableBackoff, 2*t.backoff), maxUnreachableBackoff)
		t.backoffUntil = now.Add(t.backoff)
	case Full:
		backoff := fullBackoff
		if t.terms.IsBrittle {
			backoff = t.brittle.rejected(t.terms.RejectionLimit, now)
		}
		t.backoffUntil = now.Add(backoff)
	case Cancelled:
	}
}
