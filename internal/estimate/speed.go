// Package estimate predicts what a request will cost: how many tokens its
// answer has (Lengths) and how long a target takes for it (Speed).
//
// Both learn only from complete observations and need no configuration. An
// estimate is a hint: callers must stay correct when it is wrong by a factor
// of a hundred.
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
	// speedGain is the weight of one observation of a target's speed.
	speedGain = 0.2
	// fewTokens is the output below which a time per token is too noisy.
	fewTokens = 4
)

// Speed is a target's observed speed. It may be read without locks; Observe
// must be called by one goroutine at a time. The zero value holds defaults.
type Speed struct {
	overhead average
	prefill  average
	decode   average
}

// Observation is what one complete answer showed.
type Observation struct {
	// Prefill is the number of prompt tokens computed, without cached ones.
	Prefill int
	// Output is the number of output tokens.
	Output int
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}

// Observe records one answer.
func (s *Speed) Observe(o Observation) {
	if o.Output < fewTokens {
		s.overhead.add(o.Total.Seconds())
		return
	}
	s.decode.add((o.Total - o.FirstToken).Seconds() / float64(o.Output))
	if o.Prefill > 0 && o.FirstToken > 0 {
		s.prefill.add(o.FirstToken.Seconds() / float64(o.Prefill))
	}
}

// Decode returns the time per output token.
func (s *Speed) Decode() time.Duration { return s.decode.or(defaultDecode) }

// FirstToken returns the expected time to the first token after prefill
// prompt tokens.
func (s *Speed) FirstToken(prefill int) time.Duration {
	if prefill <= 0 {
		return s.overhead.or(defaultOverhead)
	}
	return time.Duration(prefill) * s.prefill.or(defaultPrefill)
}

// Service returns the expected time to the end of the answer.
func (s *Speed) Service(prefill, output int) time.Duration {
	return s.FirstToken(prefill) + time.Duration(output)*s.Decode()
}

// average is a moving average of seconds; zero bits mean no observation.
type average struct{ bits atomic.Uint64 }

func (a *average) add(seconds float64) {
	old := math.Float64frombits(a.bits.Load())
	if old == 0 {
		old = seconds
	}
	a.bits.Store(math.Float64bits(old + speedGain*(seconds-old)))
}

func (a *average) or(fallback time.Duration) time.Duration {
	seconds := math.Float64frombits(a.bits.Load())
	if seconds == 0 {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}
