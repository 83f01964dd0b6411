package evidence

import (
	"sync/atomic"
	"time"
)

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// Answered is a complete response.
	Answered Ending = iota
	// Failed is a failure of the target.
	Failed
	// GivenUp is an attempt whose caller left, whose deadline passed or that the
	// target has not run. Nothing is known but that it took at least its time.
	GivenUp
)

// Attempt is a request that a CounterSet counts from its start, as one without a
// response until it ends. It is safe for concurrent use.
type Attempt struct {
	set       *CounterSet
	counters  *keyCounters
	startedAt time.Time
	scale     float64
	ended     atomic.Bool
}

// Start counts a request that starts at now. Its time is multiplied by scale, so
// that requests of different lengths are comparable. It returns nil, which is not
// counted, for keys beyond maxKeys.
func (s *CounterSet) Start(key Key, scale float64, now time.Time) *Attempt {
	c := s.countersFor(key)
	if c == nil {
		return nil
	}
	a := &Attempt{set: s, counters: c, startedAt: now, scale: scale}
	s.runningMu.Lock()
	defer s.runningMu.Unlock()
	if s.running == nil {
		s.running = make(map[*Attempt]struct{})
	}
	s.running[a] = struct{}{}
	return a
}

// End records the end of the attempt and returns its scaled duration; first is
// false, and nothing is recorded, if it has ended before.
func (a *Attempt) End(ending Ending, now time.Time) (took time.Duration, first bool) {
	if a == nil || !a.ended.CompareAndSwap(false, true) {
		return 0, false
	}
	took = a.duration(now)
	a.set.runningMu.Lock()
	defer a.set.runningMu.Unlock()
	delete(a.set.running, a)
	c := a.counters
	switch ending {
	case Answered:
		c.requests.Add(1)
		c.perToken[durationBucket(took)].Add(1)
	case Failed:
		c.requests.Add(1)
		c.failures.Add(1)
		c.unfinished[durationBucket(took)].Add(1)
	case GivenUp:
		c.unanswered.Add(1)
		c.unfinished[durationBucket(took)].Add(1)
	}
	c.busyMillis.Add(uint64(took / time.Millisecond))
	c.revision.Add(1)
	return took, true
}

func (a *Attempt) duration(now time.Time) time.Duration {
	return time.Duration(float64(max(0, now.Sub(a.startedAt))) * a.scale)
}

// durationBucket returns the bucket of the duration of a whole request.
func durationBucket(d time.Duration) int { return bucket(d / nonStreamingScale) }

// Snapshot returns all counters at now, with the requests in flight, sorted by key.
// It must not be called concurrently with ReadChanged, ChangedSince or itself.
func (s *CounterSet) Snapshot(now time.Time) []Record {
	s.addSnapshots()
	s.runningMu.Lock()
	defer s.runningMu.Unlock()
	running := make(map[*keyCounters]*[BucketCount]uint32)
	for a := range s.running {
		if running[a.counters] == nil {
			running[a.counters] = loadBuckets(&a.counters.unfinished)
		}
		running[a.counters][durationBucket(a.duration(now))]++
	}
	records := make([]Record, 0, len(s.snapshots))
	for i := range s.snapshots {
		c := s.snapshots[i].counters
		counts := c.counts()
		if unfinished := running[c]; unfinished != nil {
			counts.Unfinished = packHistogram(unfinished)
			counts.Unanswered = counts.Unfinished.total() - counts.Failures
		}
		records = append(records, Record{Key: c.key, Counts: counts})
	}
	return records
}

func (h Histogram) total() uint32 {
	sum := uint32(0)
	for _, count := range h[min(1, len(h)):] {
		sum += count
	}
	return sum
}
