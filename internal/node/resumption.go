package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/placement"
)

// maxCoordinatorGap is the pause of the instance's own timer from which it waits before it acts
// on the silence of others, and learns no times of targets that span the pause. It is several
// gossip intervals; with the age of the last messages before the pause, at most two intervals
// with aggregators, it is less than coordinatorTimeout and the lease of a queued request, 800 ms
// each.
const maxCoordinatorGap = 500 * time.Millisecond

// resumption tells whether an instance that was paused may not have heard from the others since.
type resumption struct {
	// mu guards the fields below.
	mu     sync.Mutex
	freeze freeze
	// hasBeat is set from the first beat; a slow start before it is no pause.
	hasBeat bool
}

// beat records that the instance runs. It reports whether it was paused since the last call, and
// whether a pause ended within placement.ResumeHold; uptime includes the time for which the machine
// was suspended.
func (r *resumption) beat(uptime time.Duration, now time.Time) (wasPaused, isRecent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasBeat {
		r.hasBeat, r.freeze.lastBeat = true, uptime
	}
	wasPaused = r.freeze.beat(uptime, now, maxCoordinatorGap)
	return wasPaused, r.freeze.frozen && now.Sub(r.freeze.until) < placement.ResumeHold
}

// wasPausedSince reports whether this instance was paused after a time. A pause counts until its
// end has been recorded, also for times after it.
func (n *Node) wasPausedSince(at time.Time) bool {
	r, uptime := &n.resumption, n.uptime()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasBeat && uptime-r.freeze.lastBeat > maxCoordinatorGap || !r.freeze.isSince(at)
}

// isResuming reports whether this instance was paused and may not have heard from the others
// since, so that their silence means nothing.
func (n *Node) isResuming() bool {
	wasPaused, isRecent := n.resumption.beat(n.uptime(), n.clock.Now())
	if wasPaused {
		n.logger.Info("resumed after a pause", zap.Duration("hold", placement.ResumeHold))
	}
	return isRecent
}
