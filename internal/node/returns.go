package node

import (
	"maps"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// maxGone bounds the targets that are remembered after they have gone, and
	// goneRetention how long they are if there are that many. The store's copy is some
	// seconds old when it returns from it.
	goneRetention = 2 * time.Minute
	maxGone       = 1024
)

// returnHold holds the entries of a list of targets against what was known before
// the store returned from an earlier copy. The copy lists targets that have left
// since, and lists as ready those that have begun to drain. Such a target is not
// used on the word of the copy:
//   - a target known to drain stays draining,
//   - one that had gone stays out of use until its sequence number exceeds both
//     that of its last entry and the first one seen in the new era,
//   - an earlier incarnation than the one in use stays out of use.
//
// After the time in which the store removes entries that are not renewed, the
// list is right again and holds as it is.
type returnHold struct {
	// holdTime is how long entries are held, and holdUntil the end of the current
	// hold.
	holdTime  time.Duration
	holdUntil time.Time
	gone      map[catalog.TargetKey]goneTarget
	// held are the entries that have been held in the current era, newlyHeld those
	// that have not been logged yet, and heldCount is their number in all eras.
	held      map[catalog.TargetKey]bool
	newlyHeld []*catalog.Target
	heldCount uint64
}

// goneTarget is a target that has gone.
type goneTarget struct {
	at time.Time
	// era is the era in which it went.
	era            uint64
	sequenceNumber int64
	// seenInEra is the last era in which it was listed again.
	seenInEra uint64
}

// begin starts to hold entries.
func (h *returnHold) begin(now time.Time) {
	h.holdUntil = now.Add(h.holdTime)
	h.held = make(map[catalog.TargetKey]bool)
}

// recall returns the target to use for a listed one, or nil if none must be used.
func (l *targetList) recall(listed *catalog.Target, now time.Time) *catalog.Target {
	if !now.Before(l.holdUntil) {
		return listed
	}
	known := l.present[listed.Key()]
	switch {
	case known != nil && (listed.Draining || !known.Draining):
		return listed
	case known == nil && !l.hasGone(listed) && !l.isSuperseded(listed):
		return listed
	}
	l.recordHeld(listed)
	return known
}

// hasGone reports whether a listed target had gone before the current era and has
// not renewed its entry since.
func (l *targetList) hasGone(listed *catalog.Target) bool {
	key := listed.Key()
	gone, ok := l.gone[key]
	if !ok || gone.era >= l.position.Era {
		return false
	}
	if gone.seenInEra != l.position.Era {
		gone.seenInEra = l.position.Era
		gone.sequenceNumber = max(gone.sequenceNumber, listed.SequenceNumber)
		l.gone[key] = gone
	}
	return listed.SequenceNumber <= gone.sequenceNumber
}

// isSuperseded reports whether a later incarnation of a listed target is in use.
func (l *targetList) isSuperseded(listed *catalog.Target) bool {
	for key := range l.present {
		if key.ID == listed.ID && key.Born > listed.Born {
			return true
		}
	}
	return false
}

// recordHeld records an entry that is held.
func (h *returnHold) recordHeld(listed *catalog.Target) {
	if key := listed.Key(); !h.held[key] {
		h.held[key] = true
		h.newlyHeld = append(h.newlyHeld, listed)
		h.heldCount++
	}
}

// recordGone remembers the targets that are no longer in use since a read in an
// era.
func (h *returnHold) recordGone(previous, next map[catalog.TargetKey]*catalog.Target, era uint64, now time.Time) {
	for key, target := range previous {
		if next[key] != nil {
			continue
		}
		if len(h.gone) >= maxGone {
			maps.DeleteFunc(h.gone, func(_ catalog.TargetKey, g goneTarget) bool { return now.Sub(g.at) > goneRetention })
		}
		if h.gone == nil {
			h.gone = make(map[catalog.TargetKey]goneTarget)
		}
		if len(h.gone) < maxGone {
			h.gone[key] = goneTarget{at: now, era: era, sequenceNumber: target.SequenceNumber}
		}
	}
}

// takeNewlyHeld returns the entries held since the last call.
func (h *returnHold) takeNewlyHeld() []*catalog.Target {
	newlyHeld := h.newlyHeld
	h.newlyHeld = nil
	return newlyHeld
}
