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
	FirstToken [sizeBands]Histogram `msgpack:"p,omitempty"`
	// PerToken is the time per output token.
	PerToken Histogram `msgpack:"o,omitempty"`
}

// Record is the counters of one key.
type Record struct {
	Key    Key    `msgpack:"k"`
	Counts Counts `msgpack:"c"`
}

// cell holds one key's counters. Changes rises after each of them.
type cell struct {
	key      Key
	changes  atomic.Uint64
	requests atomic.Uint32
	failures atomic.Uint32
	broken   atomic.Uint32
	// brokenAt is the time of the last counted crash in Unix nanoseconds.
	brokenAt atomic.Int64
	busy     atomic.Uint64
	first    [sizeBands][BucketCount]atomic.Uint32
	token    [BucketCount]atomic.Uint32
}

// crashSpacing is the least time between two crashes of one target.
const crashSpacing = 10 * time.Second

// maxCells bounds the memory of a ledger; further keys are not counted.
const maxCells = 2048

// CounterSet counts one entry's requests to one pool. Add is called on the request
// path by any number of goroutines and takes no lock for known keys. Update and
// Since are called by one goroutine at a time.
type CounterSet struct {
	cells sync.Map // Key to *cell

	// mu guards added, the cells that Update has not met yet.
	mu    sync.Mutex
	added []*cell
	count int

	// views are the caller's pictures of all cells, sorted by key.
	views []view
}

// view is a cell's counters as of the last Update.
type view struct {
	cell    *cell
	changes uint64
	changed time.Time
	record  Record
}

// Add counts one observation made at now.
func (l *CounterSet) Add(o *Observation, now time.Time) {
	c := l.cell(Key{o.Version, o.Route, o.Target, o.FailureDomain, o.Generation, loadBand(o.RunningRequests)})
	if c == nil {
		return
	}
	defer c.changes.Add(1)
	if o.Failed {
		c.fail(o.FailureKind, now)
		return
	}
	c.requests.Add(1)
	c.busy.Add(uint64(o.Duration / time.Millisecond))
	if d, ok := o.firstPerToken(); ok {
		c.first[sizeBand(o.uncached())][bucket(d)].Add(1)
	}
	if d, ok := o.perToken(); ok {
		c.token[bucket(d)].Add(1)
	}
}

func (c *cell) fail(kind FailureKind, now time.Time) {
	switch kind {
	case FailureUnreachable:
	case FailureConnectionLost:
		last := c.brokenAt.Load()
		if now.UnixNano()-last >= int64(crashSpacing) && c.brokenAt.CompareAndSwap(last, now.UnixNano()) {
			c.broken.Add(1)
		}
	default:
		c.requests.Add(1)
		c.failures.Add(1)
	}
}

func (l *CounterSet) cell(key Key) *cell {
	if found, ok := l.cells.Load(key); ok {
		return found.(*cell)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.cells.Load(key); ok {
		return found.(*cell)
	}
	if l.count >= maxCells {
		return nil
	}
	l.count++
	c := &cell{key: key}
	l.added = append(l.added, c)
	l.cells.Store(key, c)
	return c
}

// ReadChanged reads the counters anew at now and returns those that have changed
// since the last call, sorted by key.
func (l *CounterSet) ReadChanged(now time.Time) []Record {
	l.meet()
	var changed []Record
	for i := range l.views {
		v := &l.views[i]
		changes := v.cell.changes.Load()
		if changes == v.changes {
			continue
		}
		v.changes, v.changed = changes, now
		v.record.Counts = v.cell.counts()
		changed = append(changed, v.record)
	}
	return changed
}

// meet takes the cells added since the last call into the views.
func (l *CounterSet) meet() {
	l.mu.Lock()
	added := l.added
	l.added = nil
	l.mu.Unlock()
	if len(added) == 0 {
		return
	}
	for _, c := range added {
		l.views = append(l.views, view{cell: c, record: Record{Key: c.key}})
	}
	slices.SortFunc(l.views, func(a, b view) int { return compareKeys(&a.record.Key, &b.record.Key) })
}

// ChangedSince returns the counters that changed at from or later, as of the last
// Update, sorted by key. The zero time gives all.
func (l *CounterSet) ChangedSince(from time.Time) []Record {
	var records []Record
	for i := range l.views {
		if !l.views[i].changed.Before(from) {
			records = append(records, l.views[i].record)
		}
	}
	return records
}

func (c *cell) counts() Counts {
	counts := Counts{
		Requests: c.requests.Load(), Failures: c.failures.Load(),
		Crashes: c.broken.Load(), BusyMillis: c.busy.Load(), PerToken: pack(&c.token),
	}
	for band := range c.first {
		counts.FirstToken[band] = pack(&c.first[band])
	}
	return counts
}

// pack keeps the range between the first and the last bucket in use.
func pack(buckets *[BucketCount]atomic.Uint32) Histogram {
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

// unpack adds the histogram's counts, times sign, to dense.
func (h Histogram) unpack(dense *[BucketCount]int, sign int) {
	if len(h) == 0 {
		return
	}
	for i, count := range h[1:] {
		if at := int(h[0]) + i; at < BucketCount {
			dense[at] += sign * int(count)
		}
	}
}
