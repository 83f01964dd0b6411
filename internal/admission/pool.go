package admission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/fairqueue"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// maxSkipped is how many accounts whose next request does not fit are skipped in
// one tier before the rest of the tier waits as well.
const maxSkipped = 8

// pool is this entry's state of one pool.
type pool struct {
	controller  *Controller
	name        string
	retryBudget *routing.RetryBudget
	// targets points to the listed targets; the slice is replaced, never modified.
	targets atomic.Pointer[[]*target]
	// waiting mirrors the length of queue.
	waiting atomic.Int64
	// bestSpeed is the speed of the target with the least known time per token.
	bestSpeed atomic.Pointer[estimate.Speed]
	// completedCost sums the cost of completed requests.
	completedCost atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	queue queue
	// allTargets also holds targets that are no longer listed while requests run
	// there.
	allTargets map[string]*target
	rate       drainRate
}

func newPool(c *Controller, name string) *pool {
	p := &pool{controller: c, name: name, retryBudget: routing.NewRetryBudget(), allTargets: make(map[string]*target)}
	p.targets.Store(&[]*target{})
	p.bestSpeed.Store(&estimate.Speed{})
	return p
}

// refresh updates the pool's targets from the list.
func (p *pool) refresh(now time.Time) {
	listed := p.controller.options.Targets(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := make([]*target, 0, len(listed))
	for i := range listed {
		info := &listed[i]
		t := p.allTargets[info.Name]
		if t == nil {
			t = newTarget(info, now)
			p.allTargets[info.Name] = t
		}
		t.info.Store(info)
		usable = append(usable, t)
	}
	p.targets.Store(&usable)
	for name, t := range p.allTargets {
		if !slices.Contains(usable, t) && t.runningSlots.Load() == 0 {
			delete(p.allTargets, name)
		}
	}
}

// refreshBestSpeed finds the target with the least known time per token.
func (p *pool) refreshBestSpeed(now time.Time) {
	var best *estimate.Speed
	for _, t := range *p.targets.Load() {
		if t.speedKnown(now) && (best == nil || t.speed.TimePerToken() < best.TimePerToken()) {
			best = &t.speed
		}
	}
	if best != nil {
		p.bestSpeed.Store(best)
	}
}

// speed returns the target's speed. A target of unknown speed is assumed to be as
// fast as the fastest, so that it receives requests.
func (p *pool) speed(t *target, now time.Time) *estimate.Speed {
	if t.speedKnown(now) {
		return &t.speed
	}
	return p.bestSpeed.Load()
}

// versionUsable reports whether targets of this target's version may receive
// requests.
func (p *pool) versionUsable(t *target) bool {
	selector := p.controller.options.VersionSelector
	return selector == nil || selector.Usable(p.name, t.info.Load().Version)
}

// tryStart starts the request on the target that the policy picks among those with
// capacity, or returns nil if there is none. Targets in reserved are left out.
func (p *pool) tryStart(job *job, now time.Time, reserved []*target) *Grant {
	scratch := p.controller.scratchPool.Get().(*scratch)
	defer p.controller.scratchPool.Put(scratch)
	version := p.requiredVersion(job)
	scratch.reset()
	preferred, reuse := p.preferredTarget(job, version, reserved)
	if p.waitsForPreferred(job, preferred, reuse, now) {
		job.affinityTarget = preferred
		return nil
	}
	job.affinityTarget = nil
	for _, t := range *p.targets.Load() {
		if p.eligible(t, job, version, reserved) && t.checkFit(job) == fits {
			c := t.candidate(job, now, p.speed(t, now))
			if t == preferred {
				c.CachedShare = reuse
			}
			scratch.add(t, c)
		}
	}
	request := routing.Request{
		FailureDomain: job.request.FailureDomain,
		PromptTokens:  job.request.PromptTokens, OutputTokens: job.expectedOutput,
		Random: job.random, Sequence: p.controller.routingTurn.Add(1),
	}
	for len(scratch.candidates) > 0 {
		i := p.controller.options.Policy.Pick(request, scratch.candidates)
		if g := p.start(scratch.targets[i], job, now); g != nil {
			return g
		}
		scratch.remove(i)
	}
	return nil
}

func (p *pool) requiredVersion(job *job) string {
	selector := p.controller.options.VersionSelector
	if selector == nil {
		return ""
	}
	r := job.request
	return selector.Pick(p.name, r.Route, job.tier, r.Idempotent, uniform(job.random))
}

func (p *pool) eligible(t *target, job *job, version string, reserved []*target) bool {
	info := t.info.Load()
	if version != "" && info.Version != version {
		return false
	}
	return !job.request.ExcludedTargets[info.Name] && !slices.Contains(reserved, t) && p.versionUsable(t)
}

func (p *pool) start(t *target, job *job, now time.Time) *Grant {
	g := &Grant{
		controller: p.controller, pool: p, target: t, job: job,
		info: t.info.Load(), preempted: make(chan struct{}),
	}
	if !t.start(g, now) {
		return nil
	}
	if prefix := job.request.PrefixHashes; len(prefix) > 0 {
		g.expectedReuse = t.prefixIndex.Match(prefix)
		t.prefixIndex.RecordDispatch(prefix)
	}
	return g
}

// enqueue queues the request and starts queued requests that fit.
func (p *pool) enqueue(j *job, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controller.draining.Load() && !j.request.WaitThroughDrain {
		return ErrDraining
	}
	j.result = make(chan result, 1)
	j.waiting = true
	p.waiting.Add(1)
	p.queue.tiers[j.tier].Push(j)
	p.startQueued(now)
	return nil
}

func (p *pool) startQueuedIfAny(now time.Time) {
	if p.waiting.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startQueued(now)
}

// startQueued starts queued requests in order while they fit. The lock must be
// held.
func (p *pool) startQueued(now time.Time) {
	var reserved []*target
	for tier := range p.queue.tiers {
		skipped := 0
		p.queue.tiers[tier].Scan(func(j *job) fairqueue.Decision {
			if skipped >= maxSkipped {
				return fairqueue.Stop
			}
			if g := p.tryStart(j, now, reserved); g != nil {
				p.controller.counters.recordAdmitted(j.tier, now.Sub(j.arrivedAt))
				p.resolve(j, result{grant: g})
				return fairqueue.Take
			}
			if reserve := p.targetToReserve(j, reserved); j.affinityTarget == nil && reserve != nil {
				reserved = append(reserved, reserve)
			}
			skipped++
			return fairqueue.SkipAccount
		})
	}
}

// targetToReserve returns the target with the most free KV tokens among those
// where the request lacks only KV tokens, since it is expected to fit there first.
func (p *pool) targetToReserve(job *job, reserved []*target) *target {
	version := p.requiredVersion(job)
	var best *target
	var mostFree int64
	for _, t := range *p.targets.Load() {
		if !p.eligible(t, job, version, reserved) || t.checkFit(job) != lacksTokens {
			continue
		}
		if free := t.allowedTokens.Load() - t.runningTokens.Load(); best == nil || free > mostFree {
			best, mostFree = t, free
		}
	}
	return best
}

// resolve sends the queued request its one result. The lock must be held.
func (p *pool) resolve(j *job, r result) {
	j.waiting = false
	p.waiting.Add(-1)
	j.result <- r
}

// failQueued removes the request from the queue and sends it an error. The lock
// must be held.
func (p *pool) failQueued(j *job, err error) {
	p.queue.tiers[j.tier].Remove(j)
	p.resolve(j, result{err: err})
}

// cancelWait ends the wait of a request whose caller has gone. If it was granted
// meanwhile, the grant is finished.
func (p *pool) cancelWait(j *job, now time.Time) {
	p.mu.Lock()
	if j.waiting {
		p.failQueued(j, ErrDraining)
		p.startQueued(now)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if r := <-j.result; r.grant != nil {
		r.grant.Finish(Outcome{Kind: Cancelled})
	}
}

// drain fails all queued requests with ErrDraining, except those with
// WaitThroughDrain.
func (p *pool) drain() (returned int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tier := range p.queue.tiers {
		for _, queued := range p.queue.tiers[tier].InOrder() {
			j := queued.Item
			if j.request.WaitThroughDrain {
				continue
			}
			p.failQueued(j, ErrDraining)
			returned++
		}
	}
	return returned
}

// refreshEjections publishes which targets receive no requests now. If too large a
// share of the pool is ejected, the ejections that end first are ignored.
func (p *pool) refreshEjections(now time.Time) {
	type ejection struct {
		target *target
		until  time.Time
	}
	targets := *p.targets.Load()
	var ejections []ejection
	for _, t := range targets {
		t.mu.Lock()
		leaving := now.Before(t.leavingUntil)
		t.ejected.Store(leaving)
		if !leaving && t.ejector.Ejected(now) {
			t.ejected.Store(true)
			ejections = append(ejections, ejection{t, t.ejector.EjectedUntil()})
		}
		t.mu.Unlock()
	}
	slices.SortFunc(ejections, func(a, b ejection) int { return cmp.Compare(a.until.UnixNano(), b.until.UnixNano()) })
	for len(ejections) > 0 && routing.TooManyEjected(len(ejections), len(targets)) {
		ejections[0].target.ejected.Store(false)
		ejections = ejections[1:]
	}
}

// scratch holds the candidates of one routing decision for reuse.
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
