package contain

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// timerClock contains panics in the functions of its timers.
type timerClock struct {
	clockwork.Clock
	logger *zap.Logger
	step   string
}

// Clock returns a clock like the given one that keeps a panic to the function of a timer in which
// it occurred: a timer runs its function in a goroutine of its own, so that no caller contains it.
func Clock(clock clockwork.Clock, logger *zap.Logger, step string) clockwork.Clock {
	return timerClock{clock, logger, step}
}

// AfterFunc implements clockwork.Clock.
func (c timerClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return c.Clock.AfterFunc(d, func() { Run(c.logger, c.step, f) })
}
