package quarantine

import (
	"slices"
	"time"
)

const (
	// maxOrderlyEnds bounds the orderly ends held for one target.
	maxOrderlyEnds = 16
	// crashTogether is the time within which the connections of a target that
	// crashes end.
	crashTogether = 300 * time.Millisecond
	// settleTime is the time after an orderly end within which a crash of its target
	// shows in other attempts.
	settleTime = time.Second
	// goneTime is the time after an orderly end within which its target must turn
	// out to be gone for the end to be that of the target. Targets that end together
	// are within less than minCrashes separate crashes of each other then.
	goneTime = (minCrashes-1)*separateSilence - 100*time.Millisecond
)

// orderlyEnd is the end of an attempt whose response ended in order with its
// connection. It is complete if the target has survived, and may have been cut off
// if not.
type orderlyEnd struct {
	attempt *Attempt
	at      time.Time
}

// isConfirmedBy reports whether the target has survived if something arrives from
// it now, on a connection that was opened at the given time, and no other attempt
// was broken.
func (e orderlyEnd) isConfirmedBy(openedAt, now time.Time) bool {
	age := now.Sub(e.at)
	return age >= settleTime || openedAt.After(e.at) && age <= minRestartTime || !openedAt.After(e.at) && age >= survivalMargin
}

// addEnd records an orderly end.
func (r *runTable) addEnd(e orderlyEnd) {
	shard := r.shardOf(e.attempt.target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.ends == nil {
		shard.ends = make(map[string][]orderlyEnd)
	}
	ends := shard.ends[e.attempt.target]
	if len(ends) >= maxOrderlyEnds {
		ends = ends[1:]
	} else {
		r.endCount.Add(1)
	}
	shard.ends[e.attempt.target] = append(ends, e)
}

// takeEnds removes and returns the orderly ends at a target that are concerned.
func (r *runTable) takeEnds(target string, concerned func(orderlyEnd) bool) []orderlyEnd {
	if r.endCount.Load() == 0 {
		return nil
	}
	shard := r.shardOf(target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var taken []orderlyEnd
	kept := slices.DeleteFunc(shard.ends[target], func(e orderlyEnd) bool {
		isTaken := concerned(e)
		if isTaken {
			taken = append(taken, e)
		}
		return isTaken
	})
	if len(taken) > 0 {
		shard.ends[target] = kept
		r.endCount.Add(-int64(len(taken)))
	}
	return taken
}

// dropEnds forgets the orderly ends before a time, and returns how many there were;
// shard.mu must be held.
func (s *runShard) dropEnds(before time.Time) int {
	dropped := 0
	for target, ends := range s.ends {
		kept := slices.DeleteFunc(ends, func(e orderlyEnd) bool { return e.at.Before(before) })
		dropped += len(ends) - len(kept)
		if s.ends[target] = kept; len(kept) == 0 {
			delete(s.ends, target)
		}
	}
	return dropped
}

// endInOrder records that the response of an attempt ended with its connection. It
// was cut off if the target has broken others at the same time, and may have been
// if the end came long after the rest.
func (r *Registry) endInOrder(a *Attempt, now time.Time) {
	switch {
	case len(a.parts) == 0:
		r.withdrawMark(a)
	case a.markID.Load() != 0, !a.heardWithin(crashTogether, now), r.hasBroken(a.target, crashTogether, now):
		r.markAttempt(a, now, false)
	default:
		r.running.addEnd(orderlyEnd{a, now})
	}
}

// hasBroken reports whether the target has broken other attempts within a time.
func (r *Registry) hasBroken(target string, within time.Duration, now time.Time) bool {
	if r.unresolvedCount.Load() == 0 {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for m := range r.unresolved[target] {
		if !m.silent && now.Sub(m.at) <= within {
			return true
		}
	}
	return false
}

// endTogether handles the orderly ends at a target that has broken an attempt:
// those of about the same time were cut off as well, and it has survived those
// before the attempt.
func (r *Registry) endTogether(broken *Attempt, now time.Time) {
	for _, e := range r.running.takeEnds(broken.target, func(orderlyEnd) bool { return true }) {
		switch {
		case now.Sub(e.at) <= crashTogether:
			r.markAttempt(e.attempt, e.at, false)
		case e.at.Before(broken.startedAt):
			r.recordAnswer(e.attempt, e.at)
		}
	}
}

// endUnreachable marks the attempts that have just ended in order at a target that
// has turned out to be gone, unless others show when it crashed. When it did is not
// known exactly, as for targets that fall silent.
func (r *Registry) endUnreachable(target string, now time.Time) {
	ends := r.running.takeEnds(target, func(orderlyEnd) bool { return true })
	if len(ends) == 0 || r.hasBroken(target, endConfirmTime, now) {
		return
	}
	last := ends[len(ends)-1].at
	for _, e := range ends {
		if now.Sub(e.at) <= goneTime && last.Sub(e.at) <= crashTogether {
			r.markAttempt(e.attempt, e.at, true)
		}
	}
}

// confirmOrderlyEnds records the completions that something that arrives from a
// target confirms.
func (r *Registry) confirmOrderlyEnds(target string, openedAt, now time.Time) {
	for _, e := range r.running.takeEnds(target, func(e orderlyEnd) bool { return e.isConfirmedBy(openedAt, now) }) {
		r.recordAnswer(e.attempt, e.at)
	}
}
