package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// Grant is the permit to run one request on a target; Done ends it.
type Grant struct {
	Target *catalog.Target
	// Waited is how long the request was queued.
	Waited time.Duration
	// RunningBefore is the number of requests counted at the target before this
	// one.
	RunningBefore int
	// PrefillAhead is the number of prompt tokens in prefill at the target before
	// this request, ExpectedTimeToFirst the expected time to the first part of the
	// response.
	PrefillAhead        int
	ExpectedTimeToFirst time.Duration
	// CachedTokens is the number of prompt tokens expected to be cached at the target.
	CachedTokens int
	// ExpectedTokenTime is the time per output token that this instance has seen at the
	// target, or the longest at any target of the service; 0 if it has seen none.
	ExpectedTokenTime time.Duration
	// Coordinator is the address of the instance that granted the slot; "" if
	// this instance did so without a coordinator.
	Coordinator string

	observer ExecutionObserver
}

// ExecutionObserver receives the events of a granted request.
type ExecutionObserver interface {
	// ResponseStarted records the arrival of the first part of the response; 0 is an unknown
	// time.
	ResponseStarted(after time.Duration)
	// TokensReceived records output tokens received within the given time; 0 is an unknown one.
	TokensReceived(tokens int, took time.Duration)
	// Silent records that the target has sent nothing for too long.
	Silent()
	// TermsStated records the terms in the header of the response.
	TermsStated(Terms)
	// Done ends the request at its target; further calls have no effect.
	Done(Outcome)
}

// NewGrant returns a copy of a grant that reports to another observer.
func NewGrant(g Grant, observer ExecutionObserver) *Grant {
	g.observer = observer
	return &g
}

// ResponseStarted records the arrival of the first part of the response.
func (g *Grant) ResponseStarted(after time.Duration) { g.observer.ResponseStarted(after) }

// TokensReceived records output tokens received within the given time.
func (g *Grant) TokensReceived(tokens int, took time.Duration) {
	if tokens > 0 {
		g.observer.TokensReceived(tokens, took)
	}
}

// Silent records that the target has sent nothing for too long.
func (g *Grant) Silent() { g.observer.Silent() }

// TermsStated records the terms in the header of the response.
func (g *Grant) TermsStated(terms Terms) { g.observer.TermsStated(terms) }

// HeldTokens returns the memory counted for the request at its target; 0 if unknown.
func (g *Grant) HeldTokens() int {
	e, ok := g.observer.(*execution)
	if !ok {
		return 0
	}
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	return e.heldTokens
}

// Done ends the request at its target; further calls have no effect.
func (g *Grant) Done(o Outcome) { g.observer.Done(o) }

// execution is a request that runs on a target of the scheduler.
type execution struct {
	scheduler *Scheduler
	target    *target
	request   *Request
	// prefillAhead is the number of prompt tokens in prefill at the target when
	// the request was placed.
	prefillAhead int
	// placed is set if the request was placed here. cachedTokens is the number of its
	// prompt tokens expected to be cached at the target, prefillTokens that of the others.
	placed                      bool
	cachedTokens, prefillTokens int
	// heldTokens is the memory counted for the request at the target.
	heldTokens int
	// startedAt is when the request was placed.
	startedAt time.Time
	// probing is set if the target was on probation when the request was placed.
	probing bool
	// responseStarted and ended are guarded by Scheduler.mu.
	responseStarted, ended bool
}

// ResponseStarted implements ExecutionObserver.
func (e *execution) ResponseStarted(after time.Duration) {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e.endPrefill()
	e.recordPrefix(s.clock.Now())
	e.target.rests.prove(e.startedAt)
	if e.request.PromptTokens > 0 && e.target.tokenTime.known() {
		s.service(e.request.Service).prefill.observe(e.prefillTokens+e.prefillAhead, after, e.target.tokenTime.at(s.clock.Now()))
	}
	s.startQueued(s.service(e.request.Service))
}

// TokensReceived implements ExecutionObserver.
func (e *execution) TokensReceived(tokens int, took time.Duration) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	e.target.tokenTime.observe(took/time.Duration(tokens), e.scheduler.clock.Now())
}

// Silent implements ExecutionObserver.
func (e *execution) Silent() {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	if !e.ended {
		e.target.ejector.RecordFailure(e.scheduler.clock.Now())
	}
}

// TermsStated implements ExecutionObserver.
func (e *execution) TermsStated(terms Terms) {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordTerms(e.target, HeardTerms{Terms: terms, At: s.clock.Now()}, e.startedAt)
}

func (e *execution) endPrefill() {
	if !e.responseStarted {
		e.responseStarted = true
		e.target.prefillTokens -= e.prefillTokens
	}
}

// Done implements ExecutionObserver.
func (e *execution) Done(o Outcome) {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.endPrefill()
	e.releaseMemory()
	if o.Tokens > 0 {
		e.target.tokenTime.observe(o.TokenSpan/time.Duration(o.Tokens), s.clock.Now())
	}
	e.target.recordOutcome(&o, e.request.PromptTokens, s.clock.Now())
	if e.probing {
		e.target.rests.probing--
	}
	sv := s.service(e.request.Service)
	if o.Result == Complete {
		e.target.rests.prove(e.startedAt)
		sv.responseTime.observe(o.TotalTime)
	}
	s.releaseSlot(e.target, sv, o.Result)
	s.dropUnlisted(e.target)
	s.startQueued(sv)
}

// dropUnlisted deletes a target that is no longer listed once its state is not
// needed. The caller holds s.mu.
func (s *Scheduler) dropUnlisted(t *target) {
	if t.removed && !t.isStateNeeded(s.clock.Now()) && s.targets[t.info.Key()] == t {
		delete(s.targets, t.info.Key())
	}
}

// RegisterRunning counts a request that already runs on a target, having been
// placed by another scheduler. It returns nil if the target is not known.
func (s *Scheduler) RegisterRunning(key catalog.TargetKey, r *Request) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[key]
	if t == nil {
		return nil
	}
	now := s.clock.Now()
	e := &execution{scheduler: s, target: t, request: r, prefillAhead: t.prefillTokens, startedAt: now}
	t.addRunning(e, now)
	return NewGrant(Grant{Target: t.info, ExpectedTokenTime: s.service(r.Service).seenTokenTime(t)}, e)
}
