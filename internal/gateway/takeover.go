package gateway

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
)

// takeover looks for another target while the current one is silent. The current
// exchange stays open meanwhile, since a sound target may pause: it goes on if its
// target sends something first, and is cancelled once the other target has begun to
// respond. R is the response of the other target.
//
// While a search runs, the state of the request belongs to its goroutine; settle
// gives it back to the goroutine that serves the request.
type takeover[R any] struct {
	ctx    context.Context
	logger *zap.Logger
	// cancelCurrent ends the current exchange.
	cancelCurrent context.CancelFunc
	// search looks for another target until the context ends, and returns its
	// response and whether there is one.
	search func(context.Context) (R, bool)
	// discard ends a response that is not used.
	discard func(R)
	// onStart is called before each search.
	onStart func()

	// winner is the exchange that goes on.
	winner atomic.Int32
	// cancel ends the search; nil before the first one. done is closed at its end.
	cancel context.CancelFunc
	done   chan struct{}
	// response is valid if winner is otherTarget.
	response R
}

// The values of takeover.winner.
const (
	undecided int32 = iota
	currentTarget
	otherTarget
)

// isSearching reports whether a search runs.
func (t *takeover[R]) isSearching() bool {
	if t.done == nil {
		return false
	}
	select {
	case <-t.done:
		return false
	default:
		return true
	}
}

// start starts a search unless one runs or has succeeded. Only the goroutine that
// serves the request calls it.
func (t *takeover[R]) start() {
	if t.isSearching() || t.winner.Load() != undecided {
		return
	}
	t.stop()
	t.onStart()
	ctx, cancel := context.WithCancel(t.ctx)
	done := make(chan struct{})
	t.cancel, t.done = cancel, done
	go func() {
		defer close(done)
		// After a panic, the search has found nothing.
		contain.Run(t.logger, "search for another target", func() { t.run(ctx) })
	}()
}

// run searches, and hands the response over if the current target has not sent anything.
func (t *takeover[R]) run(ctx context.Context) {
	response, ok := t.search(ctx)
	switch {
	case !ok:
	case t.winner.CompareAndSwap(undecided, otherTarget):
		t.response = response
		t.cancelCurrent()
	default:
		t.discard(response)
	}
}

// stop ends the search, if there is one, and waits for its end.
func (t *takeover[R]) stop() {
	if t.cancel != nil {
		t.cancel()
		<-t.done
	}
}

// settle decides which exchange goes on, given whether the current target has sent
// what it was waited for. If it has not, its exchange is over, and a search that
// runs is waited for. It returns the response of the other target if that goes on.
// A nil takeover is one without a search.
func (t *takeover[R]) settle(currentResponds bool) (response R, replaced bool) {
	if t == nil {
		return response, false
	}
	if currentResponds && t.winner.CompareAndSwap(undecided, currentTarget) {
		t.stop()
		return response, false
	}
	<-t.done
	if t.winner.Load() == otherTarget {
		return t.response, true
	}
	t.cancel()
	return response, false
}

// abandon ends the search, and a response that it has found, after a panic in the goroutine that
// serves the request.
func (t *takeover[R]) abandon() {
	if t == nil || t.done == nil {
		return
	}
	if response, replaced := t.settle(true); replaced {
		t.discard(response)
	}
}
