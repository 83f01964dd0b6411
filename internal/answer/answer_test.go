package answer

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

func newChunk(id uint64) Chunk {
	return Chunk{ID: id, Data: []byte("event-" + strconv.FormatUint(id, 10))}
}

// appendChunks appends the chunks with the IDs first to last.
func appendChunks(t *testing.T, a *Answer, first, last uint64) {
	t.Helper()
	for id := first; id <= last; id++ {
		assert.NilError(t, a.Append(t.Context(), newChunk(id)))
	}
}

// readAll returns the IDs of the chunks read and the error after them.
func readAll(t *testing.T, r *Reader) (ids []uint64, err error) {
	t.Helper()
	for {
		c, err := r.Next(t.Context())
		if err != nil {
			return ids, err
		}
		ids = append(ids, c.ID)
	}
}

func TestReaderDistinguishesEndStates(t *testing.T) {
	refusal := &fault.Refusal{Execution: fault.RanInPart, Reason: "cancelled"}
	tests := []struct {
		name string
		end  func(*Answer)
		want error
	}{
		{"complete", func(a *Answer) { a.End(Complete) }, io.EOF},
		{"truncated", func(a *Answer) { a.End(Truncated) }, ErrTruncated},
		{"refused", func(a *Answer) { a.Refuse(refusal) }, refusal},
		{"first end wins", func(a *Answer) { a.End(Truncated); a.End(Complete) }, ErrTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New(Options{})
			appendChunks(t, a, 1, 3)
			test.end(a)
			ids, err := readAll(t, a.Follow(0))
			assert.DeepEqual(t, ids, []uint64{1, 2, 3})
			assert.ErrorIs(t, err, test.want)
			_, err = New(Options{}).Follow(0).Head(cancelledContext())
			assert.ErrorIs(t, err, context.Canceled)
			assert.ErrorIs(t, a.Append(t.Context(), newChunk(4)), ErrEnded)
		})
	}
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestOutOfOrderChunksAreRejected(t *testing.T) {
	a := New(Options{After: 10})
	assert.ErrorIs(t, a.Append(t.Context(), newChunk(12)), ErrOutOfOrder)
	appendChunks(t, a, 11, 12)
	assert.NilError(t, a.Append(t.Context(), newChunk(11)), "a recorded chunk is dropped without an error")
	a.End(Complete)
	ids, err := readAll(t, a.Follow(10))
	assert.DeepEqual(t, ids, []uint64{11, 12})
	assert.ErrorIs(t, err, io.EOF)
	_, err = a.Follow(0).Next(t.Context())
	assert.ErrorIs(t, err, ErrNotReplayable)
	_, ok := a.Snapshot()
	assert.Assert(t, !ok, "a resumed answer must have no snapshot")
}

func TestConcurrentReadersFollowWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{})
		var group conc.WaitGroup
		for i := range 8 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				ids, err := readAll(t, a.Follow(uint64(i)))
				assert.ErrorIs(t, err, io.EOF)
				assert.Equal(t, len(ids), 20-i)
			})
		}
		for id := uint64(1); id <= 20; id++ {
			time.Sleep(time.Millisecond)
			appendChunks(t, a, id, id)
		}
		a.End(Complete)
		group.Wait()
	})
}

func TestWriterWaitsForThePrimaryReaderOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{MaxBytes: 30})
		primary, slow := a.Follow(0), a.Follow(0)
		writerDone := make(chan struct{})
		var group conc.WaitGroup
		group.Go(func() {
			defer close(writerDone)
			appendChunks(t, a, 1, 50)
			a.End(Complete)
		})
		synctest.Wait()
		select {
		case <-writerDone:
			t.Fatal("the writer did not wait for the primary reader")
		default:
		}
		ids, err := readAll(t, primary)
		group.Wait()
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), 50)
		_, err = slow.Next(t.Context())
		assert.ErrorIs(t, err, ErrNotReplayable)
		assert.Assert(t, !a.Replayable())
	})
}

func TestStalledPrimaryLosesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{MaxBytes: 30, Clock: clockwork.NewRealClock()})
		stalled := a.Follow(0)
		startedAt := time.Now()
		appendChunks(t, a, 1, 50)
		assert.Equal(t, time.Since(startedAt), DefaultStallTimeout)
		_, err := stalled.Next(t.Context())
		assert.ErrorIs(t, err, ErrNotReplayable)
	})
}

func TestSnapshotRoundTrip(t *testing.T) {
	a := New(Options{})
	a.SetHead(Head{Status: 201, Fields: []Field{{"Content-Type", "text/plain"}}})
	appendChunks(t, a, 1, 3)
	_, ok := a.Snapshot()
	assert.Assert(t, !ok, "an open answer must have no snapshot")
	a.End(Complete)
	stored, ok := a.Snapshot()
	assert.Assert(t, ok)
	r := Restore(stored, Options{}).Follow(0)
	head, err := r.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Status, 201)
	ids, err := readAll(t, r)
	assert.DeepEqual(t, ids, []uint64{1, 2, 3})
	assert.ErrorIs(t, err, io.EOF)
}

func TestStoreLimitsBytesAndRetention(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewStore(StoreOptions{Clock: clock, MaxBytes: 1000})
	open := s.New(0)
	s.Put("open", open)
	for i := range 200 {
		a := s.New(0)
		assert.NilError(t, a.Append(t.Context(), Chunk{ID: 1, Data: make([]byte, 100)}))
		a.End(Complete)
		s.Put(fmt.Sprint(i), a)
		assert.Assert(t, s.Bytes() <= 1000, "%d bytes", s.Bytes())
	}
	assert.Assert(t, s.Get("199") != nil)
	clock.Advance(DefaultRetention + time.Second)
	assert.Assert(t, s.Get("199") == nil)
	s.RemoveExpired()
	assert.Equal(t, s.Bytes(), int64(0))
	assert.Equal(t, s.Get("open"), open)
	s.Remove("open")
	assert.Assert(t, s.Get("open") == nil)
}
