package schedule

import "time"

const (
	// durationWeight is the weight of one observation of a target's pace; a dozen
	// streams settle it.
	durationWeight = 0.25
	// prefillWeight is the weight of one observation of the readers' ratio, of which
	// there are many more.
	prefillWeight = 0.05
	// defaultTokenTime is taken for the time per output token while no target's is
	// known; of the order of current engines.
	defaultTokenTime = 4 * time.Millisecond
	// defaultPrefillRatio is taken for the time per prompt token relative to that
	// per output token while nothing has been observed.
	defaultPrefillRatio = 0.004
	// minPrefillSampleTokens is the shortest prompt from which the ratio is learnt: for
	// shorter ones, constant delays prevail.
	minPrefillSampleTokens = 1500
	// prefillOverhead is the part of the time to the first token that does not depend
	// on the prompt: network, scheduling and one step of the engine.
	prefillOverhead = 12 * time.Millisecond
	// prefillChunkTokens is how many prompt tokens an engine reads between two steps
	// of the requests that are generating.
	prefillChunkTokens = 2048
)

// durationEWMA is an average of durations; the zero value knows nothing.
type durationEWMA struct{ seconds float64 }

func (e *durationEWMA) known() bool { return e.seconds > 0 }

func (e *durationEWMA) observe(sample time.Duration) {
	if sample <= 0 {
		return
	}
	if e.seconds == 0 {
		e.seconds = sample.Seconds()
		return
	}
	e.seconds += durationWeight * (sample.Seconds() - e.seconds)
}

func (e *durationEWMA) duration() time.Duration {
	return time.Duration(e.seconds * float64(time.Second))
}

// prefillModel learns how long engines of one service take to read a prompt token,
// relative to their time per output token: the two differ by the same factor
// from engine to engine.
type prefillModel struct{ ratio float64 }

func (m *prefillModel) tokenRatio() float64 {
	if m.ratio == 0 {
		return defaultPrefillRatio
	}
	return m.ratio
}

// observe learns from the time to a first token after so many prompt tokens at
// an engine of the given pace.
func (m *prefillModel) observe(tokens int, timeToFirst, tokenTime time.Duration) {
	if tokens < minPrefillSampleTokens || tokenTime <= 0 || timeToFirst <= prefillOverhead {
		return
	}
	sample := (timeToFirst - prefillOverhead).Seconds() / float64(tokens) / tokenTime.Seconds()
	m.ratio = m.tokenRatio() + prefillWeight*(sample-m.tokenRatio())
}

// prefillTime returns how long an engine of the given pace takes to read the tokens.
func (m *prefillModel) prefillTime(tokens int, tokenTime time.Duration) time.Duration {
	return time.Duration(m.tokenRatio() * float64(tokens) * float64(tokenTime))
}
