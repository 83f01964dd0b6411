package schedule

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// service is the state of one service, guarded by Scheduler.mu.
type service struct {
	targets []*target
	queues  *queues
	// arrivals counts the requests, outcomes what became of them by priority.
	arrivals, recentArrivals decayingCount
	outcomes                 [PriorityCount]tierOutcomes
	medians                  medians
	bypass                   bypass
	promises                 promises
	// responseTime is the average time of a complete response.
	responseTime durationEWMA
	prefill      prefillModel
	// wakeAt is when queued requests are looked at again because of a rate limit or a rest.
	wakeAt time.Time
}

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{queues: newQueues()}
		s.services[name] = sv
	}
	return sv
}

// selectTarget returns the best available target, or nil. A request that has been
// assigned to a version goes to another one rather than wait for rate limits or rests.
func (s *Scheduler) selectTarget(sv *service, r *Request, now time.Time) *target {
	if !sv.hasAllowedVersion(r) {
		return s.selectAmong(sv, r, now, func(string) bool { return true })
	}
	t := s.selectAmong(sv, r, now, r.AllowsVersion)
	if t == nil && r.Version != "" && sv.isHeldBack(r, now) {
		return s.selectAmong(sv, r, now, func(version string) bool { return r.ExcludedVersion == "" || version != r.ExcludedVersion })
	}
	return t
}

// selectAmong returns the best available target of the allowed versions, or nil. Targets
// that have asked other instances for rest come last: they may turn this one away, too.
func (s *Scheduler) selectAmong(sv *service, r *Request, now time.Time, allowed func(version string) bool) *target {
	t := s.selectIncluded(sv, r, now, allowed, func(t *target) bool { return !t.rests.any(now) })
	if t == nil && sv.anyRests(now) {
		t = s.selectIncluded(sv, r, now, allowed, func(t *target) bool { return t.rests.any(now) })
	}
	return t
}

func (sv *service) anyRests(now time.Time) bool {
	return slices.ContainsFunc(sv.targets, func(t *target) bool { return t.rests.any(now) })
}

// isHeldBack reports whether the target takes no request from the instance now, by its
// own word.
func (t *target) isHeldBack(r *Request, now time.Time) bool {
	return t.limiter.admitted(now) == 0 || t.rests.binds(r.Instance, now)
}

// selectIncluded returns the best available target of the allowed versions among those
// that are included, or nil.
func (s *Scheduler) selectIncluded(sv *service, r *Request, now time.Time, allowed func(version string) bool, includes func(*target) bool) *target {
	ignoreEjection := sv.ignoreEjections(now)
	candidates := make([]Candidate, 0, len(sv.targets))
	targets := make([]*target, 0, len(sv.targets))
	for _, t := range sv.targets {
		if !allowed(t.info.Version) || r.excludesTarget(t.info.Key()) || !t.usable(now, ignoreEjection) || t.isHeldBack(r, now) || !includes(t) {
			continue
		}
		candidates = append(candidates, sv.candidate(t, r, now, ignoreEjection))
		targets = append(targets, t)
	}
	i := SelectCandidate(r.requirements(now), candidates, s.random.Float64)
	if i == NoCandidate {
		return nil
	}
	return targets[i]
}

// isHeldBack reports whether only the terms that they state keep the targets of the
// allowed versions from taking a request.
func (sv *service) isHeldBack(r *Request, now time.Time) bool {
	limited := false
	for _, t := range sv.targets {
		if !r.AllowsVersion(t.info.Version) || !t.usable(now, false) {
			continue
		}
		if !t.isHeldBack(r, now) {
			return false
		}
		limited = true
	}
	return limited
}

// isEvacuated reports whether no target takes requests and some would without an evacuation:
// waiting is of no use then, as it is for the next target while others drain.
func (sv *service) isEvacuated() bool {
	evacuated := false
	for _, t := range sv.targets {
		if !t.isDraining() {
			return false
		}
		evacuated = evacuated || t.info.Limits.Evacuated
	}
	return evacuated
}

