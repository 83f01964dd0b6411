package schedule

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// Scheduler starts requests on targets. Its methods may be called from any
// goroutine.
type Scheduler struct {
	clock clockwork.Clock

	// mu guards all fields below.
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	targets  map[catalog.TargetKey]*target
}

type waiter struct {
	request *Request
	until   time.Time
	result  chan *Grant
}

// New returns a scheduler without targets.
func New(clock clockwork.Clock, random *rand.Rand) *Scheduler {
	return &Scheduler{
		clock: clock, random: random, services: make(map[string]*service),
		targets: make(map[catalog.TargetKey]*target),
	}
}

// SetTargets replaces the targets. Those that are missing take no new work.
func (s *Scheduler) SetTargets(targets []*catalog.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[catalog.TargetKey]bool, len(targets))
	for _, info := range targets {
		listed[info.Key()] = true
		t := s.targets[info.Key()]
		if t == nil {
			t = &target{}
			s.targets[info.Key()] = t
		}
		t.info, t.withdrawn = info, false
	}
	for key, t := range s.targets {
		if listed[key] {
			continue
		}
		t.withdrawn = true
		if t.running == 0 {
			delete(s.targets, key)
		}
	}
	s.regroup()
	s.pumpAll()
}

// regroup lists the targets by service, in a fixed order.
func (s *Scheduler) regroup() {
	for _, sv := range s.services {
		sv.targets = sv.targets[:0]
	}
	for _, t := range s.targets {
		if !t.withdrawn {
			sv := s.service(t.info.Service)
			sv.targets = append(sv.targets, t)
		}
	}
	for _, sv := range s.services {
		slices.SortFunc(sv.targets, func(a, b *target) int {
			if a.info.ID < b.info.ID {
				return -1
			}
			return 1
		})
	}
}

// QueuedRequest is a request that waits for a place.
type QueuedRequest struct {
	scheduler *Scheduler
	waiter    *waiter
}

// Granted delivers the place once there is one.
func (w *QueuedRequest) Granted() <-chan *Grant { return w.waiter.result }

// WaitDeadline is when the wait should end.
func (w *QueuedRequest) WaitDeadline() time.Time { return w.waiter.until }

// Dequeue takes the request out of the queue: it returns the grant if it has been
// started meanwhile, and a *RefusedError otherwise.
func (w *QueuedRequest) Dequeue() (*Grant, error) { return w.scheduler.expire(w.waiter) }

// Cancel ends the wait of a request whose caller has gone.
func (w *QueuedRequest) Cancel() { w.scheduler.abandon(w.waiter) }

// Submit starts the request at once or lets it wait; the error is a
// *RefusedError.
func (s *Scheduler) Submit(r *Request) (*Grant, *QueuedRequest, error) {
	grant, w, err := s.submit(r)
	if w == nil {
		return grant, nil, err
	}
	return nil, &QueuedRequest{scheduler: s, waiter: w}, nil
}

// Availability returns how many places of a service's targets are free and how many
// requests wait for one here.
func (s *Scheduler) Availability(service string) (free, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.services[service]
	if sv == nil {
		return 0, 0
	}
	for _, queue := range sv.waiting {
		waiting += len(queue)
	}
	return sv.free(s.clock.Now()), waiting
}

// Acquire waits until the request may start. The error is a *RefusedError or
// the context's.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	grant, w, err := s.submit(r)
	if w == nil {
		return grant, err
	}
	timer := s.clock.NewTimer(w.until.Sub(s.clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.result:
		return g, nil
	case <-ctx.Done():
		s.abandon(w)
		return nil, ctx.Err()
	case <-timer.Chan():
		return s.expire(w)
	}
}

// submit starts the request at once, refuses it, or lets it wait.
func (s *Scheduler) submit(r *Request) (*Grant, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	sv := s.service(r.Service)
	w := &waiter{request: r, until: waitUntil(r), result: make(chan *Grant, 1)}
	if !sv.waitingAtOrAbove(r.priority()) {
		if g := s.start(sv, w, now); g != nil {
			return g, nil, nil
		}
	}
	if now.Add(sv.expect(r.priority(), now).wait).After(w.until) {
		return nil, nil, s.refuse(sv, "the expected wait is too long", r, now)
	}
	sv.waiting[r.priority()] = append(sv.waiting[r.priority()], w)
	s.pump(sv)
	return nil, w, nil
}

func (s *Scheduler) refuse(sv *service, reason string, r *Request, now time.Time) error {
	e := sv.expect(r.priority(), now)
	return &RefusedError{
		Reason: reason, QueuedAhead: e.ahead, Slots: e.places, ExpectedWait: e.wait,
		RetryAfter: returnAfter(e.wait, r.Deadline.Sub(now), s.random.Float64()),
	}
}

// abandon ends the wait of a request whose caller has gone.
func (s *Scheduler) abandon(w *waiter) {
	if g, _ := s.expire(w); g != nil {
		g.Done(Outcome{Result: Cancelled})
	}
}

// expire takes a request out of the queue; if it has been started meanwhile it
// returns the grant.
func (s *Scheduler) expire(w *waiter) (*Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.service(w.request.Service)
	queue := sv.waiting[w.request.priority()]
	now := s.clock.Now()
	if at := slices.Index(queue, w); at >= 0 {
		sv.waiting[w.request.priority()] = slices.Delete(queue, at, at+1)
		return nil, s.refuse(sv, "no place became free in time", w.request, now)
	}
	select {
	case g := <-w.result:
		return g, nil
	default:
		// The wait has been ended before.
	}
	return nil, s.refuse(sv, "no place became free in time", w.request, now)
}

// start places the request if a target has room. The lock is held.
func (s *Scheduler) start(sv *service, w *waiter, now time.Time) *Grant {
	r := w.request
	t := s.choose(sv, r, now)
	if t == nil {
		return nil
	}
	g := NewGrant(Grant{
		Target: t.info, Waited: now.Sub(r.ArrivedAt), RunningBefore: t.running, PrefillAhead: t.reading,
		ExpectedFirst: sv.candidate(t, r, now, true).TimeToFirst,
	}, &run{scheduler: s, target: t, request: r, ahead: t.reading})
	t.running++
	t.reading += r.PromptTokens
	return g
}

// pumpAll starts what waits and can be started. The lock is held.
func (s *Scheduler) pumpAll() {
	for _, sv := range s.services {
		s.pump(sv)
	}
}

func (s *Scheduler) pump(sv *service) {
	now := s.clock.Now()
	if !sv.waitingAtOrAbove(PriorityCount-1) || sv.free(now) == 0 {
		return
	}
	for p := range sv.waiting {
		kept := sv.waiting[p][:0]
		for _, w := range sv.waiting[p] {
			if g := s.start(sv, w, now); g != nil {
				w.result <- g
				continue
			}
			kept = append(kept, w)
		}
		clear(sv.waiting[p][len(kept):])
		sv.waiting[p] = kept
	}
}

// HasQueued reports whether any request waits here.
func (s *Scheduler) HasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		if sv.waitingAtOrAbove(PriorityCount - 1) {
			return true
		}
	}
	return false
}

// StartQueued looks again whether waiting requests can start, as after a pause has
// passed.
func (s *Scheduler) StartQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pumpAll()
}
