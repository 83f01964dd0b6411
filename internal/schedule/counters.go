package schedule

import "sync/atomic"

// Counters count the decisions of a scheduler that depend on the memory of targets.
type Counters struct {
	// PrefixPlacements counts requests placed on a target that was expected to have part
	// of the prompt cached, CachedTokens the tokens of these parts.
	PrefixPlacements, CachedTokens atomic.Uint64
	// MemoryWaits counts the requests that waited for memory of a target with a free slot.
	MemoryWaits atomic.Uint64
}

// Counters returns the counters of the scheduler.
func (s *Scheduler) Counters() *Counters { return &s.counters }
