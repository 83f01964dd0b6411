package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// provenSlots is the number of parts that a provenTable can hold.
	provenSlots = 8192
	// provenTimeBits is the number of bits for the time in a slot, in milliseconds.
	provenTimeBits = 40
)

// provenTable holds, for parts that attempts have completed with, the start of the
// latest such attempt. Parts with the same slot displace each other. It takes no
// lock.
type provenTable struct {
	slots [provenSlots]atomic.Uint64
}

// slot returns the slot of a part and the part's tag in it.
func (t *provenTable) slot(part Fingerprint) (slot *atomic.Uint64, tag uint64) {
	hash := xxhash.Sum64String(string(part))
	return &t.slots[hash%provenSlots], hash >> provenTimeBits << provenTimeBits
}

// add records that an attempt that started at an instant has completed; see
// Registry.instant.
func (t *provenTable) add(part Fingerprint, startedAt int64) {
	slot, tag := t.slot(part)
	entry := tag | uint64(startedAt/int64(time.Millisecond))&(1<<provenTimeBits-1)
	for {
		old := slot.Load()
		if old >= entry && old&^(1<<provenTimeBits-1) == tag || slot.CompareAndSwap(old, entry) {
			return
		}
	}
}

// startedSince reports whether an attempt that started at an instant or later has
// completed.
func (t *provenTable) startedSince(part Fingerprint, instant int64) bool {
	slot, tag := t.slot(part)
	entry := slot.Load()
	return entry != 0 && entry&^(1<<provenTimeBits-1) == tag &&
		int64(entry&(1<<provenTimeBits-1)) >= instant/int64(time.Millisecond)
}

// has reports whether any attempt has completed with a part.
func (t *provenTable) has(part Fingerprint) bool { return t.startedSince(part, 0) }
