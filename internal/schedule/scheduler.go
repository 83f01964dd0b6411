package schedule

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/fairqueue"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// Scheduler starts requests on targets. It is safe for concurrent use.
type Scheduler struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	targets  map[catalog.TargetKey]*target
	share    share
	// lastSequence numbers requests by arrival.
	lastSequence uint64
	// ticks counts the calls of StartQueued.
	ticks uint64

	counters Counters
}

// New returns a scheduler without targets.
func New(clock clockwork.Clock, random *rand.Rand) *Scheduler {
	return &Scheduler{
		clock: clock, random: random, services: make(map[string]*service),
		targets: make(map[catalog.TargetKey]*target),
	}
}

// SetTargets replaces the targets. Targets that are no longer listed take no new
// requests.
func (s *Scheduler) SetTargets(targets []*catalog.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	present := make(map[catalog.TargetKey]bool, len(targets))
	for _, info := range targets {
		present[info.Key()] = true
		t := s.targets[info.Key()]
		if t == nil {
			t = &target{share: s.share, prefixes: routing.NewPrefixIndex(maxCachedParts)}
			s.targets[info.Key()] = t
		}
		t.info, t.removed = info, false
		t.limiter.setCold(info.Limits, t.share.rate(), now)
	}
	for key, t := range s.targets {
		if present[key] {
			continue
		}
		t.removed = true
		if !t.isStateNeeded(now) {
			delete(s.targets, key)
		}
	}
	s.rebuildServices()
	s.startAllQueued()
}

