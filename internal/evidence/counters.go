package evidence

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Key names one set of counters of an entry.
type Key struct {
	Version       string `msgpack:"v"`
	Route         string `msgpack:"r"`
	Target        string `msgpack:"t"`
	FailureDomain string `msgpack:"d"`
	Generation    string `msgpack:"g,omitempty"`
	// LoadBand is the class of concurrency at the target.
	LoadBand uint8 `msgpack:"l"`
}

func compareKeys(a, b *Key) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.LoadBand, b.LoadBand))
}

// Histogram holds counts of consecutive buckets; the first element is the
// index of the first bucket that follows.
type Histogram []uint32

// Counts are cumulative since the entry began to count the pool's move.
type Counts struct {
	Requests uint32 `msgpack:"n"`
	// Failures are failed requests but for broken and unreachable ones.
	Failures uint32 `msgpack:"f,omitempty"`
	// Crashes counts crashes seen at the target.
	Crashes uint32 `msgpack:"b,omitempty"`
	// BusyMillis is the sum of the requests' durations in milliseconds.
	BusyMillis uint64 `msgpack:"m"`
	// FirstToken is the first-token time by class of uncached prompt size.
	FirstToken [sizeBandCount]Histogram `msgpack:"p,omitempty"`
	// PerToken is the time per output token.
	PerToken Histogram `msgpack:"o,omitempty"`
}

// Record is the counters of one key.
type Record struct {
	Key    Key    `msgpack:"k"`
	Counts Counts `msgpack:"c"`
}

// keyCounters holds one key's counters. Changes rises after each of them.
type keyCounters struct {
	key      Key
	revision atomic.Uint64
	requests atomic.Uint32
	failures atomic.Uint32
	crashes  atomic.Uint32
	// lastCrashNanos is the time of the last counted crash in Unix nanoseconds.
	lastCrashNanos atomic.Int64
	busyMillis     atomic.Uint64
	firstToken     [sizeBandCount][BucketCount]atomic.Uint32
	perToken       [BucketCount]atomic.Uint32
}

// minCrashInterval is the least time between two crashes of one target.
const minCrashInterval = 10 * time.Second

// maxKeys bounds the memory of a ledger; further keys are not counted.
const maxKeys = 2048

// CounterSet counts one entry's requests to one pool. Add is called on the request
// path by any number of goroutines and takes no lock for known keys. Update and
// Since are called by one goroutine at a time.
type CounterSet struct {
	byKey sync.Map // Key to *cell

	// mu guards added, the cells that Update has not met yet.
	mu       sync.Mutex
	unread   []*keyCounters
	keyCount int

	// snapshots are the caller's pictures of all cells, sorted by key.
	snapshots []snapshot
}

// snapshot is a cell's counters as of the last Update.
type snapshot struct {
	counters  *keyCounters
	revision  uint64
	changedAt time.Time
	record    Record
}

// Add counts one observation made at now.
func (s *CounterSet) Add(o *Observation, now time.Time) {
	c := s.countersFor(Key{o.Version, o.Route, o.Target, o.FailureDomain, o.Generation, loadBand(o.RunningRequests)})
	if c == nil {
		return
	}
	defer c.revision.Add(1)
	if o.Failed {
		c.addFailure(o.FailureKind, now)
		return
	}
	c.requests.Add(1)
	c.busyMillis.Add(uint64(o.Duration / time.Millisecond))
	if d, ok := o.firstTokenPerPromptToken(); ok {
		c.firstToken[sizeBand(o.uncachedTokens())][bucket(d)].Add(1)
	}
	if d, ok := o.timePerOutputToken(); ok {
		c.perToken[bucket(d)].Add(1)
	}
}

func (c *keyCounters) addFailure(kind FailureKind, now time.Time) {
	switch kind {
	case FailureUnreachable:
	case FailureConnectionLost:
		last := c.lastCrashNanos.Load()
		if now.UnixNano()-last >= int64(minCrashInterval) && c.lastCrashNanos.CompareAndSwap(last, now.UnixNano()) {
			c.crashes.Add(1)
		}
	default:
		c.requests.Add(1)
		c.failures.Add(1)
	}
}

func (s *CounterSet) countersFor(key Key) *keyCounters {
	if found, ok := s.byKey.Load(key); ok {
		return found.(*keyCounters)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.byKey.Load(key); ok {
		return found.(*keyCounters)
	}
	if s.keyCount >= maxKeys {
		return nil
	}
	s.keyCount++
	c := &keyCounters{key: key}
	s.unread = append(s.unread, c)
	s.byKey.Store(key, c)
	return c
}

// ReadChanged reads the counters anew at now and returns those that have changed
// since the last call, sorted by key.
func (s *CounterSet) ReadChanged(now time.Time) []Record {
	s.addSnapshots()
	var changed []Record
	for i := range s.snapshots {
		snap := &s.snapshots[i]
		revision := snap.counters.revision.Load()
		if revision == snap.revision {
			continue
		}
		snap.revision, snap.changedAt = revision, now
		snap.record.Counts = snap.counters.counts()
		changed = append(changed, snap.record)
	}
	return changed
}

// addSnapshots takes the cells added since the last call into the views.
func (s *CounterSet) addSnapshots() {
	s.mu.Lock()
	unread := s.unread
	s.unread = nil
	s.mu.Unlock()
	if len(unread) == 0 {
		return
	}
	for _, c := range unread {
		s.snapshots = append(s.snapshots, snapshot{counters: c, record: Record{Key: c.key}})
	}
	slices.SortFunc(s.snapshots, func(a, b snapshot) int { return compareKeys(&a.record.Key, &b.record.Key) })
}

// ChangedSince returns the counters that changed at from or later, as of the last
// Update, sorted by key. The zero time gives all.
func (s *CounterSet) ChangedSince(from time.Time) []Record {
	var records []Record
	for i := range s.snapshots {
		if !s.snapshots[i].changedAt.Before(from) {
			records = append(records, s.snapshots[i].record)
		}
	}
	return records
}

func (c *keyCounters) counts() Counts {
	counts := Counts{
		Requests: c.requests.Load(), Failures: c.failures.Load(),
		Crashes: c.crashes.Load(), BusyMillis: c.busyMillis.Load(), PerToken: packHistogram(&c.perToken),
	}
	for band := range c.firstToken {
		counts.FirstToken[band] = packHistogram(&c.firstToken[band])
	}
	return counts
}

// packHistogram keeps the range between the first and the last bucket in use.
func packHistogram(buckets *[BucketCount]atomic.Uint32) Histogram {
	var counts [BucketCount]uint32
	first, last := -1, -1
	for i := range buckets {
		counts[i] = buckets[i].Load()
		if counts[i] == 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
	}
	if first < 0 {
		return nil
	}
	return append(Histogram{uint32(first)}, counts[first:last+1]...)
}

// addTo adds the histogram's counts, times sign, to dense.
func (h Histogram) addTo(dst *[BucketCount]int, sign int) {
	if len(h) == 0 {
		return
	}
	for i, count := range h[1:] {
		if index := int(h[0]) + i; index < BucketCount {
			dst[index] += sign * int(count)
		}
	}
}
