// Package answer records the responses of targets in memory.
//
// An Answer is written by one writer and followed by any number of readers, each
// at its own position. Chunks have consecutive IDs. A chunk that is already
// recorded is dropped, and one that skips an ID is rejected, so that parts of two
// different streams cannot be joined. An answer is complete only once its writer
// has ended it as complete.
//
// An answer holds at most Options.MaxBytes, but always its last chunk. Up to that
// limit, every reader can start at the first chunk. Above it, the oldest chunks
// are dropped and the answer is no longer replayable. The writer first waits until
// the primary reader, the one that has followed longest, has read the chunk to be
// dropped. Other readers that fall behind get ErrNotReplayable and have to resume
// at the target. If no reader makes progress for Options.StallTimeout, the primary
// reader is removed, so that a stalled caller cannot block the writer
// indefinitely.
//
// A Store holds answers by name, within limits on their size and age.
package answer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// Errors of writers and readers.
var (
	// ErrOutOfOrder means that the ID of a chunk is not the next one.
	ErrOutOfOrder = errors.New("answer: chunk id out of order")
	// ErrEnded means that a chunk was appended after the end.
	ErrEnded = errors.New("answer: already ended")
	// ErrTruncated means that the response broke off before its end.
	ErrTruncated = errors.New("answer: cut before its end")
	// ErrNotReplayable means that the next chunk is no longer held.
	ErrNotReplayable = errors.New("answer: chunk no longer kept")
)

// Defaults of Options.
const (
	// DefaultMaxBytes is the number of body bytes held of one answer.
	DefaultMaxBytes = 1 << 20
	// LiveMaxBytes is a smaller limit, for answers that no retry can join.
	LiveMaxBytes = 64 << 10
	// DefaultStallTimeout is how long a writer waits for its primary reader.
	DefaultStallTimeout = 30 * time.Second
)

type Field struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Head is the status and the header fields of a response.
type Head struct {
	// Status is the HTTP status code.
	Status int `msgpack:"s"`
	// Fields are the header fields in order.
	Fields []Field `msgpack:"f,omitempty"`
}

// Chunk is one event of a stream or one piece of a body.
type Chunk struct {
	// ID is the event ID; IDs are consecutive and start at 1.
	ID uint64
	// Data must not be modified after the chunk was appended.
	Data []byte
}

// State is the state of an answer.
type State uint8

// The states of an answer.
const (
	// Open means that the writer may append chunks.
	Open State = iota
	// Complete means that the response has ended as a whole.
	Complete
	// Truncated means that the response broke off.
	Truncated
	// Refused means that the answer ends with a refusal.
	Refused
)

// Options holds the settings of an Answer.
type Options struct {
	// Clock measures StallTimeout and the time of the end; nil means the real clock.
	Clock clockwork.Clock
	// MaxBytes is the number of body bytes held; 0 means DefaultMaxBytes.
	MaxBytes int
	// StallTimeout is how long Append waits for progress of a reader before it
	// removes the primary reader; 0 means DefaultStallTimeout.
	StallTimeout time.Duration
	// After is the ID before the first chunk, for resumed streams.
	After uint64
	// HeldBytes, if not nil, is kept at the sum of the body bytes held by its answers.
	HeldBytes *atomic.Int64
}

// Answer is the record of one response.
type Answer struct {
	options Options

	// mu guards the fields below.
	mu            sync.Mutex
	head          Head
	hasHead       bool
	chunks        []Chunk
	lastID        uint64
	heldBytes     int
	chunksDropped bool
	state         State
	refusal       *fault.Refusal
	endedAt       time.Time
	readers       []*Reader
	// changed is closed and replaced on every change that a reader may wait for.
	changed chan struct{}
	// readerAdvanced is closed and replaced when a reader has read a chunk or was
	// closed.
	readerAdvanced chan struct{}
}

// New returns an open answer.
func New(options Options) *Answer {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.StallTimeout == 0 {
		options.StallTimeout = DefaultStallTimeout
	}
	return &Answer{
		options: options, lastID: options.After,
		changed: make(chan struct{}), readerAdvanced: make(chan struct{}),
	}
}

// SetHead sets the status and the header fields. Only the first call has an effect.
func (a *Answer) SetHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasHead || a.state != Open {
		return
	}
	a.head, a.hasHead = head, true
	a.wakeReaders()
}

// Append adds a chunk. A chunk that is already recorded is dropped without an
// error. Append blocks only above the limit, until the primary reader has read the
// oldest chunk.
func (a *Answer) Append(ctx context.Context, chunk Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != Open {
		return ErrEnded
	}
	if chunk.ID <= a.lastID {
		return nil
	}
	if chunk.ID != a.lastID+1 {
		return ErrOutOfOrder
	}
	a.chunks = append(a.chunks, chunk)
	a.lastID = chunk.ID
	a.addHeldBytes(len(chunk.Data))
	a.wakeReaders()
	return a.evictChunks(ctx)
}

