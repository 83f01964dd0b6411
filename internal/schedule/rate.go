package schedule

import (
	"math"
	"time"
)

// rateSpan is the time constant of a rate: a few times the length of a
// typical answer.
const rateSpan = 2 * time.Second

// rate is an exponentially decaying count of events a second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.decayed(now) + 1/rateSpan.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) }

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateSpan.Seconds())
}