// rebuildServices lists the targets of each service, ordered by ID.
func (s *Scheduler) rebuildServices() {
	for _, sv := range s.services {
		sv.targets = sv.targets[:0]
	}
	for _, t := range s.targets {
		if !t.removed {
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

// QueuedRequest is a request that waits for a slot.
type QueuedRequest struct {
	scheduler *Scheduler
	entry     *queueEntry
}

// Granted returns the channel that delivers the grant once a slot is free.
func (q *QueuedRequest) Granted() <-chan *Grant { return q.entry.granted }

// WaitDeadline returns when the wait should end or be extended.
func (q *QueuedRequest) WaitDeadline() time.Time { return q.scheduler.waitDeadline(q.entry) }

// ExtendWait is called at the WaitDeadline. It lets the request wait longer, behind all that
// can still be answered within their objectives, if it is expected to start in time for its
// caller; WaitDeadline is later then.
func (q *QueuedRequest) ExtendWait() bool { return q.scheduler.extendWait(q.entry) }

// Dequeue removes the request from the queue. It returns the grant if the request
// has been started in the meantime, and a *RefusedError otherwise.
func (q *QueuedRequest) Dequeue() (*Grant, error) { return q.scheduler.dequeue(q.entry) }

// Withdraw removes the request from the queue because it is queued elsewhere. It returns the
// grant if the request has been started in the meantime.
func (q *QueuedRequest) Withdraw() *Grant { return q.scheduler.withdraw(q.entry) }

// Cancel ends the wait of a request whose caller has disconnected.
func (q *QueuedRequest) Cancel() { q.scheduler.cancel(q.entry) }

// Submit starts the request immediately or queues it; the error is a
// *RefusedError.
func (s *Scheduler) Submit(r *Request) (*Grant, *QueuedRequest, error) {
	grant, entry, err := s.submit(r)
	if entry == nil {
		return grant, nil, err
	}
	return nil, &QueuedRequest{scheduler: s, entry: entry}, nil
}

// Acquire waits until the request may start. The error is a *RefusedError or that
// of the context.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	grant, entry, err := s.submit(r)
	if entry == nil {
		return grant, err
	}
	for {
		timer := s.clock.NewTimer(s.waitDeadline(entry).Sub(s.clock.Now()))
		select {
		case g := <-entry.granted:
			timer.Stop()
			return g, nil
		case <-ctx.Done():
			timer.Stop()
			s.cancel(entry)
			return nil, ctx.Err()
		case <-timer.Chan():
			if !s.extendWait(entry) {
				return s.dequeue(entry)
			}
		}
	}
}

// submit starts the request immediately, refuses it or queues it.
func (s *Scheduler) submit(r *Request) (*Grant, *queueEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	sv := s.service(r.Service)
	sv.arrivals.add(1, now, arrivalWindow)
	sv.recentArrivals.add(1, now, recentWindow)
	s.lastSequence++
	entry := &queueEntry{
		request: r, waitDeadline: sv.waitDeadline(r, now), returning: sv.promises.redeem(r.Fingerprint, now),
		cost: sv.work(r), sequence: s.lastSequence, granted: make(chan *Grant, 1),
	}
	goesFirst := !sv.queues.hasQueuedAtOrAbove(r.priority())
	bypasses := !goesFirst && sv.queues.tiers[r.priority()].Len() == 0 && sv.mayBypass(r, now)
	// A request that arrives past its objective, for example from the queue of a coordinator that
	// has ended, does not take the slots that overdue requests leave free.
	queuesLate := sv.mayBeOverdue(r) && now.After(entry.waitDeadline) && sv.queues.overdueCount() > 0
	if (goesFirst || bypasses) && !queuesLate && sv.freeSlotsFor(r.Instance, now) > 0 {
		if g := s.start(sv, entry, now); g != nil {
			sv.queues.charge(entry)
			if bypasses {
				sv.useBypass(r, now)
			}
			return g, nil, nil
		}
	}
	if sv.isEvacuated() {
		return nil, nil, s.refusedError(sv, reasonEvacuated, entry, now)
	}
	if end, _ := sv.restEnd(r, now); end.After(entry.waitDeadline) {
		return nil, nil, s.refusedError(sv, reasonRest, entry, now)
	}
	late := entry.returning && sv.mayBeOverdue(r) || now.Add(sv.estimateQueue(entry, now).wait).After(entry.waitDeadline)
	if late && !s.becomesOverdue(sv, entry, now) {
		return nil, nil, s.refusedError(sv, "the expected wait is too long", entry, now)
	}
	sv.queues.push(entry)
	s.startQueued(sv)
	return nil, entry, nil
}

// becomesOverdue marks a request that cannot be answered within its objective any more, if it
// is expected to start in time for its caller all the same.
func (s *Scheduler) becomesOverdue(sv *service, entry *queueEntry, now time.Time) bool {
	latest := sv.lateDeadline(entry.request, now)
	wait, bounded := sv.estimateOverdue(sv.queues.overdueAhead(entry), now)
	if !bounded || now.Add(wait).After(latest) {
		return false
	}
	entry.overdue, entry.waitDeadline = true, latest
	if next := now.Add(overdueCheckInterval); next.Before(latest) {
		entry.waitDeadline = next
	}
	return true
}

func (s *Scheduler) waitDeadline(entry *queueEntry) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return entry.waitDeadline
}

// extendWait implements QueuedRequest.ExtendWait.
func (s *Scheduler) extendWait(entry *queueEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.service(entry.request.Service)
	now := s.clock.Now()
	if now.Before(entry.waitDeadline) {
		return true
	}
	if entry.overdue {
		return sv.queues.contains(entry) && s.becomesOverdue(sv, entry, now) && entry.waitDeadline.After(now)
	}
	if !sv.queues.remove(entry) {
		return false
	}
	if s.becomesOverdue(sv, entry, now) && entry.waitDeadline.After(now) {
		sv.queues.push(entry)
		s.startQueued(sv)
		return true
	}
	// Dequeue refuses it.
	sv.queues.push(entry)
	return false
}

// reasonRest is the reason given for requests whose instance all targets have asked for
// rest.
const reasonRest = "the targets take no requests from this instance for now"

// reasonEvacuated is the reason given for requests that no target will take, since the failure
// domains are evacuated.
const reasonEvacuated = "the failure domains of all targets are evacuated"

func (s *Scheduler) refusedError(sv *service, reason string, entry *queueEntry, now time.Time) error {
	r, e := entry.request, sv.estimateQueue(entry, now)
	refused := &RefusedError{Reason: reason, QueuedAhead: e.queuedAhead, Slots: e.slots, ExpectedWait: e.wait, Terms: sv.describeTerms(now)}
	if end, othersAsked := sv.restEnd(r, now); !end.IsZero() {
		refused.Reason, refused.ExpectedWait = reasonRest, end.Sub(now)
		refused.RetryAfter = restRetryAfter(end, othersAsked, now, s.random.Float64())
		return refused
	}
	sv.outcomes[r.priority()].record(false, now)
	refused.RetryAfter = s.retryAfter(sv, r, e.wait, now)
	refused.withdraw = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		sv.outcomes[r.priority()].withdrawRefusal(s.clock.Now())
		sv.promises.withdraw(r.Fingerprint, now.Add(refused.RetryAfter))
	}
	return refused
}

// cancel ends the wait of a request whose caller has disconnected, and releases
// the slot if one has been granted.
func (s *Scheduler) cancel(entry *queueEntry) {
	if g := s.withdraw(entry); g != nil {
		g.Done(Outcome{Result: Cancelled})
	}
}

// withdraw removes a request from its queue without a refusal. It returns the grant if the
// request has been started in the meantime.
func (s *Scheduler) withdraw(entry *queueEntry) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeOut(entry)
}

