package schedule

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// Scheduler starts requests on targets. Its methods may be called from any
// goroutine.
type Scheduler struct {
	clock clockwork.Clock
	// news is signalled when other instances should hear of the load soon.
	news chan struct{}

	// mu guards all fields below.
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	targets  map[catalog.TargetKey]*target
	// byHash and serviceByHash find what reports name.
	byHash        map[uint32]*target
	serviceByHash map[uint32]*service
	// changed are the targets for Changes.
	changed map[*target]struct{}
	// peers are what other instances said last, by their name.
	peers map[string]*peerLoad
}

// service is the state of one service; Scheduler.mu guards it.
type service struct {
	targets []*target
	waiting [PriorityCount][]*waiter
	// elsewhere counts the requests that wait at other instances.
	elsewhere [PriorityCount]int
	// allowance is how many requests may start here before the next sum of
	// others' reports, where reports are gathered.
	allowance int
	// whole is the time of a whole answer.
	whole  pace
	reader reader
}

type waiter struct {
	request *Request
	until   time.Time
	result  chan *Grant
	// holding is set while the request waits for a better target although
	// others have room.
	holding bool
}

// New returns a scheduler without targets.
func New(clock clockwork.Clock, random *rand.Rand) *Scheduler {
	return &Scheduler{
		clock: clock, random: random, news: make(chan struct{}, 1),
		services: make(map[string]*service),
		targets:  make(map[catalog.TargetKey]*target),
		changed:  make(map[*target]struct{}),
		peers:    make(map[string]*peerLoad),
	}
}

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

// SetTargets replaces the targets. Those that are missing take no new work.
func (s *Scheduler) SetTargets(targets []*catalog.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[catalog.TargetKey]bool, len(targets))
	for _, info := range targets {
		listed[info.Key()] = true
		t := s.targets[info.Key()]
		if t == nil {
			t = &target{hash: Hash(info.ID)}
			s.targets[info.Key()] = t
		}
		t.info, t.withdrawn = info, false
	}
	for key, t := range s.targets {
		if listed[key] {
			continue
		}
		t.withdrawn = true
		if t.own == 0 {
			delete(s.targets, key)
		}
	}
	s.regroup()
	s.recountAll()
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

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{}
		s.services[name] = sv
	}
	return sv
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
	w := &waiter{request: r, until: r.Arrived.Add(waitBound(r)), result: make(chan *Grant, 1)}
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
		Reason: reason, Ahead: e.ahead, Places: e.places, Expected: e.wait,
		ReturnAfter: returnAfter(e.wait, r.Deadline.Sub(now), s.random.Float64()),
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
	at := slices.Index(queue, w)
	if at < 0 {
		return <-w.result, nil
	}
	sv.waiting[w.request.priority()] = slices.Delete(queue, at, at+1)
	now := s.clock.Now()
	return nil, s.refuse(sv, "no place became free in time", w.request, now)
}

// start places the request if a target has room. The lock is held.
func (s *Scheduler) start(sv *service, w *waiter, now time.Time) *Grant {
	r := w.request
	w.holding = false
	free := sv.free(now)
	_, summed := s.peers[gathered]
	if free <= sv.waitingElsewhereAbove(r.priority()) || (summed && sv.allowance <= 0) {
		return nil
	}
	t := s.choose(sv, r, now)
	if t == nil {
		w.holding = free > 0
		return nil
	}
	g := &Grant{
		Target: t.info, Waited: now.Sub(r.Arrived), Running: t.running(),
		scheduler: s, target: t, request: r, Ahead: t.reading(),
		Expected: sv.candidate(t, r, now, true).First,
	}
	t.own++
	t.prefilling += r.PromptTokens
	sv.allowance--
	s.tell(t, r.PromptTokens)
	return g
}

// choose returns the best target with room, or nil.
func (s *Scheduler) choose(sv *service, r *Request, now time.Time) *target {
	ignore := sv.mostEjected(now)
	bound := sv.hasVersionFor(r)
	candidates := make([]Candidate, 0, len(sv.targets))
	targets := make([]*target, 0, len(sv.targets))
	for _, t := range sv.targets {
		if (bound && !r.allows(t.info.Version)) || r.avoids(t.info.Key()) || !t.usable(now, ignore) {
			continue
		}
		candidates = append(candidates, sv.candidate(t, r, now, ignore))
		targets = append(targets, t)
	}
	if len(candidates) > sampleAbove {
		s.sample(candidates)
	}
	at := Place(r.ask(now), candidates, s.random.Float64)
	if at == Hold {
		return nil
	}
	return targets[at]
}

const (
	// sampleAbove is the number of targets above which a request is placed among
	// a random sample of those with room. Many instances with the same picture,
	// some hundred milliseconds old, would otherwise all choose the same few.
	sampleAbove = 24
	// sampleSize is the number of targets with room in a sample: enough that one
	// of the fastest third is among them.
	sampleSize = 8
)

