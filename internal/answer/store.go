package answer

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// storeShardCount is the number of independently locked parts of a Store.
const storeShardCount = 64

// StoreOptions set the bounds of a Store.
type StoreOptions struct {
	// Clock ages answers; nil means the real clock.
	Clock clockwork.Clock
	// MaxBytes bounds the body bytes kept of ended answers; 0 means
	// DefaultStoreBytes.
	MaxBytes int64
	// Retention is how long an ended answer is kept; 0 means DefaultKeep.
	Retention time.Duration
	// AnswerMaxBytes and Stall are the options of its answers.
	AnswerMaxBytes     int
	AnswerStallTimeout time.Duration
}

// Defaults of StoreOptions.
const (
	// DefaultStoreMaxBytes bounds the bytes of a store.
	DefaultStoreMaxBytes = 16 << 20
	// DefaultRetention is how long an ended answer is kept.
	DefaultRetention = 2 * time.Minute
)

// Store keeps answers under one or more names (handles, idempotency keys) for
// a while. It is bounded in bytes and in time. Open answers are always kept.
type Store struct {
	options   StoreOptions
	heldBytes atomic.Int64
	// lastSequence counts calls of Put.
	lastSequence atomic.Uint64
	shards       [storeShardCount]storeShard
}

// storeShard holds the names that hash to it.
type storeShard struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[string]*list.Element
	// insertionOrder holds *storeEntry, oldest first.
	insertionOrder list.List
}

type storeEntry struct {
	name   string
	answer *Answer
	// sequence is the order of Put.
	sequence uint64
}

// NewStore returns an empty store.
func NewStore(options StoreOptions) *Store {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultStoreMaxBytes
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	s := &Store{options: options}
	for i := range s.shards {
		s.shards[i].entries = make(map[string]*list.Element)
	}
	return s
}

// New returns an open answer whose bytes count against the store. Put it under
// its names.
func (s *Store) New(after uint64) *Answer {
	return New(Options{
		Clock: s.options.Clock, MaxBytes: s.options.AnswerMaxBytes, StallTimeout: s.options.AnswerStallTimeout,
		After: after, HeldBytes: &s.heldBytes,
	})
}

// Put keeps the answer under a name, in place of an older one.
func (s *Store) Put(name string, answer *Answer) {
	shard := s.shardOf(name)
	shard.mu.Lock()
	if replaced, ok := shard.entries[name]; ok {
		shard.insertionOrder.Remove(replaced)
	}
	shard.entries[name] = shard.insertionOrder.PushBack(&storeEntry{name, answer, s.lastSequence.Add(1)})
	shard.mu.Unlock()
	s.evictOldest()
}

// Get returns the answer under a name, or nil.
func (s *Store) Get(name string) *Answer {
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	element, ok := shard.entries[name]
	if !ok {
		return nil
	}
	entry := element.Value.(*storeEntry)
	if s.expired(entry.answer) {
		shard.remove(element)
		entry.answer.Discard()
		return nil
	}
	return entry.answer
}

// Remove forgets a name.
func (s *Store) Remove(name string) {
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if element, ok := shard.entries[name]; ok {
		shard.remove(element)
	}
}

// Bytes returns the body bytes held by the store's answers.
func (s *Store) Bytes() int64 { return s.heldBytes.Load() }

// RemoveExpired drops all answers past their time. Call it every few seconds.
func (s *Store) RemoveExpired() {
	for i := range s.shards {
		s.shards[i].removeMatching(func(a *Answer) bool { return s.expired(a) })
	}
}

// evictOldest frees the ended answers that were put first while the store is over its
// bound.
func (s *Store) evictOldest() {
	for s.overLimit() {
		shard, element := s.oldest()
		if element == nil {
			return
		}
		shard.discard(element)
	}
}

// oldest returns the ended answer that was put first, or nil.
func (s *Store) oldest() (shard *storeShard, oldest *list.Element) {
	var lowestSequence uint64
	for i := range s.shards {
		element, sequence := s.shards[i].oldest()
		if element != nil && (oldest == nil || sequence < lowestSequence) {
			shard, oldest, lowestSequence = &s.shards[i], element, sequence
		}
	}
	return shard, oldest
}

func (s *Store) overLimit() bool { return s.heldBytes.Load() > s.options.MaxBytes }

func (s *Store) expired(a *Answer) bool {
	ended, ok := a.EndedAt()
	return ok && s.options.Clock.Since(ended) > s.options.Retention
}

func (s *Store) shardOf(name string) *storeShard {
	return &s.shards[xxhash.Sum64String(name)%storeShardCount]
}

// removeMatching forgets the answers that meet the condition, oldest first.
func (s *storeShard) removeMatching(condition func(*Answer) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for element := s.insertionOrder.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*storeEntry)
		if condition(entry.answer) {
			s.remove(element)
			entry.answer.Discard()
		}
		element = next
	}
}

// oldest returns the first ended answer in the order of Put, or nil.
func (s *storeShard) oldest() (*list.Element, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for element := s.insertionOrder.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*storeEntry)
		if _, ended := entry.answer.EndedAt(); ended {
			return element, entry.sequence
		}
	}
	return nil, 0
}

// discard drops an answer unless its name holds another one by now.
func (s *storeShard) discard(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := element.Value.(*storeEntry)
	entry.answer.Discard()
	if s.entries[entry.name] == element {
		s.remove(element)
	}
}

// remove takes an entry out; p.mu is held.
func (s *storeShard) remove(element *list.Element) {
	s.insertionOrder.Remove(element)
	delete(s.entries, element.Value.(*storeEntry).name)
}
