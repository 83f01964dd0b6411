package once

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// maxBatchWrites bounds the writes of one transaction.
	maxBatchWrites = 64
	// commitTimeout bounds the duration of one transaction.
	commitTimeout = 5 * time.Second
)

// batcher combines the writes of concurrent requests into shared transactions:
// all that arrive while a transaction is in progress go into the next. A write
// that conflicts does not make the others fail.
type batcher struct {
	table platform.TableService
	clock clockwork.Clock
	wake  chan struct{}

	// mu guards queue.
	mu    sync.Mutex
	queue []*queuedWrite
}

// queuedWrite is a write that waits for its result.
type queuedWrite struct {
	write platform.Write
	// done receives exactly one result; it is buffered, so that run never
	// blocks.
	done chan error
	// inTransaction is set once the write is part of a transaction; batcher.mu
	// guards it.
	inTransaction bool
}

func newBatcher(table platform.TableService, clock clockwork.Clock) *batcher {
	return &batcher{table: table, clock: clock, wake: make(chan struct{}, 1)}
}

// commit performs one write. A conflict is returned as a
// *platform.ConflictError with one row. If ctx ends first, the error is
// ErrUnavailable if the write was withdrawn in time, and ErrOutcomeUnknown
// otherwise.
func (b *batcher) commit(ctx context.Context, write platform.Write) error {
	queued := &queuedWrite{write: write, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, queued)
	b.mu.Unlock()
	b.signal()
	select {
	case err := <-queued.done:
		return err
	case <-ctx.Done():
		return b.withdraw(queued)
	}
}

func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batcher) withdraw(queued *queuedWrite) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if queued.inTransaction {
		return platform.ErrOutcomeUnknown
	}
	for i, q := range b.queue {
		if q == queued {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			break
		}
	}
	return platform.ErrUnavailable
}

// run performs transactions until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for batch := b.takeBatch(); len(batch) > 0; batch = b.takeBatch() {
			b.commitBatch(ctx, batch)
		}
	}
}

// takeBatch removes the next batch from the queue. A batch has at most one
// write for each row, since two insertions of one row in one transaction would
// both succeed.
func (b *batcher) takeBatch() []*queuedWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*queuedWrite
	rows := make(map[platform.Key]bool)
	for _, q := range b.queue {
		if len(batch) == maxBatchWrites || rows[q.write.Key] {
			rest = append(rest, q)
			continue
		}
		rows[q.write.Key] = true
		q.inTransaction = true
		batch = append(batch, q)
	}
	b.queue = rest
	return batch
}

// commitBatch commits a batch. After a conflict it removes the conflicting
// writes and tries the rest again, until the rest succeed or fail together.
func (b *batcher) commitBatch(ctx context.Context, batch []*queuedWrite) {
	for len(batch) > 0 {
		err := b.transact(ctx, batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Indexes) == 0 {
			for _, q := range batch {
				q.done <- err
			}
			return
		}
		batch = dropConflicting(batch, conflict)
	}
}

func (b *batcher) transact(ctx context.Context, batch []*queuedWrite) error {
	writes := make([]platform.Write, len(batch))
	for i, q := range batch {
		writes[i] = q.write
	}
	ctx, cancel := clockwork.WithTimeout(ctx, b.clock, commitTimeout)
	defer cancel()
	return b.table.Commit(ctx, writes)
}

func dropConflicting(batch []*queuedWrite, conflict *platform.ConflictError) []*queuedWrite {
	conflictingRows := make(map[int]platform.Row, len(conflict.Indexes))
	for i, index := range conflict.Indexes {
		conflictingRows[index] = conflict.Rows[i]
	}
	var rest []*queuedWrite
	for i, q := range batch {
		row, conflicts := conflictingRows[i]
		if !conflicts {
			rest = append(rest, q)
			continue
		}
		q.done <- &platform.ConflictError{Indexes: []int{0}, Rows: []platform.Row{row}}
	}
	return rest
}
