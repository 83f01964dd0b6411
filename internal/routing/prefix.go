package routing

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PrefixIndex estimates which prompt prefixes a target has cached. It learns
// from own dispatches, at once, and from the target's cache events, which are
// late and have gaps; it holds a bounded number of block hashes and forgets
// the least recently used, as the target does. Since the size of the target's
// cache is unknown and others fill it too, the bound follows what answers say:
// it falls when less of a prompt was cached than expected, and rises slowly
// when as much was. It is safe for concurrent use.
type PrefixIndex struct {
	// mu guards the fields below.
	mu        sync.Mutex
	maxBlocks int
	bound     int
	blocks    map[uint64]*list.Element
	lru       *list.List
}

// RendezvousScore is a target's rendezvous score for a prompt prefix.
func RendezvousScore(target string, prefix uint64) uint64 {
	return mix(xxhash.Sum64String(target)^prefix, 0)
}

// CacheOp tells the cache events apart.
type CacheOp uint8

// The cache events.
const (
	// CacheStored says that the target has cached a block.
	CacheStored CacheOp = iota + 1
	// CacheEvicted says that the target has dropped a block.
	CacheEvicted
	// CacheGap stands for lost events.
	CacheGap
)

// CacheEvent is one event of a target's prefix cache.
type CacheEvent struct {
	Op CacheOp
	// Block is the hash of the prefix that ends with the block.
	Block uint64
	// Lost is how many events a gap stands for; 0 means that it is unknown.
	Lost int
}

// gapKeepShare is the share of the blocks still believed in after a gap of unknown
// size.
const gapKeepShare = 0.5

// NewPrefixIndex returns an index of at most bound blocks.
func NewPrefixIndex(bound int) *PrefixIndex {
	return &PrefixIndex{maxBlocks: bound, bound: bound, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// Match returns how many leading blocks of a prompt are probably cached. Since
// each hash covers all text before it, it is found by bisection.
func (p *PrefixIndex) Match(prefix []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := p.blocks[prefix[middle-1]]; ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// RecordDispatch records that a prompt was sent to the target.
func (p *PrefixIndex) RecordDispatch(prefix []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(prefix) - 1; i >= 0; i-- {
		p.store(prefix[i])
	}
}

// ApplyEvents records the target's cache events.
func (p *PrefixIndex) ApplyEvents(events []CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		switch event.Op {
		case CacheStored:
			p.store(event.Block)
		case CacheEvicted:
			p.remove(event.Block)
		case CacheGap:
			p.applyGap(event.Lost)
		}
	}
}

// applyGap forgets the least recently used blocks: as many as events were lost,
// since each may have been an eviction, or a share when the number is unknown.
func (p *PrefixIndex) applyGap(lostEvents int) {
	keep := int(float64(len(p.blocks)) * gapKeepShare)
	if lostEvents > 0 {
		keep = max(0, len(p.blocks)-lostEvents)
	}
	p.evictTo(keep)
}

const (
	// overestimateFactor is the factor on the bound after an overestimate.
	overestimateFactor = 0.9
	// growthFactor is the factor on the bound after a right estimate.
	growthFactor = 1.01
	// minBound is the lowest bound in blocks.
	minBound = 64
)

// AdjustBound compares the blocks expected to be cached with those that were.
func (p *PrefixIndex) AdjustBound(expected, cached int) {
	if expected == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached < expected {
		p.bound = max(minBound, int(overestimateFactor*float64(len(p.blocks))))
		p.evictTo(p.bound)
		return
	}
	p.bound = min(p.maxBlocks, int(growthFactor*float64(p.bound))+1)
}

func (p *PrefixIndex) store(block uint64) {
	if element, ok := p.blocks[block]; ok {
		p.lru.MoveToFront(element)
		return
	}
	p.blocks[block] = p.lru.PushFront(block)
	p.evictTo(p.bound)
}

func (p *PrefixIndex) remove(block uint64) {
	if element, ok := p.blocks[block]; ok {
		p.lru.Remove(element)
		delete(p.blocks, block)
	}
}

func (p *PrefixIndex) evictTo(size int) {
	for len(p.blocks) > size {
		p.remove(p.lru.Back().Value.(uint64))
	}
}
