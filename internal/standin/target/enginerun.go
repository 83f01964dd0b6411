package target

import (
	"context"
	"sync"
)

// engineRun is the state of one run at an engine. The events are a function of
// the request, so only their number is stored: events 1 to MaxTokens are tokens,
// and the next one is the end marker.
type engineRun struct {
	id             string
	request        CompletionRequest
	prompt         string
	path           string
	recordIndex    int // index in the run log
	fault          faultEffects
	crashesEngine  bool
	kvTokens       int // KV cache tokens that the run occupies
	uncachedTokens int // prompt tokens to prefill
	cancel         context.CancelFunc

	// mu guards the fields below.
	mu              sync.Mutex
	generatedTokens int
	status          RunStatus
	changed         chan struct{} // closed and replaced at each change
}

// faultEffects are the effects of a version fault on one request.
type faultEffects struct {
	affected bool
	fails    bool
	slowdown float64
	omitEnd  bool
}

// snapshot returns the number of generated tokens, the status, and a channel
// that is closed at the next change.
func (r *engineRun) snapshot() (tokens int, status RunStatus, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generatedTokens, r.status, r.changed
}

// addToken counts one more generated token.
func (r *engineRun) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generatedTokens++
	r.notifyWaiters()
}

// finish sets the final status unless the run has already ended. It calls record
// with the number of tokens before any waiter can see the new status.
func (r *engineRun) finish(status RunStatus, record func(tokens int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status != StatusRunning {
		return
	}
	r.status = status
	record(r.generatedTokens)
	r.notifyWaiters()
}

// notifyWaiters wakes all waiters after a change. The caller holds r.mu.
func (r *engineRun) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// wait blocks until the run has ended or ctx is done.
func (r *engineRun) wait(ctx context.Context) (tokens int, status RunStatus, err error) {
	for {
		tokens, status, changed := r.snapshot()
		if status != StatusRunning {
			return tokens, status, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return tokens, status, ctx.Err()
		}
	}
}
