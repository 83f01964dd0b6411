package target

import (
	"context"
	"sync"
)

// progress is one run at an engine. Its events are a function of the request,
// so only their number is kept: events 1 to MaxTokens are tokens, and the next
// one is the explicit end.
type progress struct {
	id      string
	request CompletionRequest
	prompt  string
	path    string
	index   int // position in the journal
	bad     symptoms
	crashes bool
	kv      int // tokens of memory that the run holds
	uncache int // prompt tokens to prefill
	cancel  context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	tokens  int
	end     RunStatus
	changed chan struct{} // closed and replaced at each change
}

// symptoms are what a bad version does to one request.
type symptoms struct {
	shows bool
	fails bool
	slow  float64
	noEnd bool
}

// snapshot returns the tokens produced, the end, and a channel that is closed
// at the next change.
func (p *progress) snapshot() (tokens int, end RunStatus, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens, p.end, p.changed
}

// add records one more token.
func (p *progress) add() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens++
	p.wake()
}

// finish records the end unless there is one. It runs record with the number
// of tokens before any waiter learns of the end.
func (p *progress) finish(end RunStatus, record func(tokens int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != StatusRunning {
		return
	}
	p.end = end
	record(p.tokens)
	p.wake()
}

// wake tells all waiters of a change; p.mu is held.
func (p *progress) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// wait blocks until the run has ended or ctx is done.
func (p *progress) wait(ctx context.Context) (tokens int, end RunStatus, err error) {
	for {
		tokens, end, changed := p.snapshot()
		if end != StatusRunning {
			return tokens, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return tokens, end, ctx.Err()
		}
	}
}
