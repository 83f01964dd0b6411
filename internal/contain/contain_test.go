package contain

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

func TestPanicIsLoggedAndCounted(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	before := Panics()
	assert.Assert(t, Run(zap.New(core), "step", func() {}))
	assert.Equal(t, lines.Len(), 0)
	assert.Assert(t, !Run(zap.New(core), "step", func() { panic("unexpected value") }))
	assert.Equal(t, lines.Len(), 1)
	assert.Equal(t, lines.All()[0].ContextMap()["value"], "unexpected value")
	assert.Equal(t, Panics(), before+1)
}

// A panic in a background task ended it for the life of the process, without a log line.
func TestTaskIsRunAgainAfterAPanic(t *testing.T) {
	clock := clockwork.NewFakeClock()
	runs := 0
	var repeating sync.WaitGroup
	repeating.Go(func() {
		Repeat(context.Background(), clock, zap.NewNop(), "task", func(context.Context) {
			if runs++; runs < 3 {
				panic("unexpected value")
			}
		})
	})
	for range 2 {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(restartDelay)
	}
	repeating.Wait()
	assert.Equal(t, runs, 3)
}

func TestTaskIsNotRunAgainAfterTheEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	cancel()
	runs := 0
	Repeat(ctx, clockwork.NewFakeClock(), zap.NewNop(), "task", func(context.Context) { runs++; panic("unexpected value") })
	assert.Equal(t, runs, 1)
}
