package answer

import (
	"context"
	"io"
)

// Reader follows one answer at its own position. It must not be used by several
// goroutines at a time.
type Reader struct {
	answer *Answer
	// nextID is the ID of the next chunk to read; answer.mu guards it.
	nextID uint64
}

// Follow returns a reader of the chunks after the given ID. The reader must be
// closed.
func (a *Answer) Follow(after uint64) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reader{answer: a, nextID: after + 1}
	a.readers = append(a.readers, r)
	return r
}

// Head waits for the status and the header fields. If the answer ends without
// them, Head returns the errors of Next.
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
// answer, ErrTruncated for a truncated one and the *fault.Refusal for a refused
// one. It returns ErrNotReplayable if the chunk is no longer held.
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

// takeChunk returns the chunk with the ID r.nextID, which has been appended;
// answer.mu is held.
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

// Close removes the reader; it may be called more than once.
func (r *Reader) Close() {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	r.answer.removeReader(r)
}

// endError returns the error for readers at the end; a.mu is held.
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

// awaitChange waits for a change by the writer; a.mu is held on entry and return.
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
