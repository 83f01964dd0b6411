// Package estimate predicts the cost of a request: the number of tokens in its
// response (LengthEstimator) and the time that a target takes for it (Speed).
//
// Both learn only from complete observations and need no configuration. Callers
// must stay correct even if an estimate is wrong by a factor of a hundred.
package estimate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	defaultOverhead = 5 * time.Millisecond
	defaultPrefill  = 100 * time.Microsecond
	defaultDecode   = 10 * time.Millisecond
	// speedWeight is the weight of one observation in the moving averages.
	speedWeight = 0.2
)

// Speed holds the observed speed of a target. It may be read without locks; the
// Observe methods must be called by one goroutine at a time. The zero value
// returns defaults.
type Speed struct {
	overhead average
	prefill  average
	decode   average
}

// ObserveFirstToken records the time to the first token after the prefill of
// promptTokens tokens.
func (s *Speed) ObserveFirstToken(promptTokens int, duration time.Duration) {
	if promptTokens > 0 && duration > 0 {
		s.prefill.add(duration.Seconds() / float64(promptTokens))
	}
}

// ObserveDecode records the time in which outputTokens tokens were generated.
func (s *Speed) ObserveDecode(outputTokens int, duration time.Duration) {
	if outputTokens > 0 && duration > 0 {
		s.decode.add(duration.Seconds() / float64(outputTokens))
	}
}

// ObserveDuration records the duration of a request without tokens.
func (s *Speed) ObserveDuration(duration time.Duration) { s.overhead.add(duration.Seconds()) }

// TimePerToken returns the time per output token.
func (s *Speed) TimePerToken() time.Duration { return s.decode.valueOr(defaultDecode) }

// TimeToFirstToken returns the expected time to the first token after the
// prefill of promptTokens tokens.
func (s *Speed) TimeToFirstToken(promptTokens int) time.Duration {
	if promptTokens <= 0 {
		return s.overhead.valueOr(defaultOverhead)
	}
	return time.Duration(promptTokens) * s.prefill.valueOr(defaultPrefill)
}

// ResponseTime returns the expected time to the end of the response.
func (s *Speed) ResponseTime(promptTokens, outputTokens int) time.Duration {
	return s.TimeToFirstToken(promptTokens) + time.Duration(outputTokens)*s.TimePerToken()
}

// average is an exponential moving average in seconds; zero bits mean no
// observation.
type average struct{ bits atomic.Uint64 }

func (a *average) add(seconds float64) {
	old := math.Float64frombits(a.bits.Load())
	if old == 0 {
		old = seconds
	}
	a.bits.Store(math.Float64bits(old + speedWeight*(seconds-old)))
}

func (a *average) valueOr(defaultValue time.Duration) time.Duration {
	seconds := math.Float64frombits(a.bits.Load())
	if seconds == 0 {
		return defaultValue
	}
	return time.Duration(seconds * float64(time.Second))
}
