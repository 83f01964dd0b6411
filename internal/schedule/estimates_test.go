package schedule

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against estimates learned from responses whose times are unknown. Reports to coordinators
// give an unknown time to the first token as a microsecond.
func TestUnknownTimesChangeNoEstimate(t *testing.T) {
	for _, promptTokens := range []int{0, 2 * minPrefillSampleTokens} {
		clock := clockwork.NewFakeClock()
		s := newScheduler(clock, newEngine("one", 4))
		run := func(toFirst, span, total time.Duration) {
			g := acquire(t, s, newRequest(clock, 0, promptTokens))
			g.ResponseStarted(toFirst)
			g.TokensReceived(8, span)
			g.Done(Outcome{Result: Complete, TotalTime: total, Tokens: 100, TokenSpan: span})
		}
		type estimates struct {
			tokenTime             tokenTimeEstimate
			prefill               prefillModel
			ofTarget, ofResponses durationEWMA
		}
		current := func() estimates {
			sv := s.service("engines")
			return estimates{sv.targets[0].tokenTime, sv.prefill, sv.targets[0].responseTime, sv.responseTime}
		}
		for range 2 {
			run(100*time.Millisecond, 50*time.Millisecond, 500*time.Millisecond)
		}
		before := current()
		assert.Assert(t, before.ofResponses.known() && before.tokenTime.known())
		assert.Equal(t, before.prefill.ratio != 0, promptTokens > 0)
		for _, unknown := range []time.Duration{0, time.Microsecond} {
			clock.Advance(5 * time.Second)
			run(unknown, 0, 0)
			assert.Equal(t, current(), before)
		}
		assert.Equal(t, s.service("engines").targets[0].running, 0)
	}
}
