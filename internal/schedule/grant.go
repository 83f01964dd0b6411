package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// Grant is the right to run one request on a target; Done ends it.
type Grant struct {
	Target *catalog.Target
	// Waited is how long the request waited for its place.
	Waited time.Duration
	// RunningBefore is how many requests the target was taken to run before.
	RunningBefore int
	// PrefillAhead is the number of prompt tokens that were being read there before,
	// Expected the time to the first token that was predicted.
	PrefillAhead  int
	ExpectedFirst time.Duration
	// Coordinator is the address of the instance that gave the place; "" when
	// this one did without asking.
	Coordinator string

	observer ExecutionObserver
}

// ExecutionObserver learns how a granted request fares at its target.
type ExecutionObserver interface {
	// ResponseStarted records that the first part of the answer has come.
	ResponseStarted(after time.Duration)
	// TokensReceived records that output tokens have come in the given time.
	TokensReceived(tokens int, took time.Duration)
	// Done ends the request at its target; further calls do nothing.
	Done(Outcome)
}

// NewGrant returns a copy of a grant that reports to another execution.
func NewGrant(g Grant, observer ExecutionObserver) *Grant {
	g.observer = observer
	return &g
}

// ResponseStarted records that the first part of the answer has come.
func (g *Grant) ResponseStarted(after time.Duration) { g.observer.ResponseStarted(after) }

// TokensReceived records that output tokens have come in the given time.
func (g *Grant) TokensReceived(tokens int, took time.Duration) {
	if tokens > 0 {
		g.observer.TokensReceived(tokens, took)
	}
}

// Done ends the request at its target; further calls do nothing.
func (g *Grant) Done(o Outcome) { g.observer.Done(o) }

// execution is a request that runs on a target of the scheduler.
type execution struct {
	scheduler *Scheduler
	target    *target
	request   *Request
	// prefillAhead is the number of prompt tokens that were being read there before.
	prefillAhead int
	// responseStarted and ended are guarded by the scheduler's lock.
	responseStarted, ended bool
}

// ResponseStarted implements Execution.
func (e *execution) ResponseStarted(after time.Duration) {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e.endPrefill()
	if tokens := e.request.PromptTokens; tokens > 0 && e.target.tokenTime.known() {
		s.service(e.request.Service).prefill.observe(tokens+e.prefillAhead, after, e.target.tokenTime.duration())
	}
	s.startQueued(s.service(e.request.Service))
}

// TokensReceived implements Execution.
func (e *execution) TokensReceived(tokens int, took time.Duration) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	e.target.tokenTime.observe(took / time.Duration(tokens))
}

func (e *execution) endPrefill() {
	if !e.responseStarted {
		e.responseStarted = true
		e.target.prefillTokens -= e.request.PromptTokens
	}
}

// Done implements Execution.
func (e *execution) Done(o Outcome) {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.endPrefill()
	e.target.running--
	if o.Tokens > 0 {
		e.target.tokenTime.observe(o.TokenSpan / time.Duration(o.Tokens))
	}
	e.target.recordOutcome(&o, e.request.PromptTokens, s.clock.Now())
	sv := s.service(e.request.Service)
	if o.Result == Complete {
		sv.responseTime.observe(o.Duration)
	}
	if e.target.removed && e.target.running == 0 {
		delete(s.targets, e.target.info.Key())
	}
	s.startQueued(sv)
}

// RegisterRunning counts a request that runs already on a target, placed by another;
// nil when the target is not known.
func (s *Scheduler) RegisterRunning(key catalog.TargetKey, r *Request) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[key]
	if t == nil {
		return nil
	}
	prefillAhead := t.prefillTokens
	t.running++
	t.prefillTokens += r.PromptTokens
	return NewGrant(Grant{Target: t.info}, &execution{scheduler: s, target: t, request: r, prefillAhead: prefillAhead})
}
