package routing

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixIndex estimates which prompt prefixes a target has cached. It is
// updated immediately by this instance's dispatches, and by the target's cache
// events, which arrive late and with gaps. It holds a bounded number of block
// hashes and evicts the least recently used, as the target does. The size of
// the target's cache is unknown and other instances fill it too, so the bound
// adapts to the cached tokens that responses report: it falls when less of a
// prompt was cached than expected, and rises slowly otherwise. Where the size is
// known, blocks have sizes in tokens (PrefixBlock) and their sum is bounded, too.
// PrefixIndex is safe for concurrent use.
type PrefixIndex struct {
	// mu guards the fields below.
	mu        sync.Mutex
	maxBlocks int
	bound     int
	// tokens is the sum of the sizes of all blocks.
	tokens int
	blocks map[uint64]*list.Element
	// lru lists *cachedBlock, the most recently used first.
	lru *list.List
}

// PrefixBlock is one of the leading blocks of a prompt.
type PrefixBlock struct {
	// Hash identifies the block and all before it.
	Hash   uint64
	Tokens int
}

// cachedBlock is a block of the index with the time of its last use; zero if the
// index is used without times.
type cachedBlock struct {
	PrefixBlock
	usedAt time.Time
}

// RendezvousScore returns a target's rendezvous hash for a prompt prefix.
func RendezvousScore(target string, prefix uint64) uint64 {
	return mix(xxhash.Sum64String(target)^prefix, 0)
}

// CacheOp is the kind of a cache event.
type CacheOp uint8

// Kinds of cache events.
const (
	// CacheStored reports that the target has cached a block.
	CacheStored CacheOp = iota + 1
	// CacheEvicted reports that the target has evicted a block.
	CacheEvicted
	// CacheGap stands for lost events.
	CacheGap
)

// CacheEvent is an event of a target's prefix cache.
type CacheEvent struct {
	Op CacheOp
	// Block is the hash of the prefix that ends with the block.
	Block uint64
	// Lost is the number of events lost in a gap; 0 means unknown.
	Lost int
}

// gapKeepShare is the share of the blocks that is kept after a gap of unknown
// size.
const gapKeepShare = 0.5

// NewPrefixIndex returns an index of at most bound blocks.
func NewPrefixIndex(bound int) *PrefixIndex {
	return &PrefixIndex{maxBlocks: bound, bound: bound, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// Match returns how many leading blocks of a prompt are probably cached. Each
// hash covers the whole prompt up to its block, so a binary search suffices.
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
		p.store(PrefixBlock{Hash: prefix[i]}, time.Time{})
	}
}

// MatchTokens returns how many leading tokens of a prompt are probably cached.
// Blocks that were last used before since are forgotten.
func (p *PrefixIndex) MatchTokens(prefix []PrefixBlock, since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for back := p.lru.Back(); back != nil && back.Value.(*cachedBlock).usedAt.Before(since); back = p.lru.Back() {
		p.remove(back.Value.(*cachedBlock).Hash)
	}
	cached := 0
	for _, block := range prefix {
		if _, ok := p.blocks[block.Hash]; !ok {
			break
		}
		cached += block.Tokens
	}
	return cached
}

// RecordRead records that the target has read a prompt. The least recently used
// blocks are evicted until all hold at most maxTokens tokens.
func (p *PrefixIndex) RecordRead(prefix []PrefixBlock, at time.Time, maxTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(prefix) - 1; i >= 0; i-- {
		p.store(prefix[i], at)
	}
	for p.tokens > maxTokens && p.lru.Len() > 0 {
		p.remove(p.lru.Back().Value.(*cachedBlock).Hash)
	}
}

// ApplyEvents applies the target's cache events.
func (p *PrefixIndex) ApplyEvents(events []CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		switch event.Op {
		case CacheStored:
			p.store(PrefixBlock{Hash: event.Block}, time.Time{})
		case CacheEvicted:
			p.remove(event.Block)
		case CacheGap:
			p.applyGap(event.Lost)
		}
	}
}

// applyGap evicts the least recently used blocks: one per lost event, since
// each may have been an eviction, or a share if the number is unknown.
func (p *PrefixIndex) applyGap(lostEvents int) {
	keep := int(float64(len(p.blocks)) * gapKeepShare)
	if lostEvents > 0 {
		keep = max(0, len(p.blocks)-lostEvents)
	}
	p.evictTo(keep)
}

const (
	// overestimateFactor times the blocks held is the bound after an overestimate.
	overestimateFactor = 0.9
	// growthFactor is the factor on the bound after a correct estimate.
	growthFactor = 1.01
	// minBound is the lowest bound, in blocks.
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

func (p *PrefixIndex) store(block PrefixBlock, at time.Time) {
	if element, ok := p.blocks[block.Hash]; ok {
		cached := element.Value.(*cachedBlock)
		p.tokens += block.Tokens - cached.Tokens
		cached.Tokens, cached.usedAt = block.Tokens, at
		p.lru.MoveToFront(element)
		return
	}
	p.blocks[block.Hash] = p.lru.PushFront(&cachedBlock{block, at})
	p.tokens += block.Tokens
	p.evictTo(p.bound)
}

func (p *PrefixIndex) remove(block uint64) {
	if element, ok := p.blocks[block]; ok {
		p.tokens -= element.Value.(*cachedBlock).Tokens
		p.lru.Remove(element)
		delete(p.blocks, block)
	}
}

func (p *PrefixIndex) evictTo(size int) {
	for len(p.blocks) > size {
		p.remove(p.lru.Back().Value.(*cachedBlock).Hash)
	}
}
