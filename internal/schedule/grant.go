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

	execution ExecutionObserver
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
func NewGrant(g Grant, execution ExecutionObserver) *Grant {
	g.execution = execution
	return &g
}

// ResponseStarted records that the first part of the answer has come.
func (g *Grant) ResponseStarted(after time.Duration) { g.execution.ResponseStarted(after) }

// TokensReceived records that output tokens have come in the given time.
func (g *Grant) TokensReceived(tokens int, took time.Duration) {
	if tokens > 0 {
		g.execution.TokensReceived(tokens, took)
	}
}

// Done ends the request at its target; further calls do nothing.
func (g *Grant) Done(o Outcome) { g.execution.Done(o) }

// run is a request that runs on a target of the scheduler.
type run struct {
	scheduler *Scheduler
	target    *target
	request   *Request
	// ahead is the number of prompt tokens that were being read there before.
	ahead int
	// first and done are guarded by the scheduler's lock.
	first, done bool
}

// ResponseStarted implements Execution.
func (r *run) ResponseStarted(after time.Duration) {
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	r.leavePrefill()
	if tokens := r.request.PromptTokens; tokens > 0 && r.target.perToken.known() {
		s.service(r.request.Service).reader.observe(tokens+r.ahead, after, r.target.perToken.duration())
	}
	s.pump(s.service(r.request.Service))
}

// TokensReceived implements Execution.
func (r *run) TokensReceived(tokens int, took time.Duration) {
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	r.target.perToken.observe(took / time.Duration(tokens))
}

func (r *run) leavePrefill() {
	if !r.first {
		r.first = true
		r.target.reading -= r.request.PromptTokens
	}
}

// Done implements Execution.
func (r *run) Done(o Outcome) {
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.leavePrefill()
	r.target.running--
	if o.Tokens > 0 {
		r.target.perToken.observe(o.TokenSpan / time.Duration(o.Tokens))
	}
	r.target.record(&o, r.request.PromptTokens, s.clock.Now())
	sv := s.service(r.request.Service)
	if o.Result == Complete {
		sv.whole.observe(o.Duration)
	}
	if r.target.withdrawn && r.target.running == 0 {
		delete(s.targets, r.target.info.Key())
	}
	s.pump(sv)
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
	ahead := t.reading
	t.running++
	t.reading += r.PromptTokens
	return NewGrant(Grant{Target: t.info}, &run{scheduler: s, target: t, request: r, ahead: ahead})
}
