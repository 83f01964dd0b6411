package evidence

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Key identifies one set of counters of an instance.
type Key struct {
	Version       string `msgpack:"v"`
	Route         string `msgpack:"r"`
	Target        string `msgpack:"t"`
	FailureDomain string `msgpack:"d"`
	Generation    string `msgpack:"g,omitempty"`
	// LoadBand is the band of concurrency at the target; see loadBand.
	LoadBand uint8 `msgpack:"l"`
}

func compareKeys(a, b *Key) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.LoadBand, b.LoadBand))
}

// Histogram holds the counts of consecutive buckets, preceded by the index of
// the first of them.
type Histogram []uint32

// Counts are cumulative since the instance began to count requests for the
// pool's move.
type Counts struct {
	Requests uint32 `msgpack:"n"`
	// Failures counts failed requests, except those whose connection was lost or
	// refused.
	Failures uint32 `msgpack:"f,omitempty"`
	// Unanswered counts requests without a response: those in flight, and those
	// whose caller left or whose deadline passed. Requests does not count them.
	Unanswered uint32 `msgpack:"w,omitempty"`
	// Crashes counts the crashes seen at the target.
	Crashes uint32 `msgpack:"b,omitempty"`
	// BusyMillis is the sum of the requests' durations in milliseconds.
	BusyMillis uint64 `msgpack:"m"`
	// FirstToken is the time to first token per uncached prompt token, by size
	// band of the uncached prompt.
	FirstToken [sizeBandCount]Histogram `msgpack:"p,omitempty"`
	// PerToken is the time per output token.
	PerToken Histogram `msgpack:"o,omitempty"`
	// Unfinished is the time that requests without a complete response have taken
	// so far, or until they ended, on the scale of PerToken. Requests in flight move
	// to higher buckets.
	Unfinished Histogram `msgpack:"u,omitempty"`
}

// started returns the number of requests with or without a response.
func (c *Counts) started() uint32 { return c.Requests + c.Unanswered }

// sameRequests reports whether both counts stem from the same requests in the same
// state.
func (c *Counts) sameRequests(other *Counts) bool {
	return c.Requests == other.Requests && c.Unanswered == other.Unanswered && slices.Equal(c.Unfinished, other.Unfinished)
}

// Record holds the counters of one key.
type Record struct {
	Key    Key    `msgpack:"k"`
	Counts Counts `msgpack:"c"`
}

// keyCounters holds the counters of one key. Revision is incremented after each
// change to the others.
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
	// unanswered and unfinished leave out the requests in flight.
	unanswered atomic.Uint32
	unfinished [BucketCount]atomic.Uint32
}

// minCrashInterval is the minimum time between two counted crashes of one key,
// or of the new version in one failure domain.
const minCrashInterval = 10 * time.Second

// maxKeys bounds the memory of a CounterSet; requests of further keys are not
// counted.
const maxKeys = 2048

// CounterSet counts the requests of one instance to one pool. Add is called on
// the request path from any goroutine and takes no lock for known keys.
// ReadChanged and ChangedSince must not be called concurrently.
type CounterSet struct {
	byKey sync.Map // Key to *keyCounters

	// mu guards unread, the counters that ReadChanged has not read yet, and
	// keyCount.
	mu       sync.Mutex
	unread   []*keyCounters
	keyCount int

	// snapshots holds the counters as of the last ReadChanged, sorted by key.
	snapshots []snapshot

	// runningMu guards running, and makes the end of an attempt one step.
	runningMu sync.Mutex
	running   map[*Attempt]struct{}
}

// snapshot holds the counters of one key as of the last ReadChanged.
type snapshot struct {
	counters  *keyCounters
	revision  uint64
	changedAt time.Time
	record    Record
}

// Add counts one request that ended at now.
func (s *CounterSet) Add(o *Observation, now time.Time) {
	c := s.countersFor(Key{o.Version, o.Route, o.Target, o.FailureDomain, o.Generation, loadBand(o.RunningRequests)})
	if c == nil {
		return
	}
	defer c.revision.Add(1)
	if o.Failed {
		c.addFailure(o.Failure, now)
		return
	}
	c.requests.Add(1)
	c.busyMillis.Add(uint64(o.TotalDuration / time.Millisecond))
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

// ReadChanged reads the current counters and returns those that have changed
// since the previous call, sorted by key.
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

// addSnapshots adds a snapshot for each key added since the previous call.
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

// ChangedSince returns the counters whose last change ReadChanged found at from
// or later, sorted by key. The zero time returns all.
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
		Crashes: c.crashes.Load(), BusyMillis: c.busyMillis.Load(), PerToken: packHistogram(loadBuckets(&c.perToken)),
		Unanswered: c.unanswered.Load(), Unfinished: packHistogram(loadBuckets(&c.unfinished)),
	}
	for band := range c.firstToken {
		counts.FirstToken[band] = packHistogram(loadBuckets(&c.firstToken[band]))
	}
	return counts
}

func loadBuckets(buckets *[BucketCount]atomic.Uint32) *[BucketCount]uint32 {
	var counts [BucketCount]uint32
	for i := range buckets {
		counts[i] = buckets[i].Load()
	}
	return &counts
}

// packHistogram returns the range from the first to the last non-empty bucket.
func packHistogram(counts *[BucketCount]uint32) Histogram {
	first, last := -1, -1
	for i := range counts {
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

// addTo adds the histogram's counts, multiplied by sign, to dst.
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
