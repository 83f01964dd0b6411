package once

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// outcomeRetryInterval is the time between attempts to write the pending
	// outcomes.
	outcomeRetryInterval = 500 * time.Millisecond
	// maxOutcomes and maxOutcomeBytes bound the pending outcomes and their
	// answers. Beyond either the oldest is dropped, and retries of its request
	// are refused as unknown.
	maxOutcomes     = 4096
	maxOutcomeBytes = 8 << 20
)

// errNotRecorded means that the outcome is queued for another attempt to write
// it.
var errNotRecorded = errors.New("outcome not recorded yet")

// outcome is how a claim ended, to be written to its row.
type outcome struct {
	claim *Claim
	// row is the new value of the claim's row.
	row claimRow
	// version is the current version of the row; 0 if it is not known.
	version platform.Version
	// lateWritePossible is set while an earlier write of the claim may still
	// take effect.
	lateWritePossible bool
	// answer is the encoded answer.Snapshot; empty if there is none.
	answer []byte
}

// outcomeQueue writes outcomes and retries each until it is recorded.
type outcomeQueue struct {
	claims *Claims
	wake   chan struct{}

	// mu guards the fields below.
	mu           sync.Mutex
	pending      []*outcome
	pendingBytes int
}

func newOutcomeQueue(c *Claims) *outcomeQueue {
	return &outcomeQueue{claims: c, wake: make(chan struct{}, 1)}
}

// record writes an outcome, and queues it if that fails.
func (q *outcomeQueue) record(ctx context.Context, o *outcome) error {
	if q.write(ctx, o) {
		return nil
	}
	q.add(o)
	return fault.At(fault.StepAnswer, "", errNotRecorded)
}

// add queues an outcome for run.
func (q *outcomeQueue) add(o *outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, o)
	q.pendingBytes += len(o.answer)
	for len(q.pending) > maxOutcomes || q.pendingBytes > maxOutcomeBytes {
		q.pendingBytes -= len(q.pending[0].answer)
		q.claims.unregister(q.pending[0].claim)
		q.pending = q.pending[1:]
	}
}

// wakeUp makes run write the pending outcomes without delay.
func (q *outcomeQueue) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *outcomeQueue) run(ctx context.Context) {
	ticker := q.claims.options.Clock.NewTicker(outcomeRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-ticker.Chan():
		}
		q.writePending(ctx)
	}
}

// writePending tries once to write each pending outcome.
func (q *outcomeQueue) writePending(ctx context.Context) {
	q.mu.Lock()
	pending := q.pending
	q.pending, q.pendingBytes = nil, 0
	q.mu.Unlock()
	for _, o := range pending {
		if !q.write(ctx, o) {
			q.add(o)
		}
	}
}

// write tries to record an outcome; false means that it has to be retried.
func (q *outcomeQueue) write(ctx context.Context, o *outcome) bool {
	if !q.storeAnswer(ctx, o) {
		return false
	}
	if o.version == 0 && !q.resolveVersion(ctx, o) {
		return false
	}
	for o.version != 0 {
		done, retry := q.replaceRow(ctx, o)
		if done {
			break
		}
		if !retry {
			return false
		}
	}
	q.claims.unregister(o.claim)
	return true
}

// storeAnswer adds a small answer to the row and writes a larger one to the
// object store.
func (q *outcomeQueue) storeAnswer(ctx context.Context, o *outcome) bool {
	if len(o.answer) <= q.claims.options.MaxInlineBytes {
		o.row.Answer = o.answer
		return true
	}
	name := "answers/" + o.row.ClaimID
	if err := q.claims.options.Platform.PutObject(ctx, name, o.answer); err != nil {
		return false
	}
	o.row.ObjectName = name
	return true
}

// resolveVersion reads the row of an abandoned claim after the response to its
// write was lost. It returns false if the state of the row cannot be determined
// now; the version stays 0 if nothing has to be written any more. If the lost
// write may still take effect, resolveVersion fences it by writing the outcome
// itself: the late write then conflicts.
func (q *outcomeQueue) resolveVersion(ctx context.Context, o *outcome) bool {
	row, err := q.claims.options.Platform.Get(ctx, claimKey(o.claim.key))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	if o.adoptVersion(row); o.version != 0 || !o.lateWritePossible || !replaceable(row) {
		return true
	}
	write := platform.Write{Key: claimKey(o.claim.key), ExpectedVersion: row.Version, Value: o.row.encode()}
	return q.claims.batcher.commit(ctx, write) == nil
}

// replaceable reports whether a late write of a claim may replace this row: it
// is absent or marked as not run.
func replaceable(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	found, err := decodeClaimRow(row)
	return err == nil && found.State == claimNotRun
}

// adoptVersion sets the version to that of the row if the row is the claim's
// and still held, and to 0 otherwise.
func (o *outcome) adoptVersion(row platform.Row) {
	o.version = 0
	if row.Version == 0 {
		return
	}
	found, err := decodeClaimRow(row)
	if err != nil || found.ClaimID != o.row.ClaimID {
		return
	}
	if found.State == claimHeld {
		o.version = row.Version
	} else {
		o.lateWritePossible = false
	}
}

// replaceRow writes the outcome over the claim. If the response is lost, the
// next attempt conflicts with the outcome itself, which adoptVersion
// recognizes.
func (q *outcomeQueue) replaceRow(ctx context.Context, o *outcome) (done, retry bool) {
	write := platform.Write{Key: claimKey(o.claim.key), ExpectedVersion: o.version, Value: o.row.encode()}
	err := q.claims.batcher.commit(ctx, write)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true, false
	case errors.As(err, &conflict):
		o.adoptVersion(conflict.Rows[0])
		return false, true
	default:
		return false, false
	}
}

// waitRetry waits before the next attempt.
func (c *Claims) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(claimRetryInterval):
	}
}

func (c *Claims) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, c.options.Clock, d)
}
