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
	// Running is how many requests the target was taken to run before.
	Running int

	scheduler *Scheduler
	target    *target
	request   *Request
	// Ahead is the number of prompt tokens that were being read there before,
	// Expected the time to the first token that was predicted.
	Ahead    int
	Expected time.Duration
	// first and done are guarded by the scheduler's lock.
	first, done bool
}

// First records that the first part of the answer has come.
func (g *Grant) First(after time.Duration) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	g.leavePrefill()
	if tokens := g.request.PromptTokens; tokens > 0 && g.target.perToken.known() {
		s.service(g.request.Service).reader.observe(tokens+g.Ahead, after, g.target.perToken.duration())
	}
	s.pump(s.service(g.request.Service))
}

// Pace records that output tokens have come in the given time.
func (g *Grant) Pace(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.target.perToken.observe(took / time.Duration(tokens))
}

func (g *Grant) leavePrefill() {
	if !g.first {
		g.first = true
		g.target.prefilling -= g.request.PromptTokens
	}
}

// Done ends the request at its target; further calls do nothing.
func (g *Grant) Done(o Outcome) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	g.leavePrefill()
	g.target.own--
	g.target.record(&o, g.request.PromptTokens, s.clock.Now())
	sv := s.service(g.request.Service)
	// A place that became free here is this instance's to use again.
	sv.allowance = max(0, sv.allowance) + 1
	if o.Result == Complete {
		sv.whole.observe(o.Whole)
	}
	s.tell(g.target, 0)
	if g.target.withdrawn && g.target.own == 0 {
		delete(s.targets, g.target.info.Key())
		s.recountAll()
	}
	s.pump(sv)
}