// hasAllowedVersion reports whether any target that is not draining is of a
// version allowed for the request.
func (sv *service) hasAllowedVersion(r *Request) bool {
	for _, t := range sv.targets {
		if !t.isDraining() && r.AllowsVersion(t.info.Version) {
			return true
		}
	}
	return false
}

// requirements returns what SelectCandidate needs of the request.
func (r *Request) requirements(now time.Time) Requirements {
	waited := now.Sub(r.ArrivedAt)
	return Requirements{
		ObjectiveTimeLeft: r.LatencyObjective - waited, EventGapObjective: r.EventGapObjective, MaxTimeToFirst: r.maxCallerWait(),
		DeadlineTimeLeft: max(0, r.Deadline.Sub(now)),
		MayWait:          waited < time.Duration(betterTargetWaitShare*float64(r.LatencyObjective)),
	}
}

// candidate returns what SelectCandidate needs of a target.
func (sv *service) candidate(t *target, r *Request, now time.Time, ignoreEjection bool) Candidate {
	c := Candidate{
		Running: t.running, Slots: t.info.Slots,
		Available: t.freeSlots(now, ignoreEjection) > 0 && t.hasMemoryFor(r), OtherDomain: t.info.FailureDomain != r.FailureDomain,
	}
	if r.PromptTokens == 0 {
		c.TimeToFirst = sv.estimatedResponseTime(t) * time.Duration(c.Running+1) / time.Duration(max(1, c.Slots))
		c.TotalTime = c.TimeToFirst
		return c
	}
	tokenTime := sv.estimatedTokenTime(t, now)
	backlogTime := sv.prefill.estimate(t.prefillTokens, tokenTime)
	cached := t.cachedTokens(r, now)
	prefillTime := sv.prefill.estimate(r.PromptTokens-cached, tokenTime)
	c.TimeToFirst = prefillOverhead + backlogTime + prefillTime
	c.TotalTime = c.TimeToFirst + time.Duration(r.OutputTokens)*tokenTime
	c.SavedDelay = time.Duration(c.Running) * sv.prefill.estimate(cached, tokenTime)
	if c.Running > 0 {
		c.StreamPause = min(backlogTime+prefillTime, time.Duration(max(1, r.TokensPerEvent))*sv.prefill.estimate(prefillChunkTokens, tokenTime))
	}
	if backlogTime > maxPrefillBacklog {
		c.Available = false
	}
	return c
}

// estimatedTokenTime returns the target's time per output token. A target without
// samples is assumed to be as fast as the fastest, so that it is tried.
func (sv *service) estimatedTokenTime(t *target, now time.Time) time.Duration {
	return sv.estimatedDuration(t, func(t *target) time.Duration { return t.tokenTime.at(now) }, defaultTokenTime)
}

// seenTokenTime returns the target's longest time per output token, or the longest of the service if
// the target has no samples; 0 if none has.
func (sv *service) seenTokenTime(t *target) time.Duration {
	if t.tokenTime.known() {
		return t.tokenTime.longest()
	}
	longest := time.Duration(0)
	for _, other := range sv.targets {
		longest = max(longest, other.tokenTime.longest())
	}
	return longest
}

// estimatedResponseTime is the same as estimatedTokenTime for the time of a complete response;
// defaultTokenTime is its fallback, too.
func (sv *service) estimatedResponseTime(t *target) time.Duration {
	return sv.estimatedDuration(t, func(t *target) time.Duration { return t.responseTime.duration() }, defaultTokenTime)
}

// estimatedDuration returns the average of a target. Without samples it returns
// the lowest average of the service, or the fallback; the average of an idle
// target is limited by maxIdleMedians.
func (sv *service) estimatedDuration(t *target, averageOf func(*target) time.Duration, fallback time.Duration) time.Duration {
	average := averageOf(t)
	if average > 0 && t.running > 0 {
		return average
	}
	known := sv.knownDurations(averageOf)
	if len(known) == 0 {
		return fallback
	}
	if average == 0 {
		return known[0]
	}
	return min(average, maxIdleMedians*known[(len(known)-1)/2])
}

