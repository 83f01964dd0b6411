package admission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// maxAside bounds how many requests that do not fit are passed over in one
// tier before the rest of the tier waits too.
const maxAside = 8

// pool is this entry's state of one pool.
type pool struct {
	controller *Controller
	name       string
	budget     *routing.RetryBudget
	// targets are the usable ones; the slice is replaced, never changed.
	targets atomic.Pointer[[]*target]
	// waiting mirrors the length of queue.
	waiting atomic.Int64
	// best is the speed of the fastest target whose speed is known.
	best atomic.Pointer[estimate.Speed]
	// finished sums the work of complete answers.
	finished atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	queue queue
	// all holds dropped targets too while requests run there.
	all  map[string]*target
	rate drainRate
}

func newPool(c *Controller, name string) *pool {
	p := &pool{controller: c, name: name, budget: routing.NewRetryBudget(), all: make(map[string]*target)}
	p.targets.Store(&[]*target{})
	p.best.Store(&estimate.Speed{})
	return p
}

// refresh takes the pool's present targets.
func (p *pool) refresh(now time.Time) {
	listed := p.controller.options.Targets(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := make([]*target, 0, len(listed))
	for i := range listed {
		info := &listed[i]
		t := p.all[info.Name]
		if t == nil {
			t = newTarget(info, now)
			p.all[info.Name] = t
		}
		t.info.Store(info)
		usable = append(usable, t)
	}
	p.targets.Store(&usable)
	for name, t := range p.all {
		if !slices.Contains(usable, t) && t.runningSlots.Load() == 0 {
			delete(p.all, name)
		}
	}
}

// refreshBest finds the fastest target.
func (p *pool) refreshBest(now time.Time) {
	var best *estimate.Speed
	for _, t := range *p.targets.Load() {
		if t.known(now) && (best == nil || t.speed.TimePerToken() < best.TimePerToken()) {
			best = &t.speed
		}
	}
	if best != nil {
		p.best.Store(best)
	}
}

// speed returns the target's speed. One not known is taken to be as fast as
// the fastest, so that it is tried.
func (p *pool) speed(t *target, now time.Time) *estimate.Speed {
	if t.known(now) {
		return &t.speed
	}
	return p.best.Load()
}

// usable reports whether requests may be sent to the target's version.
func (p *pool) usable(t *target) bool {
	versions := p.controller.options.Versions
	return versions == nil || versions.Usable(p.name, t.info.Load().Version)
}

// place starts the request on the target that the policy chooses among those
// with room; nil when there is none. Skip holds targets kept for others.
func (p *pool) place(ticket *ticket, now time.Time, skip []*target) *Grant {
	scratch := p.controller.scratch.Get().(*scratch)
	defer p.controller.scratch.Put(scratch)
	wanted := p.version(ticket)
	scratch.reset()
	favorite, reuse := p.favorite(ticket, wanted, skip)
	if p.holdsOut(ticket, favorite, reuse, now) {
		ticket.heldFor = favorite
		return nil
	}
	ticket.heldFor = nil
	for _, t := range *p.targets.Load() {
		if p.eligible(t, ticket, wanted, skip) && t.roomFor(ticket) == fits {
			c := t.candidate(ticket, now, p.speed(t, now))
			if t == favorite {
				c.CachedShare = reuse
			}
			scratch.add(t, c)
		}
	}
	ask := routing.Request{
		FailureDomain: ticket.request.FailureDomain,
		PromptTokens:  ticket.request.PromptTokens, OutputTokens: ticket.output,
		Random: ticket.random, Sequence: p.controller.turn.Add(1),
	}
	for len(scratch.candidates) > 0 {
		i := p.controller.options.Policy.Pick(ask, scratch.candidates)
		if g := p.start(scratch.targets[i], ticket, now); g != nil {
			return g
		}
		scratch.remove(i)
	}
	return nil
}

func (p *pool) version(ticket *ticket) string {
	versions := p.controller.options.Versions
	if versions == nil {
		return ""
	}
	r := ticket.request
	return versions.Pick(p.name, r.Route, ticket.tier, r.Idempotent, uniform(ticket.random))
}

func (p *pool) eligible(t *target, ticket *ticket, wanted string, skip []*target) bool {
	info := t.info.Load()
	if wanted != "" && info.Version != wanted {
		return false
	}
	return !ticket.request.Avoid[info.Name] && !slices.Contains(skip, t) && p.usable(t)
}

func (p *pool) start(t *target, ticket *ticket, now time.Time) *Grant {
	g := &Grant{
		controller: p.controller, pool: p, target: t, ticket: ticket,
		info: t.info.Load(), preempted: make(chan struct{}),
	}
	if !t.start(g, now) {
		return nil
	}
	if prefix := ticket.request.Prefix; len(prefix) > 0 {
		g.reuse = t.prefix.Match(prefix)
		t.prefix.RecordDispatch(prefix)
	}
	return g
}

// enqueue adds the request and lets it start if it can by now.
func (p *pool) enqueue(t *ticket, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controller.draining.Load() && !t.request.Stays {
		return ErrDraining
	}
	t.result = make(chan result, 1)
	t.waiting = true
	p.waiting.Add(1)
	p.queue.tiers[t.tier].push(t)
	p.pump(now)
	return nil
}

func (p *pool) pumpIfWaiting(now time.Time) {
	if p.waiting.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(now)
}

// pump starts waiting requests in order while they fit. The lock is held.
func (p *pool) pump(now time.Time) {
	var kept []*target
	for tier := range p.queue.tiers {
		q := &p.queue.tiers[tier]
		var aside []*flow
		for f := q.peek(); f != nil && len(aside) < maxAside; f = q.peek() {
			t := f.tickets[0]
			if g := p.place(t, now, kept); g != nil {
				q.pop(f)
				p.controller.counters.admitted(t.tier, now.Sub(t.arrived))
				p.deliver(t, result{grant: g})
				continue
			}
			if keep := p.keepFor(t, kept); t.heldFor == nil && keep != nil {
				kept = append(kept, keep)
			}
			q.setAside(f)
			aside = append(aside, f)
		}
		q.restore(aside)
	}
}

// keepFor returns the target on which the request will fit first, when all
// that it lacks is KV tokens.
func (p *pool) keepFor(ticket *ticket, kept []*target) *target {
	wanted := p.version(ticket)
	var best *target
	var most int64
	for _, t := range *p.targets.Load() {
		if !p.eligible(t, ticket, wanted, kept) || t.roomFor(ticket) != lacksTokens {
			continue
		}
		if free := t.allowedTokens.Load() - t.runningTokens.Load(); best == nil || free > most {
			best, most = t, free
		}
	}
	return best
}

// deliver gives the waiting request its one result. The lock is held.
func (p *pool) deliver(t *ticket, r result) {
	t.waiting = false
	p.waiting.Add(-1)
	t.result <- r
}

// giveUp takes a waiting request out of the queue. The lock is held.
func (p *pool) giveUp(t *ticket, err error) {
	p.queue.tiers[t.tier].remove(t)
	p.deliver(t, result{err: err})
}

// abandon ends the wait of a request whose caller has gone.
func (p *pool) abandon(t *ticket, now time.Time) {
	p.mu.Lock()
	if t.waiting {
		p.giveUp(t, ErrDraining)
		p.pump(now)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if r := <-t.result; r.grant != nil {
		r.grant.Finish(Outcome{Kind: Cancelled})
	}
}

// drain gives all waiting requests back but those that stay.
func (p *pool) drain() (returned int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tier := range p.queue.tiers {
		for _, t := range p.queue.tiers[tier].ordered() {
			if t.request.Stays {
				continue
			}
			p.giveUp(t, ErrDraining)
			returned++
		}
	}
	return returned
}

// refreshEjections publishes which targets take nothing now. When too large a
// part of the pool would be left alone, those that return first are used.
func (p *pool) refreshEjections(now time.Time) {
	type ejected struct {
		target *target
		until  time.Time
	}
	targets := *p.targets.Load()
	var out []ejected
	for _, t := range targets {
		t.mu.Lock()
		shunned := now.Before(t.shunned)
		t.ejected.Store(shunned)
		if !shunned && t.ejector.Ejected(now) {
			t.ejected.Store(true)
			out = append(out, ejected{t, t.ejector.EjectedUntil()})
		}
		t.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ejected) int { return cmp.Compare(a.until.UnixNano(), b.until.UnixNano()) })
	for len(out) > 0 && routing.TooManyEjected(len(out), len(targets)) {
		out[0].target.ejected.Store(false)
		out = out[1:]
	}
}

// scratch holds the candidates of one routing decision.
type scratch struct {
	candidates []routing.Candidate
	targets    []*target
}

func (s *scratch) reset() {
	s.candidates = s.candidates[:0]
	s.targets = s.targets[:0]
}

func (s *scratch) add(t *target, c routing.Candidate) {
	s.candidates = append(s.candidates, c)
	s.targets = append(s.targets, t)
}

func (s *scratch) remove(i int) {
	s.candidates = slices.Delete(s.candidates, i, i+1)
	s.targets = slices.Delete(s.targets, i, i+1)
}
