package answer

import (
	"context"
	"io"
)

// Reader follows one answer from a position of its own. A Reader is used by
// one goroutine at a time.
type Reader struct {
	answer *Answer
	// nextID is the id of the nextID chunk to read; answer.mu guards it.
	nextID uint64
}

// Follow returns a reader of the chunks after the given id. Close it.
func (a *Answer) Follow(after uint64) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reader{answer: a, nextID: after + 1}
	a.readers = append(a.readers, r)
	return r
}

// Head waits for status and header fields. It fails as Next does when the
// answer ends without a head.
func (r *Reader) Head(ctx context.Context) (Head, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.hasHead {
			return a.head, nil
		}
		if a.state != Open {
			return Head{}, a.endError()
		}
		if err := a.awaitChange(ctx); err != nil {
			return Head{}, err
		}
	}
}

// Next waits for the next chunk. At the end it returns io.EOF for a complete
// answer, ErrCut for a cut one and the *fault.Refusal for a refused one.
// ErrNotReplayable means that the chunk is no longer kept.
func (r *Reader) Next(ctx context.Context) (Chunk, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if r.nextID <= a.lastID {
			return r.takeChunk()
		}
		if a.state != Open {
			return Chunk{}, a.endError()
		}
		if err := a.awaitChange(ctx); err != nil {
			return Chunk{}, err
		}
	}
}

// takeChunk returns the chunk at r.next, which was appended; answer.mu is held.
func (r *Reader) takeChunk() (Chunk, error) {
	a := r.answer
	firstID := a.lastID + 1 - uint64(len(a.chunks))
	if r.nextID < firstID {
		return Chunk{}, ErrNotReplayable
	}
	chunk := a.chunks[r.nextID-firstID]
	r.nextID++
	a.wakeWriter()
	return chunk, nil
}

// Close stops following; it may be called more than once.
func (r *Reader) Close() {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	r.answer.removeReader(r)
}

// endError returns what a reader gets at the end; a.mu is held.
func (a *Answer) endError() error {
	switch a.state {
	case Complete:
		return io.EOF
	case Refused:
		return a.refusal
	default:
		return ErrTruncated
	}
}

// awaitChange waits for news of the writer; a.mu is held on entry and return.
func (a *Answer) awaitChange(ctx context.Context) error {
	changed := a.changed
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