// takeOut removes a request from its queue. It returns the grant if the request has been
// started in the meantime. The caller holds s.mu.
func (s *Scheduler) takeOut(entry *queueEntry) *Grant {
	entry.waitEnded = entry.waitEnded || s.service(entry.request.Service).queues.remove(entry)
	select {
	case g := <-entry.granted:
		return g
	default:
		return nil
	}
}

// dequeue removes a request from its queue. It returns the grant if the request
// has been started in the meantime.
func (s *Scheduler) dequeue(entry *queueEntry) (*Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.waitEnded {
		// Its wait has been ended without a refusal.
		return nil, &RefusedError{Reason: reasonNoSlot}
	}
	if g := s.takeOut(entry); g != nil {
		return g, nil
	}
	return nil, s.refusedError(s.service(entry.request.Service), reasonNoSlot, entry, s.clock.Now())
}

// reasonNoSlot is the reason given for requests whose wait has ended.
const reasonNoSlot = "no place became free in time"

// start places the request if a target is available. The caller holds s.mu.
func (s *Scheduler) start(sv *service, entry *queueEntry, now time.Time) *Grant {
	r := entry.request
	t := s.selectTarget(sv, r, now)
	if t == nil {
		s.countMemoryWait(sv, entry, now)
		return nil
	}
	e := s.newExecution(t, r, now)
	g := NewGrant(Grant{
		Target: t.info, Waited: now.Sub(r.ArrivedAt), RunningBefore: t.running, PrefillAhead: t.prefillTokens,
		ExpectedTimeToFirst: sv.candidate(t, r, now, true).TimeToFirst, ExpectedTokenTime: sv.seenTokenTime(t),
		CachedTokens: e.cachedTokens,
	}, e)
	t.addRunning(e, now)
	sv.outcomes[r.priority()].record(!entry.overdue, now)
	return g
}

// startAllQueued starts the queued requests of all services that can start. The
// caller holds s.mu.
func (s *Scheduler) startAllQueued() {
	for _, sv := range s.services {
		sv.queues.purge()
		s.startQueued(sv)
	}
}

func (s *Scheduler) startQueued(sv *service) {
	now := s.clock.Now()
	if sv.queues.isEmpty() {
		return
	}
	free := sv.countFreeSlots(now)
	skipped := 0
	visit := func(entry *queueEntry) fairqueue.Decision {
		if free.all-free.started <= 0 || skipped >= maxSkipped {
			// A long queue is not searched for every slot that becomes free.
			return fairqueue.Stop
		}
		if free.left(entry.request.Instance) <= 0 {
			return fairqueue.Skip
		}
		g := s.start(sv, entry, now)
		if g == nil {
			skipped++
			return fairqueue.Skip
		}
		entry.granted <- g
		free.started++
		return fairqueue.Take
	}
	s.startBypassing(sv, now, visit)
	for priority := range sv.queues.tiers {
		skipped = 0
		sv.queues.tiers[priority].Scan(visit)
	}
	skipped = 0
	free.all -= int(overdueReserve * float64(sv.usableSlots(now)))
	sv.queues.scanOverdue(visit)
	s.wakeForTerms(sv, now)
}

// maxSkipped bounds the requests of a tier that are examined in vain for the slots that are
// free: under overload, free slots may be of no use for long prompts.
const maxSkipped = 6

// startBypassing starts short requests of lower tiers that may go before the others.
func (s *Scheduler) startBypassing(sv *service, now time.Time, visit func(*queueEntry) fairqueue.Decision) {
	for priority := 1; priority < PriorityCount; priority++ {
		q := &sv.queues.tiers[priority]
		if q.Len() == 0 || !sv.queues.hasQueuedAtOrAbove(priority-1) {
			continue
		}
		q.Scan(func(entry *queueEntry) fairqueue.Decision {
			if !sv.mayBypass(entry.request, now) {
				return fairqueue.Stop
			}
			decision := visit(entry)
			if decision == fairqueue.Take {
				sv.useBypass(entry.request, now)
			}
			return decision
		})
	}
}

// HasQueued reports whether any request is queued here.
func (s *Scheduler) HasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		if !sv.queues.isEmpty() {
			return true
		}
	}
	return false
}

// StartQueued starts queued requests that can start by now, for example because a
// backoff has ended.
func (s *Scheduler) StartQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startAllQueued()
	if s.ticks++; s.ticks%ticksPerExpiry == 0 {
		s.expirePrefixes()
	}
}

// ticksPerExpiry is the number of calls of StartQueued, five a second, after which parts of
// prompts that are too old are dropped.
const ticksPerExpiry = 100
