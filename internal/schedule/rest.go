package schedule

import (
	"math"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// restTolerance is the least difference by which a longer rest counts as a change.
	restTolerance = 100 * time.Millisecond
	// probationSlots is how many requests at a time a target gets that has asked for
	// rest, until it has begun to respond to one: it may have asked one instance only, or
	// be in need still when the rest ends.
	probationSlots = 1
	// otherInstanceRetryAfter is the least Retry-After, and that of a request whose
	// instance alone was asked for rest: callers reach another one when they try again.
	otherInstanceRetryAfter = 100 * time.Millisecond
	// restJitter is the width of the random part of a Retry-After at the end of a rest,
	// relative to it.
	restJitter = 0.2
)

// rests are the times until which a target wants no requests from instances.
type rests struct {
	// until holds them by the address of the instance; "" is this one.
	until map[string]time.Time
	// last is the end of the longest of them.
	last time.Time
	// askedAt is when the target last asked for rest, unless it has taken a request
	// since; zero otherwise. probing is the number of requests that run since then.
	askedAt time.Time
	probing int
	// lastAskedAt is when the target last asked for rest.
	lastAskedAt time.Time
}

// record records terms that may ask for rest. It reports whether the rest of the
// instance becomes longer.
func (r *rests) record(heard HeardTerms, now time.Time) (extended bool) {
	until := heard.At.Add(heard.Rest)
	if heard.Rest <= 0 || !until.After(now) {
		return false
	}
	for instance, end := range r.until {
		if !end.After(now) {
			delete(r.until, instance)
		}
	}
	known := r.until[heard.By]
	if !until.After(known) {
		return false
	}
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[heard.By] = until
	if until.After(r.last) {
		r.last = until
	}
	if extended = until.Sub(known) > restTolerance; extended {
		r.askedAt, r.lastAskedAt = now, now
	}
	return extended
}

// end returns the end of the rest of an instance; zero if there is none.
func (r *rests) end(instance string, now time.Time) time.Time {
	if end := r.until[instance]; end.After(now) {
		return end
	}
	return time.Time{}
}

// binds reports whether the target wants no requests from an instance now.
func (r *rests) binds(instance string, now time.Time) bool { return !r.end(instance, now).IsZero() }

// any reports whether the target wants no requests from some instance now.
func (r *rests) any(now time.Time) bool { return r.last.After(now) }

// count returns the number of instances that were asked for a rest that goes on.
func (r *rests) count(now time.Time) (instances int) {
	for instance := range r.until {
		if r.binds(instance, now) {
			instances++
		}
	}
	return instances
}

// nextEnd returns when the next rest ends; zero if there is none.
func (r *rests) nextEnd(now time.Time) (next time.Time) {
	if !r.any(now) {
		return next
	}
	for _, end := range r.until {
		if end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

func (r *rests) onProbation() bool { return !r.askedAt.IsZero() }

// admitted returns how many more requests may start.
func (r *rests) admitted() int {
	if !r.onProbation() {
		return math.MaxInt
	}
	return max(0, probationSlots-r.probing)
}

// prove ends the probation after the target has begun to respond to a request that was
// sent after it asked for rest.
func (r *rests) prove(sentAt time.Time) {
	if r.onProbation() && sentAt.After(r.askedAt) {
		r.askedAt = time.Time{}
	}
}

// isDraining reports whether the target takes no new requests, by its entry or by its
// own word.
func (t *target) isDraining() bool { return t.info.Draining || t.terms.IsLeaving }

// restEnd returns when the first target that could take the request takes some from its
// instance again, and whether the targets have asked other instances, too. The time is
// zero if any of them may take requests before, or if there are none.
func (sv *service) restEnd(r *Request, now time.Time) (end time.Time, othersAsked bool) {
	allowed := func(string) bool { return true }
	if sv.hasAllowedVersion(r) {
		allowed = r.AllowsVersion
	}
	for _, t := range sv.targets {
		if t.removed || t.isDraining() || !allowed(t.info.Version) || r.excludesTarget(t.info.Key()) {
			continue
		}
		targetEnd := t.rests.end(r.Instance, now)
		if targetEnd.IsZero() {
			return time.Time{}, false
		}
		othersAsked = othersAsked || t.rests.count(now) > 1
		if end.IsZero() || targetEnd.Before(end) {
			end = targetEnd
		}
	}
	return end, othersAsked
}

// restRetryAfter returns when a caller should return that is refused because all targets
// want no requests from its instance until a time.
func restRetryAfter(end time.Time, othersAsked bool, now time.Time, jitter float64) time.Duration {
	if !othersAsked {
		return time.Duration(float64(otherInstanceRetryAfter) * (1 + jitter))
	}
	return max(otherInstanceRetryAfter, time.Duration(float64(end.Sub(now))*(1+restJitter*jitter)))
}

// freeSlotsByInstance counts the free slots that requests of each instance may use.
type freeSlotsByInstance struct {
	service *service
	now     time.Time
	// all is the number of free slots of all targets, started the number of those taken
	// since.
	all, started int
	// anyRests is set if any target wants no requests from some instance.
	anyRests   bool
	byInstance map[string]int
}

func (sv *service) countFreeSlots(now time.Time) *freeSlotsByInstance {
	f := &freeSlotsByInstance{service: sv, now: now, all: sv.totalFreeSlots(now)}
	for _, t := range sv.targets {
		f.anyRests = f.anyRests || t.rests.any(now)
	}
	return f
}

// left returns how many slots the requests of an instance may use at most.
func (f *freeSlotsByInstance) left(instance string) int {
	if !f.anyRests {
		return f.all - f.started
	}
	free, known := f.byInstance[instance]
	if !known {
		free = f.service.freeSlotsFor(instance, f.now) + f.started
		if f.byInstance == nil {
			f.byInstance = make(map[string]int)
		}
		f.byInstance[instance] = free
	}
	return free - f.started
}

// freeSlotsFor returns the number of free slots of the targets that take requests from an
// instance.
func (sv *service) freeSlotsFor(instance string, now time.Time) int {
	ignoreEjection := sv.ignoreEjections(now)
	free := 0
	for _, t := range sv.targets {
		if !t.rests.binds(instance, now) {
			free += max(0, t.freeSlots(now, ignoreEjection))
		}
	}
	return free
}

// freeSlotsForAll returns the number of free slots of the targets that take requests from
// all instances.
func (sv *service) freeSlotsForAll(now time.Time) int {
	ignoreEjection := sv.ignoreEjections(now)
	free := 0
	for _, t := range sv.targets {
		if !t.rests.any(now) {
			free += max(0, t.freeSlots(now, ignoreEjection))
		}
	}
	return free
}

// IsLeaving reports whether a target states that it leaves.
func (s *Scheduler) IsLeaving(key catalog.TargetKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[key]
	return t != nil && t.terms.IsLeaving
}

// Blocks reports whether a target takes no requests from this instance now, by its own
// word.
func (s *Scheduler) Blocks(key catalog.TargetKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[key]
	return t != nil && (t.terms.IsLeaving || t.rests.binds("", s.clock.Now()))
}
