package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// TestOneBatchDoesNotInsertTwice commits two writes of one row and one of
// another while all wait for the same transaction. Without a limit of one write
// for each row, both insertions of the same row would succeed.
func TestOneBatchDoesNotInsertTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(platform.NewMemory(), clockwork.NewRealClock())
		ctx, cancel := context.WithCancel(t.Context())
		var callers, loop conc.WaitGroup
		results := make([]error, 3)
		for i, key := range []string{"same", "same", "other"} {
			callers.Go(func() {
				results[i] = b.commit(ctx, platform.Write{Key: claimKey(Key{Key: key}), Value: []byte{byte(i)}})
			})
		}
		synctest.Wait()
		loop.Go(func() { b.run(ctx) })
		callers.Wait()
		cancel()
		loop.Wait()
		var conflict *platform.ConflictError
		assert.Assert(t, (results[0] == nil) != (results[1] == nil), "want one conflict between equal keys, got %v", results)
		assert.Assert(t, errors.As(errors.CombineErrors(results[0], results[1]), &conflict))
		assert.NilError(t, results[2])
	})
}

func TestWithdrawnWriteDidNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := platform.NewMemory()
		b := newBatcher(memory, clockwork.NewRealClock())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := b.commit(ctx, platform.Write{Key: claimKey(testKey)})
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.Equal(t, len(b.takeBatch()), 0)
	})
}
