package enginemodel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func settings() Settings {
	return Settings{
		Slots: 2, Speed: 1, StepTime: 3 * time.Millisecond, PrefillTokensPerMs: 100, PrefillChunkTokens: 2000, KVCacheTokens: 10000,
	}
}

// times plays an engine until it is idle and returns when each run began and
// ended.
func times(e *Engine, runs ...*Request) (first, last []time.Duration) {
	first, last = make([]time.Duration, len(runs)), make([]time.Duration, len(runs))
	for i, r := range runs {
		r.OnToken = func(at time.Duration, isFirst, isLast bool) {
			if isFirst {
				first[i] = at
			}
			if isLast {
				last[i] = at
			}
		}
		e.Submit(r, 0)
	}
	for {
		if _, ok := e.NextStepEnd(); !ok {
			return first, last
		}
		e.FinishStep()
	}
}

func TestPromptIsReadInChunksBeforeTheFirstToken(t *testing.T) {
	first, last := times(New(settings()), &Request{PromptTokens: 5000, OutputTokens: 3})
	assert.Equal(t, first[0], 3*3*time.Millisecond+50*time.Millisecond)
	assert.Equal(t, last[0], first[0]+2*3*time.Millisecond)
}

func TestLongPromptDelaysTheTokensOfOthers(t *testing.T) {
	_, alone := times(New(settings()), &Request{PromptTokens: 100, OutputTokens: 10})
	_, beside := times(New(settings()), &Request{PromptTokens: 100, OutputTokens: 10}, &Request{PromptTokens: 8000, OutputTokens: 1})
	assert.Assert(t, beside[0] >= alone[0]+60*time.Millisecond, "%v, %v alone", beside[0], alone[0])
}

func TestRequestsBeyondTheSlotsQueue(t *testing.T) {
	first, last := times(New(settings()), &Request{PromptTokens: 1, OutputTokens: 50}, &Request{PromptTokens: 1, OutputTokens: 10}, &Request{PromptTokens: 1, OutputTokens: 10})
	assert.Assert(t, first[2] > last[1])
}

func TestSpeedDividesAllTimes(t *testing.T) {
	fast := settings()
	fast.Speed = 2
	_, one := times(New(settings()), &Request{PromptTokens: 3000, OutputTokens: 20})
	_, two := times(New(fast), &Request{PromptTokens: 3000, OutputTokens: 20})
	assert.Equal(t, one[0], 2*two[0])
}

func TestFullMemoryPreemptsTheNewest(t *testing.T) {
	e := New(settings())
	first, last := times(e, &Request{PromptTokens: 4000, OutputTokens: 3000}, &Request{PromptTokens: 4000, OutputTokens: 3000})
	assert.Assert(t, e.Preemptions > 0)
	assert.Assert(t, last[1] > last[0] && first[1] > 0)
}
