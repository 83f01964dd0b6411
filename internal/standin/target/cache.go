package target

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a cache block in bytes of prompt text.
const BlockBytes = 256

// BlockTokens is the length of a cache block in tokens.
const BlockTokens = BlockBytes / bytesPerToken

// CacheEvent is one change of the prefix cache as callers see it.
type CacheEvent struct {
	// Seq rises by one with each change; a jump is a gap.
	Seq uint64 `json:"seq"`
	// Op is "stored" or "evicted".
	Op string `json:"op"`
	// Block is the hash of the prompt prefix that ends at the block.
	Block string `json:"block"`
}

// datedEvent is an event with the time from which it is visible.
type datedEvent struct {
	CacheEvent
	visible time.Time
}

// prefixCache holds the blocks of recent prompts and evicts the least
// recently used.
type prefixCache struct {
	capacity int
	delay    time.Duration
	loss     float64

	// mu guards the fields below.
	mu     sync.Mutex
	order  *list.List // of block hashes, most recently used first
	blocks map[string]*list.Element
	events []datedEvent
	seq    uint64
	random *rand.Rand
}

func newPrefixCache(o *EngineOptions) *prefixCache {
	return &prefixCache{
		capacity: max(o.CacheBlocks, 0),
		delay:    o.CacheEventDelay,
		loss:     o.CacheEventLossProbability,
		order:    list.New(),
		blocks:   make(map[string]*list.Element),
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// BlockHashes returns the hashes of the whole blocks of a prompt text.
func BlockHashes(prompt string) []string {
	digest := xxhash.New()
	hashes := make([]string, 0, len(prompt)/BlockBytes)
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		hashes = append(hashes, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return hashes
}

// use looks a prompt up, stores its blocks and returns how many of its tokens
// were cached before.
func (c *prefixCache) use(prompt string, now time.Time) int {
	hashes := BlockHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for hit < len(hashes) && c.blocks[hashes[hit]] != nil {
		hit++
	}
	// The last blocks come first, so that the shared start of prompts is the
	// most recently used.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i], now)
	}
	c.evict(now)
	return hit * BlockTokens
}

// touch stores a block or marks it as used; c.mu is held.
func (c *prefixCache) touch(hash string, now time.Time) {
	if element := c.blocks[hash]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.publish("stored", hash, now)
}

// evict drops the least recently used blocks above the capacity; c.mu is held.
func (c *prefixCache) evict(now time.Time) {
	for c.order.Len() > c.capacity {
		hash := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, hash)
		c.publish("evicted", hash, now)
	}
}

// publish records an event unless it is lost; c.mu is held.
func (c *prefixCache) publish(op, hash string, now time.Time) {
	c.seq++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	event := CacheEvent{Seq: c.seq, Op: op, Block: hash}
	c.events = append(c.events, datedEvent{CacheEvent: event, visible: now.Add(c.delay)})
	if len(c.events) > 2*defaultRecentCacheNews {
		c.events = append([]datedEvent(nil), c.events[defaultRecentCacheNews:]...)
	}
}

// since returns the visible events with a number above seq and the number to
// ask from next.
func (c *prefixCache) since(seq uint64, now time.Time) (events []CacheEvent, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = seq
	for _, event := range c.events {
		if event.visible.After(now) {
			break
		}
		if event.Seq > seq {
			events = append(events, event.CacheEvent)
			next = event.Seq
		}
	}
	return events, next
}

// clear empties the cache without events, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
	c.events = nil
}
