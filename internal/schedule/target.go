package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// fullBackoff is how long a target that refused for want of room is left
	// alone: about the time in which one of its slots frees up.
	fullBackoff = 50 * time.Millisecond
	// minUnreachableBackoff is the first pause after a failed connection; it
	// doubles up to maxUnreachablePause.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
)

// target is the state of one incarnation of a target. Scheduler.mu guards it.
type target struct {
	info *catalog.Target
	// running counts the requests there, prefillTokens the prompt tokens of those whose
	// first event has not come.
	running, prefillTokens int
	// tokenTime is the time per output token of engines, responseTime that of a
	// whole answer of other targets.
	tokenTime, responseTime durationEWMA
	ejector                 routing.Ejector
	backoffUntil            time.Time
	backoff                 time.Duration
	// removed targets take no new work and are forgotten once empty.
	removed bool
}

// usable tells whether the target may take requests, now or when it has room.
func (t *target) usable(now time.Time, ignoreEjection bool) bool {
	if t.removed || t.info.Draining || now.Before(t.backoffUntil) {
		return false
	}
	return ignoreEjection || !t.ejector.Ejected(now)
}

// freeSlots tells how many more requests may start on the target now.
func (t *target) freeSlots(now time.Time, ignoreEjection bool) int {
	if !t.usable(now, ignoreEjection) {
		return 0
	}
	free := t.info.Slots - t.running
	if ignoreEjection {
		return free
	}
	if allowed := t.ejector.Allowed(); allowed >= 0 {
		free = min(free, allowed-t.running)
	}
	return free
}

// recordOutcome learns from an outcome.
func (t *target) recordOutcome(o *Outcome, promptTokens int, now time.Time) {
	switch o.Result {
	case Complete:
		t.ejector.Success()
		t.backoff = 0
		if promptTokens == 0 {
			t.responseTime.observe(o.Duration)
		}
	case Failed:
		t.ejector.Failure(now)
	case Unreachable:
		t.backoff = min(max(minUnreachableBackoff, 2*t.backoff), maxUnreachableBackoff)
		t.backoffUntil = now.Add(t.backoff)
	case Full:
		t.backoffUntil = now.Add(fullBackoff)
	case Cancelled:
	}
}
