package admission

import (
	"net/http"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// preemptLead is how long before its latest start a request has lower tiers
	// cancelled: the time that the reports, the cancellation and the start take.
	preemptLead = 400 * time.Millisecond
	// serviceMargin is the safety factor on the estimated service time when
	// lower-tier requests could still be cancelled for the request.
	serviceMargin = 1.25
	// earlyRefusalMargin is the multiple of a request's slack that its expected
	// wait must exceed before it is refused early.
	earlyRefusalMargin = 1.5
	// preemptRetryInterval is how long a request waits for capacity on its
	// preemption target before a target is chosen again.
	preemptRetryInterval = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// shedAndPreempt examines each queued request. It refuses requests whose wait has
// expired and, early, those that will not be served in time, and makes room for
// those that cannot wait until lower-tier requests end. The lock must be held.
func (p *pool) shedAndPreempt(now time.Time) {
	p.rate.observe(now, p.completedCost.Load(), p.waiting.Load() > 0)
	tokensAhead := 0
	for tier := range tables.Tier(tables.TierCount) {
		q := &p.queue.tiers[tier]
		q.Purge()
		if q.Len() == 0 {
			continue
		}
		noLowerTier := p.noLowerTierRuns(now, tier)
		for _, queued := range q.InOrder() {
			j := queued.Item
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

// checkShed returns the refusal of a request that must be shed now, or nil.
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
		Execution: fault.NotRun, Step: fault.StepWait, Status: status, Reason: reason,
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

// latestStart returns when the request must start to end by its deadline on the
// fastest known target, or false if it has no deadline and no end of its wait.
func (p *pool) latestStart(j *job, margin float64) (time.Time, bool) {
	if j.request.Deadline.IsZero() {
		return j.waitEnd, !j.waitEnd.IsZero()
	}
	service := time.Duration(margin * float64(p.bestServiceTime(j.request.PromptTokens, j.expectedOutput)))
	return earliest(j.request.Deadline.Add(-service), j.waitEnd), true
}

// bestServiceTime returns the expected service time on the fastest known target.
func (p *pool) bestServiceTime(promptTokens, outputTokens int) time.Duration {
	return p.bestSpeed.Load().ResponseTime(promptTokens, outputTokens)
}

// noLowerTierRuns reports whether it is confirmed that no lower tier runs on the
// pool's usable targets.
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

// preemptFor makes room for a request that must start soon. It cancels this
// entry's own lower-tier requests on one target. If there are none, it selects the
// target that runs the most lower-tier requests. The coordinator of the chosen
// target receives the request's demand as urgent.
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

// latestFirstTokenStart returns when the request must start to meet its objective
// for the first token, or false if it has none or can no longer meet it.
func (p *pool) latestFirstTokenStart(j *job, now time.Time) (time.Time, bool) {
	objective := j.request.FirstTokenBy
	if objective.IsZero() {
		return objective, false
	}
	start := objective.Add(-p.bestServiceTime(j.request.PromptTokens, 0))
	return start, !now.After(start)
}

// preemptLocal selects the target on which this entry runs the most lower-tier
// requests and cancels them until the request fits. It returns the target, or nil
// if this entry runs none.
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

// targetWithMostBelow returns the target that runs the most lower-tier requests by
// the coordinators' latest grants, or nil.
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