// sample leaves only some of the candidates with room. The lock is held.
func (s *Scheduler) sample(candidates []Candidate) {
	free := make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Free {
			free = append(free, i)
		}
	}
	s.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	for at := sampleSize; at < len(free); at++ {
		candidates[free[at]].Free = false
	}
}

// hasVersionFor reports whether any target is of a version that the request
// may go to.
func (sv *service) hasVersionFor(r *Request) bool {
	for _, t := range sv.targets {
		if !t.info.Draining && r.allows(t.info.Version) {
			return true
		}
	}
	return false
}

// ask describes the request to Place.
func (r *Request) ask(now time.Time) Ask {
	waited := now.Sub(r.Arrived)
	return Ask{
		Left: r.Objective - waited, Gap: r.Gap,
		MayHold: waited < time.Duration(holdShare*float64(r.Objective)),
	}
}

// candidate describes a target to Place.
func (sv *service) candidate(t *target, r *Request, now time.Time, ignoreEjection bool) Candidate {
	c := Candidate{
		Running: t.running(), Slots: t.info.Slots,
		Free: t.room(now, ignoreEjection) > 0, Far: t.info.FailureDomain != r.FailureDomain,
	}
	if r.PromptTokens == 0 {
		c.First = sv.answerTime(t) * time.Duration(c.Running+1) / time.Duration(max(1, c.Slots))
		c.Whole = c.First
		return c
	}
	perToken := sv.tokenTime(t)
	ahead := sv.reader.time(t.reading(), perToken)
	read := sv.reader.time(r.PromptTokens, perToken)
	c.First = readFixed + ahead + read
	c.Whole = c.First + time.Duration(r.OutputTokens)*perToken
	if c.Running > 0 {
		c.Pause = min(ahead+read, time.Duration(max(1, r.TokensPerEvent))*sv.reader.time(chunkTokens, perToken))
	}
	if ahead > readAhead {
		c.Free = false
	}
	return c
}

// tokenTime returns the target's time per output token; one that is not known
// is taken to be as fast as the fastest, so that it is tried.
func (sv *service) tokenTime(t *target) time.Duration {
	return sv.paceOf(t, func(t *target) *pace { return &t.perToken }, defaultPace)
}

// answerTime is the same for the time of a whole answer.
func (sv *service) answerTime(t *target) time.Duration {
	return sv.paceOf(t, func(t *target) *pace { return &t.perAnswer }, defaultPace)
}

func (sv *service) paceOf(t *target, of func(*target) *pace, fallback time.Duration) time.Duration {
	if p := of(t); p.known() {
		return p.duration()
	}
	var best time.Duration
	for _, other := range sv.targets {
		if p := of(other); p.known() && (best == 0 || p.duration() < best) {
			best = p.duration()
		}
	}
	if best == 0 {
		return fallback
	}
	return best
}

// mostEjected reports whether so many targets are ejected that the cause is
// not the single target, and ejections are ignored.
func (sv *service) mostEjected(now time.Time) bool {
	ejected := 0
	for _, t := range sv.targets {
		if t.ejector.Ejected(now) {
			ejected++
		}
	}
	return routing.Floor(ejected, len(sv.targets))
}

// free counts the places that are free over all targets.
func (sv *service) free(now time.Time) int {
	ignore := sv.mostEjected(now)
	free := 0
	for _, t := range sv.targets {
		free += max(0, t.room(now, ignore))
	}
	return free
}

func (sv *service) waitingAtOrAbove(priority int) bool {
	for p := 0; p <= priority; p++ {
		if len(sv.waiting[p]) > 0 {
			return true
		}
	}
	return false
}

func (sv *service) waitingElsewhereAbove(priority int) int {
	n := 0
	for p := range priority {
		n += sv.elsewhere[p]
	}
	return n
}

// expectation is what a request that joins the queue has to expect.
type expectation struct {
	// ahead counts those that go first at all instances, places those of all
	// usable targets.
	ahead, places int
	wait          time.Duration
}

// expect predicts the wait of a request that joins the queue now, from those
// ahead of it and the rate at which places become free.
func (sv *service) expect(priority int, now time.Time) expectation {
	var e expectation
	for p := 0; p <= priority; p++ {
		e.ahead += len(sv.waiting[p]) + sv.elsewhere[p]
	}
	for _, t := range sv.targets {
		if t.usable(now, false) {
			e.places += t.info.Slots
		}
	}
	if e.places > 0 && sv.whole.known() {
		e.wait = time.Duration(e.ahead) * sv.whole.duration() / time.Duration(e.places)
	}
	return e
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

// Waiting reports whether any request waits here.
func (s *Scheduler) Waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		if sv.waitingAtOrAbove(PriorityCount - 1) {
			return true
		}
	}
	return false
}

// Pump looks again whether waiting requests can start, as after a pause has
// passed.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pumpAll()
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
