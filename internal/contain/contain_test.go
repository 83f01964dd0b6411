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
	"gotest.tools/v3/poll"
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

// A message that was sent again and again filled the log with stacks.
func TestLinesOfOneStepAreLimited(t *testing.T) {
	core, observed := observer.New(zap.ErrorLevel)
	logger, before := zap.New(core), Panics()
	for range 100 {
		Run(logger, "limited step", func() { panic("unexpected value") })
		Run(logger, "other step", func() { panic("unexpected value") })
	}
	assert.Equal(t, Panics(), before+200)
	assert.Assert(t, observed.FilterField(zap.String("step", "limited step")).Len() >= 1)
	assert.Assert(t, observed.FilterField(zap.String("step", "other step")).Len() >= 1)
	assert.Assert(t, observed.Len() < 100)
	now := time.Now()
	s := source{logger, "a step"}
	assert.Assert(t, mayLog(s, now))
	assert.Assert(t, !mayLog(s, now.Add(lineInterval-1)))
	assert.Assert(t, mayLog(s, now.Add(lineInterval)))
}

// A panic in the function of a timer ended the process.
func TestPanicInATimerIsContained(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	fake := clockwork.NewFakeClock()
	clock := Clock(fake, zap.New(core), "timer")
	ended := make(chan struct{})
	clock.AfterFunc(time.Second, func() {
		defer close(ended)
		panic("unexpected value")
	})
	fake.Advance(time.Second)
	<-ended
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.FilterField(zap.String("step", "timer")).Len() == 1 {
			return poll.Success()
		}
		return poll.Continue("no line")
	})
}
