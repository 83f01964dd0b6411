package node

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
)

const (
	// outageThreshold is the time between two successful reads above which an
	// outage is assumed, during which entries may have expired although their
	// targets are alive.
	outageThreshold = 1500 * time.Millisecond
	// outageGrace is how long after an outage missing entries may take to
	// reappear.
	outageGrace = 2200 * time.Millisecond
	// maxResponseWait bounds the part of a read that counts as silence of the store. A read of
	// many pages takes longer.
	maxResponseWait = 500 * time.Millisecond
)

// targetList determines the current targets from reads of the store's list. The
// list drops entries that their targets do not renew, which includes those of
// live targets that cannot reach the store.
type targetList struct {
	// present holds the targets in use, read those of the last read. They differ
	// while missing entries are kept, and before the first read; see applyPart.
	present, read map[catalog.TargetKey]*catalog.Target
	// readDigest identifies read; see digest. earlier are the reads before it, the newest
	// last, whose targets differ.
	readDigest uint32
	earlier    []earlierRead
	// byName holds the same targets by the names of their keys.
	byName   map[string]listedTarget
	position Position
	readAt   time.Time
	// readSince is the time since which reads have succeeded regularly.
	readSince time.Time
	// graceUntil is the time until which missing entries are kept, since they
	// may reappear; keeps is set while any are.
	graceUntil time.Time
	keeps      bool
	returnHold
}

// listedTarget is a target with the time since which it has been listed.
type listedTarget struct {
	*catalog.Target
	since time.Time
}

// apply applies a read at a position that took some time, and reports whether the targets
// have changed. A read at a lower position than the last one is ignored.
func (l *targetList) apply(listed []*catalog.Target, position Position, now time.Time, took time.Duration) bool {
	if position.Before(l.position) {
		return false
	}
	l.advance(position, now)
	silence := now.Sub(l.readAt) - max(0, took-maxResponseWait)
	if !l.readAt.IsZero() && silence > outageThreshold {
		l.graceUntil = now.Add(outageGrace)
	}
	if silence > outageThreshold {
		l.readSince = now
	}
	l.readAt = now
	read := make(map[catalog.TargetKey]*catalog.Target, len(listed))
	for _, target := range listed {
		read[target.Key()] = target
	}
	l.replaceRead(read)
	return l.settle(now)
}

// applyPart applies targets that a failed read returned, and reports whether the targets
// have changed. It is no read: others must not take the part for the list, and a target that
// is missing from it may be listed. So targets stay whose IDs come after all that were read.
// Once there has been a read, it is not called.
func (l *targetList) applyPart(listed []*catalog.Target, now time.Time) (changed bool) {
	next, last := make(map[catalog.TargetKey]*catalog.Target, len(listed)), ""
	for _, target := range listed {
		next[target.Key()], last = target, max(last, target.ID)
	}
	for key, target := range l.present {
		if key.ID > last {
			next[key] = target
		}
	}
	changed = !equalTargets(l.present, next)
	l.present = next
	l.indexByName(now)
	return changed
}

// isPartial reports whether the targets in use are a part of a list that has not been read
// as a whole.
func (l *targetList) isPartial() bool { return l.readAt.IsZero() && len(l.present) > 0 }

// earlierRead is a read of the list with its digest.
type earlierRead struct {
	digest uint32
	read   map[catalog.TargetKey]*catalog.Target
}

// maxEarlierReads bounds the reads that are kept. An instance that holds an earlier one
// receives the whole list.
const maxEarlierReads = 16

// replaceRead replaces the last read.
func (l *targetList) replaceRead(read map[catalog.TargetKey]*catalog.Target) {
	digest := digestOf(read)
	if l.read != nil && digest != l.readDigest {
		l.earlier = append(l.earlier, earlierRead{l.readDigest, l.read})
		if len(l.earlier) > maxEarlierReads {
			l.earlier = slices.Clone(l.earlier[1:])
		}
	}
	l.read, l.readDigest = read, digest
}

// changesSince returns what differs in the last read from the one with a digest; ok is
// false if that is not known.
func (l *targetList) changesSince(digest uint32) (changed []*catalog.Target, removed []catalog.TargetKey, ok bool) {
	i := slices.IndexFunc(l.earlier, func(e earlierRead) bool { return e.digest == digest })
	if i < 0 {
		return nil, nil, false
	}
	base := l.earlier[i].read
	for key, target := range l.read {
		if known := base[key]; known == nil || !sameTarget(known, target) {
			changed = append(changed, target)
		}
	}
	for key := range base {
		if l.read[key] == nil {
			removed = append(removed, key)
		}
	}
	return changed, removed, true
}

// withChanges returns the last read with changes; ok is false if it is not the one with
// the digest that the changes were made from.
func (l *targetList) withChanges(digest uint32, changed []*catalog.Target, removed []catalog.TargetKey) (targets []*catalog.Target, ok bool) {
	if l.read == nil || l.readDigest != digest {
		return nil, false
	}
	read := maps.Clone(l.read)
	for _, key := range removed {
		delete(read, key)
	}
	for _, target := range changed {
		read[target.Key()] = target
	}
	return slices.Collect(maps.Values(read)), true
}

