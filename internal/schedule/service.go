package schedule

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// service is the state of one service; Scheduler.mu guards it.
type service struct {
	targets []*target
	waiting [PriorityCount][]*waiter
	// whole is the time of a whole answer.
	whole  pace
	reader reader
}

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{}
		s.services[name] = sv
	}
	return sv
}

// choose returns the best target with room, or nil.
func (s *Scheduler) choose(sv *service, r *Request, now time.Time) *target {
	ignore := sv.mostEjected(now)
	bound := sv.hasVersionFor(r)
	candidates := make([]Candidate, 0, len(sv.targets))
	targets := make([]*target, 0, len(sv.targets))
	for _, t := range sv.targets {
		if (bound && !r.Allows(t.info.Version)) || r.avoids(t.info.Key()) || !t.usable(now, ignore) {
			continue
		}
		candidates = append(candidates, sv.candidate(t, r, now, ignore))
		targets = append(targets, t)
	}
	at := Place(r.ask(now), candidates, s.random.Float64)
	if at == Hold {
		return nil
	}
	return targets[at]
}

// hasVersionFor reports whether any target is of a version that the request
// may go to.
func (sv *service) hasVersionFor(r *Request) bool {
	for _, t := range sv.targets {
		if !t.info.Draining && r.Allows(t.info.Version) {
			return true
		}
	}
	return false
}

// ask describes the request to Place.
func (r *Request) ask(now time.Time) Ask {
	waited := now.Sub(r.Arrived)
	return Ask{
		Left: r.Objective - waited, Gap: r.Gap, Patience: max(minPatience, patienceObjectives*r.Objective),
		MayHold: waited < time.Duration(holdShare*float64(r.Objective)),
	}
}

// candidate describes a target to Place.
func (sv *service) candidate(t *target, r *Request, now time.Time, ignoreEjection bool) Candidate {
	c := Candidate{
		Running: t.running, Slots: t.info.Slots,
		Free: t.room(now, ignoreEjection) > 0, Far: t.info.FailureDomain != r.FailureDomain,
	}
	if r.PromptTokens == 0 {
		c.First = sv.answerTime(t) * time.Duration(c.Running+1) / time.Duration(max(1, c.Slots))
		c.Whole = c.First
		return c
	}
	perToken := sv.tokenTime(t)
	ahead := sv.reader.time(t.reading, perToken)
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
	p := of(t)
	if p.known() && t.running > 0 {
		return p.duration()
	}
	known := make([]time.Duration, 0, len(sv.targets))
	for _, other := range sv.targets {
		if p := of(other); p.known() {
			known = append(known, p.duration())
		}
	}
	if len(known) == 0 {
		return fallback
	}
	slices.Sort(known)
	if !p.known() {
		return known[0]
	}
	return min(p.duration(), idleMedians*known[(len(known)-1)/2])
}

// idleMedians bounds what is believed of an idle target's pace, in medians of
// all: it was learnt under a load that has gone. Targets differ by a factor of
// two from the median.
const idleMedians = 2

// mostEjected reports whether so many targets are ejected that the cause is
// not the single target, and ejections are ignored.
func (sv *service) mostEjected(now time.Time) bool {
	ejected := 0
	for _, t := range sv.targets {
		if t.ejector.Ejected(now) {
			ejected++
		}
	}
	return routing.TooManyEjected(ejected, len(sv.targets))
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

// expectation is what a request that joins the queue has to expect.
type expectation struct {
	// ahead counts those that go first, places those of all usable targets.
	ahead, places int
	wait          time.Duration
}

// expect predicts the wait of a request that joins the queue now, from those
// ahead of it and the rate at which places become free.
func (sv *service) expect(priority int, now time.Time) expectation {
	var e expectation
	for p := 0; p <= priority; p++ {
		e.ahead += len(sv.waiting[p])
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
