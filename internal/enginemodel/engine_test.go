package enginemodel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testSettings() Settings {
	return Settings{
		Slots: 2, Speed: 1, StepTime: 3 * time.Millisecond, PrefillTokensPerMs: 100, PrefillChunkTokens: 2000, KVCacheTokens: 10000,
	}
}

// runUntilIdle runs the requests until the engine is idle and returns when
// each had its first and its last token.
func runUntilIdle(e *Engine, requests ...*Request) (firstTokenAt, lastTokenAt []time.Duration) {
	firstTokenAt, lastTokenAt = make([]time.Duration, len(requests)), make([]time.Duration, len(requests))
	for i, r := range requests {
		r.OnToken = func(at time.Duration, isFirst, isLast bool) {
			if isFirst {
				firstTokenAt[i] = at
			}
			if isLast {
				lastTokenAt[i] = at
			}
		}
		e.Submit(r, 0)
	}
	for {
		if _, ok := e.NextStepEnd(); !ok {
			return firstTokenAt, lastTokenAt
		}
		e.FinishStep()
	}
}

func TestPromptIsPrefilledInChunksBeforeTheFirstToken(t *testing.T) {
	first, last := runUntilIdle(New(testSettings()), &Request{PromptTokens: 5000, OutputTokens: 3})
	assert.Equal(t, first[0], 3*3*time.Millisecond+50*time.Millisecond)
	assert.Equal(t, last[0], first[0]+2*3*time.Millisecond)
}

func TestLongPromptDelaysTheTokensOfOthers(t *testing.T) {
	_, alone := runUntilIdle(New(testSettings()), &Request{PromptTokens: 100, OutputTokens: 10})
	_, shared := runUntilIdle(New(testSettings()), &Request{PromptTokens: 100, OutputTokens: 10}, &Request{PromptTokens: 8000, OutputTokens: 1})
	assert.Assert(t, shared[0] >= alone[0]+60*time.Millisecond, "end next to a long prompt %v, alone %v; expected a delay of at least 60 ms", shared[0], alone[0])
}

func TestRequestsBeyondTheSlotsAreQueued(t *testing.T) {
	first, last := runUntilIdle(New(testSettings()), &Request{PromptTokens: 1, OutputTokens: 50}, &Request{PromptTokens: 1, OutputTokens: 10}, &Request{PromptTokens: 1, OutputTokens: 10})
	assert.Assert(t, first[2] > last[1])
}

func TestSpeedDividesAllTimes(t *testing.T) {
	fast := testSettings()
	fast.Speed = 2
	_, normal := runUntilIdle(New(testSettings()), &Request{PromptTokens: 3000, OutputTokens: 20})
	_, doubled := runUntilIdle(New(fast), &Request{PromptTokens: 3000, OutputTokens: 20})
	assert.Equal(t, normal[0], 2*doubled[0])
}

func TestFullKVCachePreemptsTheNewestRequest(t *testing.T) {
	e := New(testSettings())
	first, last := runUntilIdle(e, &Request{PromptTokens: 4000, OutputTokens: 3000}, &Request{PromptTokens: 4000, OutputTokens: 3000})
	assert.Assert(t, e.Preemptions > 0)
	assert.Assert(t, last[1] > last[0] && first[1] > 0)
}
