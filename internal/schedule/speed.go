package schedule

import (
	"math"
	"time"
)

const (
	// recentWeight and usualWeight are the weights of one sample in the two averages of a
	// tokenTimeEstimate. A target with 6 to 9 streams of some 1.5 s reports about ten
	// samples a second, so the recent average follows a turn of 0.6 s within a few samples
	// and the usual one lasts for some seconds.
	recentWeight = 0.5
	usualWeight  = 0.05
	// recentDecay is the time after the last sample in which the recent average falls back
	// to the usual one by a factor of e: half of a slow turn of 0.6 s.
	recentDecay = 300 * time.Millisecond
)

// tokenTimeEstimate estimates the time per output token of a target whose speed changes for
// parts of a second. What has been seen recently counts as long as there are samples.
// Without new ones the estimate returns to the usual time, so that a target that was slow
// when it last ran a stream is used again. The zero value has no sample.
//
// It is made for targets that are 2.5 times slower in turns of 0.6 s.
type tokenTimeEstimate struct {
	recent, usual durationEWMA
	// observedAt is the time of the last sample.
	observedAt time.Time
}

func (e *tokenTimeEstimate) known() bool { return e.usual.known() }

// observe adds a sample.
func (e *tokenTimeEstimate) observe(sample time.Duration, now time.Time) {
	if sample <= 0 {
		return
	}
	e.recent.seconds = e.at(now).Seconds()
	e.recent.observeWeighted(sample, recentWeight)
	e.usual.observeWeighted(sample, usualWeight)
	e.observedAt = now
}

// at returns the estimate at a time; 0 if there is no sample.
func (e *tokenTimeEstimate) at(now time.Time) time.Duration {
	left := math.Exp(-max(0, now.Sub(e.observedAt).Seconds()) / recentDecay.Seconds())
	usual := e.usual.duration()
	return usual + time.Duration(left*float64(e.recent.duration()-usual))
}

// longest returns the longer of the usual and the recent time.
func (e *tokenTimeEstimate) longest() time.Duration {
	return max(e.usual.duration(), e.recent.duration())
}
