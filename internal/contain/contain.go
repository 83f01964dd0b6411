// Package contain keeps a panic to the piece of work in which it occurred: one message, one
// request, or one run of a background task. What other pieces need must be left as it was, so
// that work that holds a lock releases it in a deferred call.
//
// A panic is a fault of the program. It is logged with its stack, at most once in lineInterval for
// each step, and counted.
package contain

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

const (
	// restartDelay is the delay before a background task is run again.
	restartDelay = time.Second
	// lineInterval is the least time between two lines of one step.
	lineInterval = time.Second
)

// panics counts the panics of the process that were contained.
var panics atomic.Uint64

// lines holds when the last line of each source was logged.
var lines sync.Map

// source is a step of an instance, which has one logger.
type source struct {
	logger *zap.Logger
	step   string
}

// Panics returns the number of panics of the process that were contained.
func Panics() uint64 { return panics.Load() }

// Run runs a piece of work, and reports whether it returned without a panic.
func Run(logger *zap.Logger, step string, work func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		value := recover()
		if value == nil {
			// The goroutine ends without a panic.
			return
		}
		count := panics.Add(1)
		if mayLog(source{logger, step}, time.Now()) {
			logger.Error("panic", zap.String("step", step), zap.Any("value", value), zap.Uint64("panics", count), zap.ByteString("stack", debug.Stack()))
		}
	}()
	work()
	return true
}

// mayLog reports whether a line of the source is due.
func mayLog(s source, now time.Time) bool {
	last, seen := lines.Swap(s, now)
	if seen && now.Sub(last.(time.Time)) < lineInterval {
		lines.Store(s, last)
		return false
	}
	return true
}

// Repeat runs a background task until it returns or the context ends. After a panic it runs the
// task again, since the instance does not work without it.
func Repeat(ctx context.Context, clock clockwork.Clock, logger *zap.Logger, step string, task func(context.Context)) {
	for !Run(logger, step, func() { task(ctx) }) {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(restartDelay):
		}
	}
}
