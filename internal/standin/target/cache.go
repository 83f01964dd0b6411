package target

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of a prefix cache block in bytes of prompt text.
const BlockBytes = 256

// BlockTokens is the size of a prefix cache block in tokens.
const BlockTokens = BlockBytes / bytesPerToken

// CacheEvent reports one change of the prefix cache to clients.
type CacheEvent struct {
	// Seq increases by one with each change; a jump means that events are missing.
	Seq uint64 `json:"seq"`
	// Op is "stored" or "evicted".
	Op string `json:"op"`
	// Block is the hash of the prompt prefix that ends at the block.
	Block string `json:"block"`
}

// delayedEvent is an event that clients can read from visibleAt on.
type delayedEvent struct {
	CacheEvent
	visibleAt time.Time
}

// prefixCache is an LRU cache of the blocks of recent prompts.
type prefixCache struct {
	capacityBlocks       int
	eventDelay           time.Duration
	eventLossProbability float64

	// mu guards the fields below.
	mu     sync.Mutex
	lru    *list.List // block hashes, most recently used first
	blocks map[string]*list.Element
	events []delayedEvent
	seq    uint64
	rng    *rand.Rand
}

func newPrefixCache(options *EngineOptions) *prefixCache {
	return &prefixCache{
		capacityBlocks:       max(options.CacheBlocks, 0),
		eventDelay:           options.CacheEventDelay,
		eventLossProbability: options.CacheEventLossProbability,
		lru:                  list.New(),
		blocks:               make(map[string]*list.Element),
		rng:                  rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// BlockHashes returns one hash for each complete block of a prompt text. Each
// hash covers the prompt up to the end of its block.
func BlockHashes(prompt string) []string {
	hash := xxhash.New()
	hashes := make([]string, 0, len(prompt)/BlockBytes)
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = hash.WriteString(prompt[end-BlockBytes : end])
		hashes = append(hashes, fmt.Sprintf("%016x", hash.Sum64()))
	}
	return hashes
}

// lookUpAndStore stores the blocks of a prompt and returns how many of its
// tokens were already cached.
func (c *prefixCache) lookUpAndStore(prompt string, now time.Time) int {
	hashes := BlockHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	hitBlocks := 0
	for hitBlocks < len(hashes) && c.blocks[hashes[hitBlocks]] != nil {
		hitBlocks++
	}
	// Blocks are touched from last to first, so that prefixes shared between
	// prompts are the most recently used.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i], now)
	}
	c.evict(now)
	return hitBlocks * BlockTokens
}

// touch stores a block or marks it as most recently used. The caller holds c.mu.
func (c *prefixCache) touch(hash string, now time.Time) {
	if element := c.blocks[hash]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.recordEvent("stored", hash, now)
}

// evict removes the least recently used blocks above the capacity. The caller
// holds c.mu.
func (c *prefixCache) evict(now time.Time) {
	for c.lru.Len() > c.capacityBlocks {
		hash := c.lru.Remove(c.lru.Back()).(string)
		delete(c.blocks, hash)
		c.recordEvent("evicted", hash, now)
	}
}

// recordEvent appends an event unless the injected event loss drops it; the
// sequence number is used up in either case. The caller holds c.mu.
func (c *prefixCache) recordEvent(op, hash string, now time.Time) {
	c.seq++
	if c.eventLossProbability > 0 && c.rng.Float64() < c.eventLossProbability {
		return
	}
	event := CacheEvent{Seq: c.seq, Op: op, Block: hash}
	c.events = append(c.events, delayedEvent{CacheEvent: event, visibleAt: now.Add(c.eventDelay)})
	if len(c.events) > 2*retainedCacheEvents {
		c.events = append([]delayedEvent(nil), c.events[retainedCacheEvents:]...)
	}
}

// eventsAfter returns the visible events with a sequence number above seq, and
// the sequence number to pass to the next read.
func (c *prefixCache) eventsAfter(seq uint64, now time.Time) (events []CacheEvent, nextSeq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nextSeq = seq
	for _, event := range c.events {
		if event.visibleAt.After(now) {
			break
		}
		if event.Seq > seq {
			events = append(events, event.CacheEvent)
			nextSeq = event.Seq
		}
	}
	return events, nextSeq
}

// clear empties the cache without recording events, as after a crash.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
	c.events = nil
}
