package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// fullPause is how long a target that refused for want of room is left
	// alone: about the time in which one of its slots frees up.
	fullPause = 50 * time.Millisecond
	// unreachablePause is the first pause after a failed connection; it
	// doubles up to maxUnreachablePause.
	unreachablePause    = 250 * time.Millisecond
	maxUnreachablePause = 4 * time.Second
)

// target is the state of one incarnation of a target. Scheduler.mu guards it.
type target struct {
	info *catalog.Target
	// running counts the requests there, reading the prompt tokens of those whose
	// first event has not come.
	running, reading int
	// perToken is the time per output token of engines, perAnswer that of a
	// whole answer of other targets.
	perToken, perAnswer pace
	ejector             routing.Ejector
	pausedUntil         time.Time
	pause               time.Duration
	// withdrawn targets take no new work and are forgotten once empty.
	withdrawn bool
}

// usable tells whether the target may take requests, now or when it has room.
func (t *target) usable(now time.Time, ignoreEjection bool) bool {
	if t.withdrawn || t.info.Draining || now.Before(t.pausedUntil) {
		return false
	}
	return ignoreEjection || !t.ejector.Ejected(now)
}

// room tells how many more requests may start on the target now.
func (t *target) room(now time.Time, ignoreEjection bool) int {
	if !t.usable(now, ignoreEjection) {
		return 0
	}
	free := t.info.Slots - t.running
	if ignoreEjection {
		return free
	}
	if allowed := t.ejector.ConcurrencyLimit(); allowed >= 0 {
		free = min(free, allowed-t.running)
	}
	return free
}

// record learns from an outcome.
func (t *target) record(o *Outcome, prompt int, now time.Time) {
	switch o.Result {
	case Complete:
		t.ejector.RecordSuccess()
		t.pause = 0
		if prompt == 0 {
			t.perAnswer.observe(o.Whole)
		}
	case Failed:
		t.ejector.RecordFailure(now)
	case Unreachable:
		t.pause = min(max(unreachablePause, 2*t.pause), maxUnreachablePause)
		t.pausedUntil = now.Add(t.pause)
	case Full:
		t.pausedUntil = now.Add(fullPause)
	case Cancelled:
	}
}