// evictChunks drops the oldest chunks until the answer is within its limit; the
// last chunk is always held. a.mu is held, and released during waits.
func (a *Answer) evictChunks(ctx context.Context) error {
	for a.heldBytes > a.options.MaxBytes && len(a.chunks) > 1 {
		if a.primaryAwaits(a.chunks[0].ID) {
			if err := a.awaitPrimary(ctx); err != nil {
				return err
			}
			continue
		}
		a.addHeldBytes(-len(a.chunks[0].Data))
		a.chunks[0].Data = nil
		a.chunks = a.chunks[1:]
		a.chunksDropped = true
	}
	return nil
}

func (a *Answer) primaryAwaits(id uint64) bool {
	return len(a.readers) > 0 && a.readers[0].nextID <= id
}

// awaitPrimary waits until a reader advances and removes the primary reader at the
// stall timeout; a.mu is held on entry and return.
func (a *Answer) awaitPrimary(ctx context.Context) error {
	primary, advanced := a.readers[0], a.readerAdvanced
	timer := a.options.Clock.NewTimer(a.options.StallTimeout)
	defer timer.Stop()
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-advanced:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		primary.Close()
		return nil
	}
}

// addHeldBytes adds delta to the number of bytes held; a.mu is held.
func (a *Answer) addHeldBytes(delta int) {
	a.heldBytes += delta
	if a.options.HeldBytes != nil {
		a.options.HeldBytes.Add(int64(delta))
	}
}

// End ends the answer in a state other than Open. Only the first call of End or
// Refuse has an effect.
func (a *Answer) End(state State) { a.end(state, nil) }

// Refuse ends the answer with a refusal. Only the first call of End or Refuse has
// an effect.
func (a *Answer) Refuse(refusal *fault.Refusal) { a.end(Refused, refusal) }

func (a *Answer) end(state State, refusal *fault.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != Open {
		return
	}
	a.state, a.refusal = state, refusal
	a.endedAt = a.options.Clock.Now()
	a.wakeReaders()
}

// State returns the state and the ID of the last chunk.
func (a *Answer) State() (State, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state, a.lastID
}

// Refusal returns the refusal of a refused answer, or nil.
func (a *Answer) Refusal() *fault.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusal
}

// EndedAt returns when the answer ended; ok is false for an open answer.
func (a *Answer) EndedAt() (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt, a.state != Open
}

// Replayable reports whether a new reader can start at the first chunk.
func (a *Answer) Replayable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.chunksDropped && a.options.After == 0
}

// Discard frees the chunks of an ended answer. Readers get ErrNotReplayable for
// chunks that they have not read. An open answer is not changed.
func (a *Answer) Discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == Open {
		return
	}
	a.addHeldBytes(-a.heldBytes)
	a.chunks = nil
	a.chunksDropped = true
	a.wakeReaders()
}

// Snapshot is a complete answer in a form that can be stored.
type Snapshot struct {
	Head   Head     `msgpack:"h"`
	Chunks [][]byte `msgpack:"c"`
}

// Size returns the number of body bytes.
func (s *Snapshot) Size() int {
	size := 0
	for _, chunk := range s.Chunks {
		size += len(chunk)
	}
	return size
}

// Snapshot returns a complete answer from its first chunk on. It returns ok false
// if the answer is not complete or not replayable.
func (a *Answer) Snapshot() (stored *Snapshot, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != Complete || a.chunksDropped || a.options.After != 0 {
		return nil, false
	}
	stored = &Snapshot{Head: a.head}
	for _, chunk := range a.chunks {
		stored.Chunks = append(stored.Chunks, chunk.Data)
	}
	return stored, true
}

// Restore returns the complete answer of a snapshot.
func Restore(stored *Snapshot, options Options) *Answer {
	options.After = 0
	a := New(options)
	a.head, a.hasHead = stored.Head, true
	for i, data := range stored.Chunks {
		a.chunks = append(a.chunks, Chunk{ID: uint64(i) + 1, Data: data})
		a.addHeldBytes(len(data))
	}
	a.lastID = uint64(len(stored.Chunks))
	a.state, a.endedAt = Complete, a.options.Clock.Now()
	return a
}

// wakeReaders wakes all waiting readers; a.mu is held.
func (a *Answer) wakeReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// wakeWriter wakes a waiting writer; a.mu is held.
func (a *Answer) wakeWriter() {
	close(a.readerAdvanced)
	a.readerAdvanced = make(chan struct{})
}

// removeReader removes a reader if it is present; a.mu is held.
func (a *Answer) removeReader(r *Reader) {
	i := slices.Index(a.readers, r)
	if i < 0 {
		return
	}
	a.readers = slices.Delete(a.readers, i, i+1)
	a.wakeWriter()
}
