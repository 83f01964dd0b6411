package admission

import (
	"net/http"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// preemptLead is how long before its latest start a request has lower
	// tiers cancelled: the time that news, cancellation and start take.
	preemptLead = 400 * time.Millisecond
	// serviceMargin is the factor on the estimated service time by which a
	// request must start in time when lower tiers could make room.
	serviceMargin = 1.25
	// earlyRefusalMargin is the factor on a request's slack that its expected wait
	// must exceed before it is refused early.
	earlyRefusalMargin = 1.5
	// preemptRetryInterval is how long room is awaited at one target.
	preemptRetryInterval = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// shedAndPreempt looks at each waiting request once: it gives up what has no more time,
// refuses early what will not get its turn in time, and makes room for what
// cannot wait for lower tiers to end. The lock is held.
func (p *pool) shedAndPreempt(now time.Time) {
	p.rate.observe(now, p.completedCost.Load(), p.waiting.Load() > 0)
	tokensAhead := 0
	for tier := range tables.Tier(tables.TierCount) {
		q := &p.queue.tiers[tier]
		q.purge()
		if q.waiting == 0 {
			continue
		}
		noLowerTier := p.noLowerTierRuns(now, tier)
		for _, j := range q.inDequeueOrder() {
			wait := p.rate.expectedWait(tokensAhead)
			tokensAhead += j.cost
			if refusal := p.checkShed(j, now, wait, noLowerTier); refusal != nil {
				tokensAhead -= j.cost
				p.shed(j, refusal, noLowerTier)
				continue
			}
			if !noLowerTier {
				p.preemptFor(j, now)
			}
		}
	}
}

// checkShed returns the refusal of a request that is to be given up now.
func (p *pool) checkShed(j *job, now time.Time, wait time.Duration, noLowerTier bool) *fault.Refusal {
	if j.waitExpired(now) {
		return p.newRefusal(http.StatusGatewayTimeout, wait, "no target was free in time")
	}
	if !noLowerTier {
		return nil
	}
	if len(*p.targets.Load()) == 0 {
		return nil
	}
	latest, ok := p.latestStart(j, 1)
	if !ok {
		return nil
	}
	if now.After(latest) {
		return p.newRefusal(http.StatusGatewayTimeout, wait, "the answer would come after the deadline")
	}
	if float64(wait) > earlyRefusalMargin*float64(latest.Sub(now)) {
		return p.newRefusal(http.StatusTooManyRequests, wait, "the wait would pass the deadline")
	}
	return nil
}

func (p *pool) newRefusal(status int, wait time.Duration, reason string) *fault.Refusal {
	if len(*p.targets.Load()) == 0 {
		status, reason = http.StatusServiceUnavailable, "the pool has no usable target"
	}
	return &fault.Refusal{
		Run: fault.NotRun, Step: fault.StepWait, Status: status, Reason: reason,
		RetryAfter: min(max(wait.Round(time.Second), minRetryAfter), maxRetryAfter),
	}
}

func (p *pool) shed(j *job, refusal *fault.Refusal, noLowerTier bool) {
	counters := &p.controller.counters
	counters.refused[j.tier].Add(1)
	if !noLowerTier && p.lowerTierSeen(j.tier) {
		counters.unproved.Add(1)
	}
	p.failQueued(j, refusal)
}

// latestStart returns when the request must start to end by its deadline, on
// the target that is expected to be the fastest; false when it has none.
func (p *pool) latestStart(j *job, margin float64) (time.Time, bool) {
	if j.request.Deadline.IsZero() {
		return j.waitEnd, !j.waitEnd.IsZero()
	}
	service := time.Duration(margin * float64(p.bestServiceTime(j.request.PromptTokens, j.expectedOutput)))
	return earliest(j.request.Deadline.Add(-service), j.waitEnd), true
}

// bestServiceTime returns the shortest expected service time over the usable targets.
func (p *pool) bestServiceTime(promptTokens, outputTokens int) time.Duration {
	return p.bestSpeed.Load().Service(promptTokens, outputTokens)
}

// noLowerTierRuns reports whether it is known that no lower tier runs on the pool's
// usable targets.
func (p *pool) noLowerTierRuns(now time.Time, tier tables.Tier) bool {
	for _, t := range *p.targets.Load() {
		if !p.versionUsable(t) {
			continue
		}
		t.mu.Lock()
		ok := t.runningBelow(tier, false) == 0 && t.holder.ConfirmsNoneBelow(now, tier)
		t.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// lowerTierSeen reports whether a lower tier is known to run in the pool.
func (p *pool) lowerTierSeen(tier tables.Tier) bool {
	for _, t := range *p.targets.Load() {
		t.mu.Lock()
		seen := t.runningBelow(tier, false) > 0 || countBelow(t.holder.TotalRunning(), tier) > 0
		t.mu.Unlock()
		if seen {
			return true
		}
	}
	return false
}

// preemptFor makes room for a request that must start soon: own requests of lower
// tiers are cancelled at once, else the coordinator of the target where most of them
// run is asked to.
func (p *pool) preemptFor(j *job, now time.Time) {
	start, ok := p.latestStart(j, serviceMargin)
	if firstStart, hasObjective := p.latestFirstTokenStart(j, now); hasObjective {
		start, ok = earliest(start, firstStart), true
	}
	if !ok || now.Before(start.Add(-preemptLead)) || now.Before(j.preemptionRetryAt) {
		return
	}
	j.preemptionRetryAt = now.Add(preemptRetryInterval)
	if j.preemptionTarget = p.preemptLocal(j); j.preemptionTarget == nil {
		j.preemptionTarget = p.targetWithMostBelow(j)
	}
}

// latestFirstTokenStart returns when the request must start to meet its goal for the
// first token; false when it has none or has missed it already.
func (p *pool) latestFirstTokenStart(j *job, now time.Time) (time.Time, bool) {
	goal := j.request.FirstTokenBy
	if goal.IsZero() {
		return goal, false
	}
	start := goal.Add(-p.bestServiceTime(j.request.PromptTokens, 0))
	return start, !now.After(start)
}

// preemptLocal cancels own requests of lower tiers until the request fits on
// their target, which it returns; nil when none run.
func (p *pool) preemptLocal(j *job) *target {
	version := p.requiredVersion(j)
	var best *target
	var mostRunning int64
	for _, candidate := range *p.targets.Load() {
		if candidate.ejected.Load() || !p.eligible(candidate, j, version, nil) {
			continue
		}
		candidate.mu.Lock()
		n := int64(candidate.runningBelow(j.tier, true))
		candidate.mu.Unlock()
		if n > mostRunning {
			best, mostRunning = candidate, n
		}
	}
	if best == nil {
		return nil
	}
	need := best.reservation(j)
	for freed := best.unusedAllowance(); !freed.Covers(need); {
		amount, ok := best.cancelLowest(j.tier)
		if !ok {
			break
		}
		freed = freed.Plus(amount)
		p.controller.counters.preempted.Add(1)
	}
	return best
}

// targetWithMostBelow returns the target on which most requests of lower tiers run, by
// the coordinators' last statements.
func (p *pool) targetWithMostBelow(j *job) *target {
	version := p.requiredVersion(j)
	var best *target
	var mostRunning int64
	for _, candidate := range *p.targets.Load() {
		if !p.eligible(candidate, j, version, nil) {
			continue
		}
		candidate.mu.Lock()
		n := int64(countBelow(candidate.holder.TotalRunning(), j.tier))
		candidate.mu.Unlock()
		if n > mostRunning {
			best, mostRunning = candidate, n
		}
	}
	return best
}
