// Package answer records the answers of targets in memory.
//
// An Answer is written by one dispatcher and followed by any number of readers,
// each from a position of its own. Chunks carry event ids that rise by one:
// a repeated id is dropped and a jump is refused, so that parts of two streams
// can never be joined by mistake. An answer counts as complete only once its
// writer has said so.
//
// Memory is bounded: an answer keeps at most Options.Limit bytes. Below the
// limit every reader can start from the beginning. Beyond it the answer is no
// longer replayable, and the writer waits for the primary reader (the one that
// has followed longest) before it drops what that reader has not read. Other
// readers that fall behind get ErrNotReplayable and must resume at the target.
// A primary reader that makes no progress for Options.Stall loses its place, so
// that a stuck caller cannot hold the dispatcher for ever.
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
	// ErrOutOfOrder refuses a chunk whose id is not the next one.
	ErrOutOfOrder = errors.New("answer: chunk id out of order")
	// ErrEnded refuses a chunk after the end.
	ErrEnded = errors.New("answer: already ended")
	// ErrTruncated tells a reader that the stream ended without its explicit end.
	ErrTruncated = errors.New("answer: cut before its end")
	// ErrNotReplayable tells a reader that the next chunk is no longer kept.
	ErrNotReplayable = errors.New("answer: chunk no longer kept")
)

// Defaults of Options.
const (
	// DefaultMaxBytes bounds the bytes kept of one answer.
	DefaultMaxBytes = 1 << 20
	// LiveMaxBytes is a small bound for answers that nobody can ask for again.
	LiveMaxBytes = 64 << 10
	// DefaultStallTimeout is how long a writer waits for its primary reader.
	DefaultStallTimeout = 30 * time.Second
)

// Field is one header field.
type Field struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Head is what comes before the body.
type Head struct {
	// Status is the HTTP status code.
	Status int `msgpack:"s"`
	// Fields are the header fields in order.
	Fields []Field `msgpack:"f,omitempty"`
}

// Chunk is one event of a stream or one piece of a body.
type Chunk struct {
	// ID is the event id; ids start at 1 and rise by one.
	ID uint64
	// Data must not be changed after it was appended.
	Data []byte
}

// State tells how far an answer has come.
type State uint8

// The states of an answer.
const (
	// Open means that the writer may append.
	Open State = iota
	// Complete means that the explicit end was seen.
	Complete
	// Truncated means that the stream broke off.
	Truncated
	// Refused means that there is a refusal in place of the rest.
	Refused
)

// Options set the bounds of an Answer.
type Options struct {
	// Clock measures stalls; nil means the real clock.
	Clock clockwork.Clock
	// MaxBytes is the number of body bytes kept; 0 means DefaultLimit.
	MaxBytes int
	// StallTimeout is how long Append waits for a reader; 0 means DefaultStall.
	StallTimeout time.Duration
	// After is the id before the first chunk, for resumed streams.
	After uint64
	// HeldBytes, when set, is kept at the sum of bytes held by its answers.
	HeldBytes *atomic.Int64
}

// Answer is the record of one answer.
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
	// changed is closed and replaced when a reader may have something new.
	changed chan struct{}
	// readerAdvanced is closed and replaced when a reader has readerAdvanced on or left.
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

// SetHead sets status and header fields; the first call wins.
func (a *Answer) SetHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasHead || a.state != Open {
		return
	}
	a.head, a.hasHead = head, true
	a.wakeReaders()
}

// Append adds a chunk. A chunk that is already there is dropped without an
// error. Append blocks only beyond the limit, while the primary reader has not
// read the oldest chunk.
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

// evictChunks drops old chunks until the limit holds; a.mu is held, and released
// while it waits.
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

// awaitPrimary waits for progress of the readers and drops a stalled primary
// reader; a.mu is held on entry and return.
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

// addHeldBytes changes the count of bytes held; a.mu is held.
func (a *Answer) addHeldBytes(delta int) {
	a.heldBytes += delta
	if a.options.HeldBytes != nil {
		a.options.HeldBytes.Add(int64(delta))
	}
}

// End closes the answer with a state other than Open; the first call wins.
func (a *Answer) End(state State) { a.end(state, nil) }

// Refuse closes the answer with a refusal; the first call of End or Refuse wins.
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

// State returns how far the answer has come and the id of its last chunk.
func (a *Answer) State() (State, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state, a.lastID
}

// Refusal returns the refusal of a refused answer, else nil.
func (a *Answer) Refusal() *fault.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusal
}

// EndedAt returns when the answer ended; ok is false for an open one.
func (a *Answer) EndedAt() (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt, a.state != Open
}

// Replayable tells whether a reader can still start at the first chunk.
func (a *Answer) Replayable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.chunksDropped && a.options.After == 0
}

// Discard gives back the memory. Readers get ErrNotReplayable for what they
// have not read. An open answer is left alone.
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

// Snapshot is an ended answer in a form that can be kept elsewhere.
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

// Snapshot returns a complete answer from its first chunk; ok is false when
// the answer is not complete or no longer whole.
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

// Restore returns the complete answer that Snapshot was taken of.
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

// wakeReaders wakes the readers that wait; a.mu is held.
func (a *Answer) wakeReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// wakeWriter wakes a writer that waits; a.mu is held.
func (a *Answer) wakeWriter() {
	close(a.readerAdvanced)
	a.readerAdvanced = make(chan struct{})
}

// removeReader removes a reader; a.mu is held.
func (a *Answer) removeReader(r *Reader) {
	i := slices.Index(a.readers, r)
	if i < 0 {
		return
	}
	a.readers = slices.Delete(a.readers, i, i+1)
	a.wakeWriter()
}
