package schedule

import "time"

const (
	// durationWeight is the weight of one sample in a durationEWMA; the average
	// of a target's response times settles within a dozen responses.
	durationWeight = 0.25
	// prefillWeight is the weight of one sample in the ratio of a prefillModel,
	// which has many more samples.
	prefillWeight = 0.05
	// defaultTokenTime is the time per output token assumed while that of no
	// target is known; the order of magnitude is that of current engines.
	defaultTokenTime = 4 * time.Millisecond
	// defaultPrefillRatio is the time per prompt token relative to the time per
	// output token, assumed while there is no sample.
	defaultPrefillRatio = 0.004
	// minPrefillSampleTokens is the shortest prompt used as a sample of the
	// ratio: for shorter ones, constant delays dominate.
	minPrefillSampleTokens = 1500
	// prefillOverhead is the part of the time to the first token that does not
	// depend on the prompt: network, scheduling and one step of the engine.
	prefillOverhead = 12 * time.Millisecond
	// prefillChunkTokens is how many prompt tokens an engine processes between
	// two decoding steps of its other requests.
	prefillChunkTokens = 2048
)

// durationEWMA is an exponentially weighted moving average of durations; the zero
// value has no sample.
type durationEWMA struct{ seconds float64 }

func (e *durationEWMA) known() bool { return e.seconds > 0 }

func (e *durationEWMA) observe(sample time.Duration) { e.observeWeighted(sample, durationWeight) }

func (e *durationEWMA) observeWeighted(sample time.Duration, weight float64) {
	if sample <= 0 {
		return
	}
	if e.seconds == 0 {
		e.seconds = sample.Seconds()
		return
	}
	e.seconds += weight * (sample.Seconds() - e.seconds)
}

func (e *durationEWMA) duration() time.Duration {
	return time.Duration(e.seconds * float64(time.Second))
}

// prefillModel estimates how long engines of one service take to process a prompt
// token, relative to their time per output token. The ratio of the two is the
// same for all engines of a service.
type prefillModel struct{ ratio float64 }

func (m *prefillModel) tokenRatio() float64 {
	if m.ratio == 0 {
		return defaultPrefillRatio
	}
	return m.ratio
}

// observe adds a sample: the time to the first token with a number of prompt
// tokens to process, at an engine with the given time per output token.
func (m *prefillModel) observe(tokens int, timeToFirst, tokenTime time.Duration) {
	if tokens < minPrefillSampleTokens || tokenTime <= 0 || timeToFirst <= prefillOverhead {
		return
	}
	sample := (timeToFirst - prefillOverhead).Seconds() / float64(tokens) / tokenTime.Seconds()
	m.ratio = m.tokenRatio() + prefillWeight*(sample-m.tokenRatio())
}

// estimate returns the expected time in which an engine with the given time per
// output token processes a number of prompt tokens.
func (m *prefillModel) estimate(tokens int, tokenTime time.Duration) time.Duration {
	return time.Duration(m.tokenRatio() * float64(tokens) * float64(tokenTime))
}
