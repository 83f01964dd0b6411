package estimate

import (
	"container/list"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Length is an estimate of a request's output, in tokens.
type Length struct {
	// Mean is used for fair shares and response times.
	Mean int
	// High is used to reserve KV cache tokens; it covers most requests.
	High int
}

// DefaultLength is the estimate for a route without observations.
const DefaultLength = 256

const (
	shardCount = 16
	// minWeight is the lowest weight of one observation in the moving averages.
	minWeight = 0.1
	// highDeviations is the distance of High from Mean in mean absolute
	// deviations.
	highDeviations = 1.5
	// overrunFactor is the expected total output of a running request that has
	// exceeded its estimate, relative to the output so far.
	overrunFactor = 1.25
)

// LengthEstimator learns output lengths by route and account. It holds a
// bounded number of averages and evicts the least recently used. Without an
// average for the account, that of the route is used, and without one for the
// route, DefaultLength.
//
// The averages are sharded, each shard with its own lock, so that no lock is
// shared by all requests.
type LengthEstimator struct {
	shards [shardCount]lengthShard
}

type lengthKey struct{ route, account string }

type lengthShard struct {
	// mu guards the fields below.
	mu         sync.Mutex
	maxEntries int
	entries    map[lengthKey]*list.Element
	lru        *list.List
}

type lengthEntry struct {
	key       lengthKey
	count     int
	mean      float64
	deviation float64
}

// NewLengthEstimator returns an empty estimator that holds at most maxEntries
// averages, but at least one per shard.
func NewLengthEstimator(maxEntries int) *LengthEstimator {
	e := &LengthEstimator{}
	for i := range e.shards {
		e.shards[i].maxEntries = max(1, maxEntries/shardCount)
		e.shards[i].entries = make(map[lengthKey]*list.Element)
		e.shards[i].lru = list.New()
	}
	return e
}

// Estimate returns the expected output of a request. limit is the caller's
// limit on the output; 0 means none.
func (e *LengthEstimator) Estimate(route, account string, limit int) Length {
	length, ok := e.lookup(lengthKey{route, account})
	if !ok {
		length, ok = e.lookup(lengthKey{route: route})
	}
	if !ok {
		length = Length{DefaultLength, DefaultLength}
	}
	if limit > 0 {
		length.Mean = min(length.Mean, limit)
		length.High = min(length.High, limit)
	}
	return length
}

// Observe records the output of a complete response.
func (e *LengthEstimator) Observe(route, account string, output int) {
	e.observe(lengthKey{route, account}, float64(output))
	if account != "" {
		e.observe(lengthKey{route: route}, float64(output))
	}
}

// Size returns the number of averages held.
func (e *LengthEstimator) Size() int {
	total := 0
	for i := range e.shards {
		shard := &e.shards[i]
		shard.mu.Lock()
		total += len(shard.entries)
		shard.mu.Unlock()
	}
	return total
}

// CorrectLength returns the corrected estimate for a running request that has
// produced output tokens so far.
func CorrectLength(estimate, output int) int {
	if output < estimate {
		return estimate
	}
	return int(math.Ceil(float64(output+1) * overrunFactor))
}

func (e *LengthEstimator) shard(key lengthKey) *lengthShard {
	hash := xxhash.Sum64String(key.route)*31 + xxhash.Sum64String(key.account)
	return &e.shards[hash%shardCount]
}

func (e *LengthEstimator) lookup(key lengthKey) (Length, bool) {
	shard := e.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	element, ok := shard.entries[key]
	if !ok {
		return Length{}, false
	}
	shard.lru.MoveToFront(element)
	entry := element.Value.(*lengthEntry)
	mean := max(1, int(math.Round(entry.mean)))
	return Length{Mean: mean, High: mean + int(math.Ceil(highDeviations*entry.deviation))}, true
}

func (e *LengthEstimator) observe(key lengthKey, output float64) {
	shard := e.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	element, ok := shard.entries[key]
	if !ok {
		element = shard.lru.PushFront(&lengthEntry{key: key})
		shard.entries[key] = element
		shard.evict()
	}
	shard.lru.MoveToFront(element)
	element.Value.(*lengthEntry).add(output)
}

func (s *lengthShard) evict() {
	for len(s.entries) > s.maxEntries {
		oldest := s.lru.Back()
		s.lru.Remove(oldest)
		delete(s.entries, oldest.Value.(*lengthEntry).key)
	}
}

// add weights the first observations equally and later ones exponentially.
func (e *lengthEntry) add(output float64) {
	e.count++
	weight := max(minWeight, 1/float64(e.count))
	if e.count == 1 {
		e.mean = output
		return
	}
	e.deviation += weight * (math.Abs(output-e.mean) - e.deviation)
	e.mean += weight * (output - e.mean)
}