// settle determines the targets in use from the last read, and reports whether
// they have changed.
func (l *targetList) settle(now time.Time) (changed bool) {
	next := make(map[catalog.TargetKey]*catalog.Target, len(l.read))
	ids := make(map[string]bool, len(l.read))
	for key, target := range l.read {
		if target = l.recall(target, now); target != nil {
			next[key] = target
			ids[key.ID] = true
		}
	}
	l.keeps = false
	if now.Before(l.graceUntil) {
		for key, target := range l.present {
			if next[key] == nil && !ids[key.ID] {
				l.keeps = true
				next[key] = target
			}
		}
	}
	l.recordGone(l.present, next, l.position.Era, now)
	changed = !equalTargets(l.present, next)
	l.present = next
	l.indexByName(now)
	return changed
}

// graceEndsIn returns the time until entries that are kept have to be read again; ok is
// false if that is not due. It tells the end of the grace once.
func (l *targetList) graceEndsIn(now time.Time) (remaining time.Duration, ok bool) {
	if !l.keeps {
		return 0, false
	}
	remaining = max(0, l.graceUntil.Sub(now))
	l.keeps = remaining > 0
	return remaining, true
}

// advance moves to a position that is not before the current one. In a new era, the
// list may be some seconds older than what is known: missing entries may reappear
// as after an outage, and others are held against what is known.
func (l *targetList) advance(position Position, now time.Time) {
	if position.Era > l.position.Era && !l.position.IsZero() {
		l.graceUntil, l.readSince = now.Add(outageGrace), now
		l.begin(now)
	}
	l.position = position
}

func (l *targetList) indexByName(now time.Time) {
	previous := l.byName
	l.byName = make(map[string]listedTarget, len(l.present))
	for key, target := range l.present {
		listed := listedTarget{target, now}
		if before, ok := previous[key.String()]; ok {
			listed.since = before.since
		}
		l.byName[key.String()] = listed
	}
}

// liveness tells whether a target has renewed its entry after a time, from reads
// that go on until the entry would have expired otherwise, and for a target that
// is listed, until a late renewal would have as well. An entry that does not state
// the start of its incarnation may be of a later one.
func (l *targetList) liveness(target string, after time.Time, expiry time.Duration) quarantine.Liveness {
	if l.readAt.Before(l.graceUntil) {
		return quarantine.Undecided
	}
	from := latest(after, l.readSince)
	listed, ok := l.byName[target]
	switch {
	case !ok && l.readAt.Sub(from) >= expiry:
		return quarantine.Ended
	case ok && listed.Born != 0 && l.readAt.Sub(latest(from, listed.since)) >= expiry+maxRenewalDelay:
		return quarantine.Survived
	}
	return quarantine.Undecided
}

// confirm records that a read at the given time, by another instance or known to
// it, returned the same targets. It reports whether the targets in use have
// changed, as they do when the time is over for which entries were kept or held.
func (l *targetList) confirm(readAt time.Time, position Position) (changed bool) {
	if !readAt.After(l.readAt) {
		return false
	}
	if readAt.Sub(l.readAt) > outageThreshold {
		l.readSince = readAt
	}
	l.readAt = readAt
	if l.position.Before(position) {
		l.advance(position, readAt)
	}
	return !equalTargets(l.present, l.read) && l.settle(readAt)
}

// digest identifies the targets of the last read, independently of their order.
// Entries that are kept although they are missing are not part of it: each
// instance decides on that by itself, and others must not take them for read.
func (l *targetList) digest() uint32 { return l.readDigest }

func digestOf(read map[catalog.TargetKey]*catalog.Target) uint32 {
	var sum uint64
	for key, target := range read {
		identity := key.ID + "|" + target.Address + "|" + target.Version
		if target.Draining {
			identity += "|draining"
		}
		sum += xxhash.Sum64String(identity) + uint64(key.Born)
	}
	return uint32(sum)
}

// equalTargets compares all but what each renewal changes.
func equalTargets(a, b map[catalog.TargetKey]*catalog.Target) bool {
	if len(a) != len(b) {
		return false
	}
	for key, target := range a {
		if other := b[key]; other == nil || !sameTarget(other, target) {
			return false
		}
	}
	return true
}

// sameTarget compares all but what each renewal changes: the sequence number and the rest
// of the cold time.
func sameTarget(a, b *catalog.Target) bool {
	renewed := *a
	renewed.SequenceNumber, renewed.ColdLeft = b.SequenceNumber, b.ColdLeft
	return renewed == *b
}

// list returns the targets in use, in no particular order.
func (l *targetList) list() []*catalog.Target {
	return slices.Collect(maps.Values(l.present))
}

// lastRead returns the targets of the last read, in no particular order.
func (l *targetList) lastRead() []*catalog.Target {
	return slices.Collect(maps.Values(l.read))
}
