package answer

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// storeShardCount is the number of independently locked shards of a Store.
const storeShardCount = 64

// StoreOptions holds the settings of a Store.
type StoreOptions struct {
	// Clock measures the age of answers; nil means the real clock.
	Clock clockwork.Clock
	// MaxBytes is the limit above which the oldest ended answers are discarded; 0
	// means DefaultStoreMaxBytes.
	MaxBytes int64
	// Retention is how long an ended answer is held; 0 means DefaultRetention.
	Retention time.Duration
	// AnswerMaxBytes and AnswerStallTimeout are the options of answers made by New.
	AnswerMaxBytes     int
	AnswerStallTimeout time.Duration
}

// Defaults of StoreOptions.
const (
	// DefaultStoreMaxBytes is the size limit of a store.
	DefaultStoreMaxBytes = 16 << 20
	// DefaultRetention is how long an ended answer is held.
	DefaultRetention = 2 * time.Minute
)

// Store holds answers by name (a request ID), limited in size and by the age of
// ended answers. Open answers are neither expired nor evicted.
type Store struct {
	options   StoreOptions
	heldBytes atomic.Int64
	// lastSequence is the sequence number of the last Put.
	lastSequence atomic.Uint64
	shards       [storeShardCount]storeShard
}

// storeShard holds the entries whose names hash to it.
type storeShard struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[string]*list.Element
	// insertionOrder holds *storeEntry values, oldest first.
	insertionOrder list.List
}

type storeEntry struct {
	name   string
	answer *Answer
	// sequence numbers the calls of Put.
	sequence uint64
}

// NewStore returns an empty Store.
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

// New returns an open answer whose bytes count towards the limit of the store. It
// has to be added with Put.
func (s *Store) New(after uint64) *Answer {
	return New(Options{
		Clock: s.options.Clock, MaxBytes: s.options.AnswerMaxBytes, StallTimeout: s.options.AnswerStallTimeout,
		After: after, HeldBytes: &s.heldBytes,
	})
}

// Put adds the answer under a name and replaces an earlier answer of that name.
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

// Get returns the answer of a name, or nil. It discards an expired answer.
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

// Remove removes a name; the answer is not discarded.
func (s *Store) Remove(name string) {
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if element, ok := shard.entries[name]; ok {
		shard.remove(element)
	}
}

// Bytes returns the number of body bytes held by the answers of the store.
func (s *Store) Bytes() int64 { return s.heldBytes.Load() }

// RemoveExpired discards all expired answers. It is to be called every few seconds.
func (s *Store) RemoveExpired() {
	for i := range s.shards {
		s.shards[i].removeMatching(func(a *Answer) bool { return s.expired(a) })
	}
}

// evictOldest discards ended answers in the order of Put while the store is over
// its limit.
func (s *Store) evictOldest() {
	for s.overLimit() {
		shard, element := s.oldest()
		if element == nil {
			return
		}
		shard.discard(element)
	}
}

// oldest returns the entry of the ended answer that was put first, or nil.
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
	endedAt, ok := a.EndedAt()
	return ok && s.options.Clock.Since(endedAt) > s.options.Retention
}

func (s *Store) shardOf(name string) *storeShard {
	return &s.shards[xxhash.Sum64String(name)%storeShardCount]
}

// removeMatching discards the answers for which the condition holds, oldest first.
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

// oldest returns the first entry with an ended answer in the order of Put, or nil.
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

// discard discards an answer and removes its entry, unless the name has been
// replaced.
func (s *storeShard) discard(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := element.Value.(*storeEntry)
	entry.answer.Discard()
	if s.entries[entry.name] == element {
		s.remove(element)
	}
}

// remove removes an entry; s.mu is held.
func (s *storeShard) remove(element *list.Element) {
	s.insertionOrder.Remove(element)
	delete(s.entries, element.Value.(*storeEntry).name)
}
