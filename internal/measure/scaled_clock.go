package measure

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// scaledClock runs faster than its base clock by a factor, so that a process of
// minutes can be measured in seconds.
type scaledClock struct {
	base   clockwork.Clock
	origin time.Time
	factor float64
}

func newScaledClock(factor float64) *scaledClock {
	base := clockwork.NewRealClock()
	return &scaledClock{base: base, origin: base.Now(), factor: factor}
}

// toReal converts a duration of this clock to one of the base clock.
func (c *scaledClock) toReal(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.factor)
}

func (c *scaledClock) Now() time.Time {
	elapsed := c.base.Since(c.origin)
	return c.origin.Add(time.Duration(float64(elapsed) * c.factor))
}

func (c *scaledClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *scaledClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func (c *scaledClock) Sleep(d time.Duration) { c.base.Sleep(c.toReal(d)) }

func (c *scaledClock) After(d time.Duration) <-chan time.Time { return c.base.After(c.toReal(d)) }

func (c *scaledClock) NewTimer(d time.Duration) clockwork.Timer {
	return scaledTimer{c.base.NewTimer(c.toReal(d)), c}
}

func (c *scaledClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return scaledTimer{c.base.AfterFunc(c.toReal(d), f), c}
}

func (c *scaledClock) NewTicker(d time.Duration) clockwork.Ticker {
	return scaledTicker{c.base.NewTicker(max(c.toReal(d), 1)), c}
}

// scaledTimer is a timer of the base clock whose Reset scales the duration.
type scaledTimer struct {
	clockwork.Timer
	clock *scaledClock
}

func (t scaledTimer) Reset(d time.Duration) bool { return t.Timer.Reset(t.clock.toReal(d)) }

// scaledTicker is a ticker of the base clock whose Reset scales the duration.
type scaledTicker struct {
	clockwork.Ticker
	clock *scaledClock
}

func (t scaledTicker) Reset(d time.Duration) { t.Ticker.Reset(max(t.clock.toReal(d), 1)) }
