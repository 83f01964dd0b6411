package answer

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// storePartCount is the number of independently locked parts of a Store.
const storePartCount = 64

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
	options StoreOptions
	bytes   atomic.Int64
	// sequence counts calls of Put.
	sequence atomic.Uint64
	parts    [storePartCount]storePart
}

// storePart holds the names that hash to it.
type storePart struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[string]*list.Element
	// order holds *storeEntry, oldest first.
	order list.List
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
	for i := range s.parts {
		s.parts[i].entries = make(map[string]*list.Element)
	}
	return s
}

// New returns an open answer whose bytes count against the store. Put it under
// its names.
func (s *Store) New(after uint64) *Answer {
	return New(Options{
		Clock: s.options.Clock, MaxBytes: s.options.AnswerMaxBytes, StallTimeout: s.options.AnswerStallTimeout,
		After: after, HeldBytes: &s.bytes,
	})
}

// Put keeps the answer under a name, in place of an older one.
func (s *Store) Put(name string, answer *Answer) {
	part := s.part(name)
	part.mu.Lock()
	if old, ok := part.entries[name]; ok {
		part.order.Remove(old)
	}
	part.entries[name] = part.order.PushBack(&storeEntry{name, answer, s.sequence.Add(1)})
	part.mu.Unlock()
	s.trim()
}

// Get returns the answer under a name, or nil.
func (s *Store) Get(name string) *Answer {
	part := s.part(name)
	part.mu.Lock()
	defer part.mu.Unlock()
	element, ok := part.entries[name]
	if !ok {
		return nil
	}
	entry := element.Value.(*storeEntry)
	if s.tooOld(entry.answer) {
		part.remove(element)
		entry.answer.Discard()
		return nil
	}
	return entry.answer
}

// Remove forgets a name.
func (s *Store) Remove(name string) {
	part := s.part(name)
	part.mu.Lock()
	defer part.mu.Unlock()
	if element, ok := part.entries[name]; ok {
		part.remove(element)
	}
}

// Bytes returns the body bytes held by the store's answers.
func (s *Store) Bytes() int64 { return s.bytes.Load() }

// RemoveExpired drops all answers past their time. Call it every few seconds.
func (s *Store) RemoveExpired() {
	for i := range s.parts {
		s.parts[i].drop(func(a *Answer) bool { return s.tooOld(a) })
	}
}

// trim frees the ended answers that were put first while the store is over its
// bound.
func (s *Store) trim() {
	for s.over() {
		part, element := s.oldest()
		if element == nil {
			return
		}
		part.forget(element)
	}
}

// oldest returns the ended answer that was put first, or nil.
func (s *Store) oldest() (part *storePart, oldest *list.Element) {
	var first uint64
	for i := range s.parts {
		element, sequence := s.parts[i].oldest()
		if element != nil && (oldest == nil || sequence < first) {
			part, oldest, first = &s.parts[i], element, sequence
		}
	}
	return part, oldest
}

func (s *Store) over() bool { return s.bytes.Load() > s.options.MaxBytes }

func (s *Store) tooOld(a *Answer) bool {
	ended, ok := a.EndedAt()
	return ok && s.options.Clock.Since(ended) > s.options.Retention
}

func (s *Store) part(name string) *storePart {
	return &s.parts[xxhash.Sum64String(name)%storePartCount]
}

// drop forgets the answers that meet the condition, oldest first.
func (p *storePart) drop(condition func(*Answer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for element := p.order.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*storeEntry)
		if condition(entry.answer) {
			p.remove(element)
			entry.answer.Discard()
		}
		element = next
	}
}

// oldest returns the first ended answer in the order of Put, or nil.
func (p *storePart) oldest() (*list.Element, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for element := p.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*storeEntry)
		if _, ended := entry.answer.EndedAt(); ended {
			return element, entry.sequence
		}
	}
	return nil, 0
}

// forget drops an answer unless its name holds another one by now.
func (p *storePart) forget(element *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := element.Value.(*storeEntry)
	entry.answer.Discard()
	if p.entries[entry.name] == element {
		p.remove(element)
	}
}

// remove takes an entry out; p.mu is held.
func (p *storePart) remove(element *list.Element) {
	p.order.Remove(element)
	delete(p.entries, element.Value.(*storeEntry).name)
}
