package measure

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// scaledClock runs faster than the real clock by a factor, so that work that
// is planned in minutes can be measured in seconds.
type scaledClock struct {
	real   clockwork.Clock
	origin time.Time
	factor float64
}

func newScaledClock(factor float64) *scaledClock {
	real := clockwork.NewRealClock()
	return &scaledClock{real: real, origin: real.Now(), factor: factor}
}

// toReal converts a duration of this clock to one of the real clock.
func (c *scaledClock) toReal(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.factor)
}

func (c *scaledClock) Now() time.Time {
	passed := c.real.Since(c.origin)
	return c.origin.Add(time.Duration(float64(passed) * c.factor))
}

func (c *scaledClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *scaledClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func (c *scaledClock) Sleep(d time.Duration) { c.real.Sleep(c.toReal(d)) }

func (c *scaledClock) After(d time.Duration) <-chan time.Time { return c.real.After(c.toReal(d)) }

func (c *scaledClock) NewTimer(d time.Duration) clockwork.Timer {
	return scaledTimer{c.real.NewTimer(c.toReal(d)), c}
}

func (c *scaledClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return scaledTimer{c.real.AfterFunc(c.toReal(d), f), c}
}

func (c *scaledClock) NewTicker(d time.Duration) clockwork.Ticker {
	return scaledTicker{c.real.NewTicker(max(c.toReal(d), 1)), c}
}

// scaledTimer scales resets.
type scaledTimer struct {
	clockwork.Timer
	clock *scaledClock
}

func (t scaledTimer) Reset(d time.Duration) bool { return t.Timer.Reset(t.clock.toReal(d)) }

// scaledTicker scales resets.
type scaledTicker struct {
	clockwork.Ticker
	clock *scaledClock
}

func (t scaledTicker) Reset(d time.Duration) { t.Ticker.Reset(max(t.clock.toReal(d), 1)) }