// knownDurations returns the known averages of all targets, in ascending order.
func (sv *service) knownDurations(averageOf func(*target) time.Duration) []time.Duration {
	known := make([]time.Duration, 0, len(sv.targets))
	for _, t := range sv.targets {
		if average := averageOf(t); average > 0 {
			known = append(known, average)
		}
	}
	slices.Sort(known)
	return known
}

// medianDuration returns the median of the known averages; defaultTokenTime if there is none.
func (sv *service) medianDuration(averageOf func(*target) time.Duration) time.Duration {
	known := sv.knownDurations(averageOf)
	if len(known) == 0 {
		return defaultTokenTime
	}
	return known[(len(known)-1)/2]
}

// medians are the median times of the targets of a service.
type medians struct {
	// tokenTime is the time per output token, responseTime that of a complete response.
	tokenTime, responseTime time.Duration
	at                      time.Time
}

// medianValidity is for how long medians are not computed again: they are needed for each
// queued request whenever a slot becomes free.
const medianValidity = 100 * time.Millisecond

func (sv *service) currentMedians(now time.Time) *medians {
	if m := &sv.medians; m.at.IsZero() || now.Sub(m.at) > medianValidity {
		m.at = now
		m.tokenTime = sv.medianDuration(func(t *target) time.Duration { return t.tokenTime.usual.duration() })
		m.responseTime = sv.medianDuration(func(t *target) time.Duration { return t.responseTime.duration() })
	}
	return &sv.medians
}

// maxIdleMedians limits the average of an idle target to a multiple of the median
// of all, since it was measured under a load that is gone. Targets differ from
// the median by a factor of two.
const maxIdleMedians = 2

// ignoreEjections reports whether so many targets are ejected that the cause is
// not the individual target, and ejections have to be ignored.
func (sv *service) ignoreEjections(now time.Time) bool {
	ejected := 0
	for _, t := range sv.targets {
		if t.ejector.Ejected(now) {
			ejected++
		}
	}
	return routing.TooManyEjected(ejected, len(sv.targets))
}

// totalFreeSlots returns the number of free slots over all targets.
func (sv *service) totalFreeSlots(now time.Time) int {
	ignoreEjection := sv.ignoreEjections(now)
	free := 0
	for _, t := range sv.targets {
		free += max(0, t.freeSlots(now, ignoreEjection))
	}
	return free
}

// queueEstimate is the expected wait of a request that joins the queue.
type queueEstimate struct {
	// queuedAhead is the number of requests that go first, slots the number of
	// slots of all usable targets.
	queuedAhead, slots int
	wait               time.Duration
}

// estimateQueue predicts the wait of a request that joins the queue now, from the
// requests ahead of it and the rate at which slots become free.
func (sv *service) estimateQueue(entry *queueEntry, now time.Time) queueEstimate {
	var e queueEstimate
	r := entry.request
	own := sv.queues.tiers[r.priority()].Ahead(entry)
	for p := range r.priority() {
		e.queuedAhead += sv.queues.tiers[p].Len()
	}
	e.queuedAhead += own
	e.slots = sv.usableSlots(now)
	e.wait = time.Duration(e.queuedAhead) * sv.slotInterval(now)
	if interval := sv.bypassInterval(r, now); interval > 0 {
		e.wait = min(e.wait, time.Duration(own)*interval)
	}
	return e
}

// estimateOverdue predicts the wait of a request that has missed its objective, from those
// like it that go first and the slots that become free beyond those that requests in time
// need.
func (sv *service) estimateOverdue(ahead int, now time.Time) (wait time.Duration, bounded bool) {
	if sv.usableSlots(now) == 0 {
		return 0, false
	}
	interval := sv.slotInterval(now)
	if interval == 0 {
		return 0, true
	}
	inTime := 0
	for _, queued := range sv.queues.countByPriority() {
		inTime += queued
	}
	left := 1/interval.Seconds() - sv.recentArrivals.get(now, recentWindow)/recentWindow.Seconds()
	if left <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead+inTime+1) / left * float64(time.Second)), true
}
