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
	// outcomeRetry is the pause between rounds over outcomes not yet written.
	outcomeRetry = 500 * time.Millisecond
	// maxOutcomes bounds the outcomes kept for writing; beyond it the oldest is
	// dropped, and resends of its request are answered unknown.
	maxOutcomes = 4096
	// maxOutcomeBytes bounds the answers kept for writing.
	maxOutcomeBytes = 8 << 20
)

// errNotRecorded means that an outcome is still to be written.
var errNotRecorded = errors.New("outcome not recorded yet")

// outcome is how a claim ended, to be written into its row.
type outcome struct {
	claim *Claim
	// row is the claim's row as it is to be.
	row claimRow
	// version is the row's version before; 0 when it is not known.
	version platform.Version
	// unsettled is set while a write of the claim may yet take effect.
	unsettled bool
	// answer is the encoded answer.Stored, if there is one.
	answer []byte
}

// outcomeQueue writes outcomes until each is on record.
type outcomeQueue struct {
	claims *Claims
	wake   chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	waiting []*outcome
	bytes   int
}

func newOutcomeQueue(c *Claims) *outcomeQueue {
	return &outcomeQueue{claims: c, wake: make(chan struct{}, 1)}
}

// record writes an outcome now, and leaves it to run if that fails.
func (q *outcomeQueue) record(ctx context.Context, o *outcome) error {
	if q.write(ctx, o) {
		return nil
	}
	q.add(o)
	return fault.At(fault.StepAnswer, "", errNotRecorded)
}

// add leaves an outcome to run.
func (q *outcomeQueue) add(o *outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, o)
	q.bytes += len(o.answer)
	for len(q.waiting) > maxOutcomes || q.bytes > maxOutcomeBytes {
		q.bytes -= len(q.waiting[0].answer)
		q.claims.forget(q.waiting[0].claim)
		q.waiting = q.waiting[1:]
	}
}

// hurry starts a round at once.
func (q *outcomeQueue) hurry() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *outcomeQueue) run(ctx context.Context) {
	ticker := q.claims.options.Clock.NewTicker(outcomeRetry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-ticker.Chan():
		}
		q.round(ctx)
	}
}

// round tries each waiting outcome once.
func (q *outcomeQueue) round(ctx context.Context) {
	q.mu.Lock()
	waiting := q.waiting
	q.waiting, q.bytes = nil, 0
	q.mu.Unlock()
	for _, o := range waiting {
		if !q.write(ctx, o) {
			q.add(o)
		}
	}
}

// write tries to bring an outcome on record; false means try again later.
func (q *outcomeQueue) write(ctx context.Context, o *outcome) bool {
	if !q.store(ctx, o) {
		return false
	}
	if o.version == 0 && !q.find(ctx, o) {
		return false
	}
	for o.version != 0 {
		done, again := q.replace(ctx, o)
		if done {
			break
		}
		if !again {
			return false
		}
	}
	q.claims.forget(o.claim)
	return true
}

// store puts the answer where it is to be kept: in the row when it is small,
// in the object store when it is larger.
func (q *outcomeQueue) store(ctx context.Context, o *outcome) bool {
	if len(o.answer) <= q.claims.options.InlineBytes {
		o.row.Answer = o.answer
		return true
	}
	name := "answers/" + o.row.Claim
	if err := q.claims.options.Platform.PutObject(ctx, name, o.answer); err != nil {
		return false
	}
	o.row.Object = name
	return true
}

// find looks for the row of an abandoned claim whose writing had a lost answer.
// It returns false when that cannot be told now; the version stays 0 when
// nothing is left to do. Where the lost write may yet take effect, find fences
// it by writing the outcome itself: the late write then conflicts.
func (q *outcomeQueue) find(ctx context.Context, o *outcome) bool {
	row, err := q.claims.options.Platform.Get(ctx, claimKey(o.claim.key))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	if o.adopt(row); o.version != 0 || !o.unsettled || !replaceable(row) {
		return true
	}
	write := platform.Write{Key: claimKey(o.claim.key), ExpectedVersion: row.Version, Value: o.row.encode()}
	return q.claims.batch.commit(ctx, write) == nil
}

// replaceable tells whether an attempt that has not seen another row since may
// still write over this one.
func replaceable(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	found, err := decodeClaimRow(row)
	return err == nil && found.State == claimNotRun
}

// adopt takes over the row's version if the row is the claim's, else 0.
func (o *outcome) adopt(row platform.Row) {
	o.version = 0
	if row.Version == 0 {
		return
	}
	found, err := decodeClaimRow(row)
	if err != nil || found.Claim != o.row.Claim {
		return
	}
	if found.State == claimHeld {
		o.version = row.Version
	} else {
		o.unsettled = false
	}
}

// replace writes the outcome over the claim. After a lost answer the next try
// conflicts with the outcome itself, which adopt recognises.
func (q *outcomeQueue) replace(ctx context.Context, o *outcome) (done, again bool) {
	write := platform.Write{Key: claimKey(o.claim.key), ExpectedVersion: o.version, Value: o.row.encode()}
	err := q.claims.batch.commit(ctx, write)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true, false
	case errors.As(err, &conflict):
		o.adopt(conflict.Rows[0])
		return false, true
	default:
		return false, false
	}
}

// pause waits before another try.
func (c *Claims) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(claimRetry):
	}
}

func (c *Claims) timeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, c.options.Clock, d)
}
