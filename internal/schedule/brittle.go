package schedule

import "time"

const (
	// abandonedSlotTime is how long the slot of a request that ended before its
	// response was complete counts as taken at a brittle target: targets may notice
	// the end only after half a second.
	abandonedSlotTime = 500 * time.Millisecond
	// confirmationTime is how long it may take until a rejection is known here:
	// several round trips. So many requests start in it at a brittle target as may be
	// rejected.
	confirmationTime = 50 * time.Millisecond
	// rejectionTime is the time in which a brittle target counts rejections.
	rejectionTime = time.Second
)

// brittleState keeps the rejections of a target that fails if there are too many,
// as it states in its terms, within its limit.
type brittleState struct {
	// starts are the times of the last starts, rejections those of the last
	// rejections.
	starts, rejections []time.Time
}

// dropBefore returns the times without those before a time.
func dropBefore(times []time.Time, before time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(before) {
		times = times[1:]
	}
	return times
}

// maxStarts returns how many requests may start now, so that their rejections, and
// those that came before, are within the limit.
func (b *brittleState) maxStarts(limit int, now time.Time) int {
	b.starts = dropBefore(b.starts, now.Add(-confirmationTime))
	b.rejections = dropBefore(b.rejections, now.Add(-rejectionTime-confirmationTime))
	return max(1, limit-len(b.rejections)) - len(b.starts)
}

// started counts a request that starts.
func (b *brittleState) started(now time.Time) { b.starts = append(b.starts, now) }

// rejected counts a rejection. It returns how long the target gets no requests: once
// half of the limit is used, until the rejections no longer count.
func (b *brittleState) rejected(limit int, now time.Time) time.Duration {
	b.rejections = append(b.rejections, now)
	if 2*len(b.rejections) < limit {
		return fullBackoff
	}
	return rejectionTime + confirmationTime
}

// brittleStarts returns how many requests may start at the target because it is
// brittle; the number of its slots if it is not.
func (t *target) brittleStarts(now time.Time) int {
	if !t.terms.IsBrittle {
		return t.info.Slots
	}
	return min(t.share.slots(t)-t.running, t.brittle.maxStarts(t.terms.RejectionLimit, now))
}

// releaseSlot frees the slot of a request that has ended. A brittle target may still
// work on one that ended early. The caller holds s.mu.
func (s *Scheduler) releaseSlot(t *target, sv *service, result Result) {
	mayStillRun := result == Cancelled || result == Failed
	if !t.terms.IsBrittle || !mayStillRun {
		t.running--
		return
	}
	s.clock.AfterFunc(abandonedSlotTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		t.running--
		s.dropUnlisted(t)
		s.startQueued(sv)
	})
}
