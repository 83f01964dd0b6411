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
	// waitMargin is the factor on a request's slack that its expected wait
	// must exceed before it is refused early.
	waitMargin = 1.5
	// urgentRetry is how long room is awaited at one target.
	urgentRetry = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// sweep looks at each waiting request once: it gives up what has no more time,
// refuses early what will not get its turn in time, and makes room for what
// cannot wait for lower tiers to end. The lock is held.
func (p *pool) sweep(now time.Time) {
	p.rate.observe(now, p.finished.Load(), p.waiting.Load() > 0)
	ahead := 0
	for tier := range tables.Tier(tables.TierCount) {
		q := &p.queue.tiers[tier]
		q.purge()
		if q.waiting == 0 {
			continue
		}
		proved := p.proves(now, tier)
		for _, t := range q.ordered() {
			wait := p.rate.wait(ahead)
			ahead += t.work
			if refusal := p.verdict(t, now, wait, proved); refusal != nil {
				ahead -= t.work
				p.refuse(t, refusal, proved)
				continue
			}
			if !proved {
				p.hurry(t, now)
			}
		}
	}
}

// verdict returns the refusal of a request that is to be given up now.
func (p *pool) verdict(t *ticket, now time.Time, wait time.Duration, proved bool) *fault.Refusal {
	if t.ended(now) {
		return p.refusal(http.StatusGatewayTimeout, wait, "no target was free in time")
	}
	if !proved {
		return nil
	}
	if len(*p.targets.Load()) == 0 {
		return nil
	}
	latest, ok := p.latestStart(t, 1)
	if !ok {
		return nil
	}
	if now.After(latest) {
		return p.refusal(http.StatusGatewayTimeout, wait, "the answer would come after the deadline")
	}
	if float64(wait) > waitMargin*float64(latest.Sub(now)) {
		return p.refusal(http.StatusTooManyRequests, wait, "the wait would pass the deadline")
	}
	return nil
}

func (p *pool) refusal(status int, wait time.Duration, reason string) *fault.Refusal {
	if len(*p.targets.Load()) == 0 {
		status, reason = http.StatusServiceUnavailable, "the pool has no usable target"
	}
	return &fault.Refusal{
		Run: fault.NotRun, Step: fault.StepWait, Status: status, Reason: reason,
		RetryAfter: min(max(wait.Round(time.Second), minRetryAfter), maxRetryAfter),
	}
}

func (p *pool) refuse(t *ticket, refusal *fault.Refusal, proved bool) {
	counters := &p.controller.counters
	counters.refused[t.tier].Add(1)
	if !proved && p.seenBelow(t.tier) {
		counters.unproved.Add(1)
	}
	p.giveUp(t, refusal)
}

// latestStart returns when the request must start to end by its deadline, on
// the target that is expected to be the fastest; false when it has none.
func (p *pool) latestStart(t *ticket, margin float64) (time.Time, bool) {
	if t.request.Deadline.IsZero() {
		return t.end, !t.end.IsZero()
	}
	service := time.Duration(margin * float64(p.fastest(t.request.PromptTokens, t.output)))
	return earliest(t.request.Deadline.Add(-service), t.end), true
}

// fastest returns the shortest expected service time over the usable targets.
func (p *pool) fastest(prefill, output int) time.Duration {
	return p.best.Load().ResponseTime(prefill, output)
}

// proves reports whether it is known that no lower tier runs on the pool's
// usable targets.
func (p *pool) proves(now time.Time, tier tables.Tier) bool {
	for _, t := range *p.targets.Load() {
		if !p.usable(t) {
			continue
		}
		t.mu.Lock()
		ok := t.runsBelow(tier, false) == 0 && t.holder.Proves(now, tier)
		t.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// seenBelow reports whether a lower tier is known to run in the pool.
func (p *pool) seenBelow(tier tables.Tier) bool {
	for _, t := range *p.targets.Load() {
		t.mu.Lock()
		seen := t.runsBelow(tier, false) > 0 || below(t.holder.Running(), tier) > 0
		t.mu.Unlock()
		if seen {
			return true
		}
	}
	return false
}

// hurry makes room for a request that must start soon: own requests of lower
// tiers are cancelled at once, else the coordinator of the target where most of them
// run is asked to.
func (p *pool) hurry(t *ticket, now time.Time) {
	start, ok := p.latestStart(t, serviceMargin)
	if goal, set := p.firstTokenStart(t, now); set {
		start, ok = earliest(start, goal), true
	}
	if !ok || now.Before(start.Add(-preemptLead)) || now.Before(t.urgentUntil) {
		return
	}
	t.urgentUntil = now.Add(urgentRetry)
	if t.urgentAt = p.preemptOwn(t); t.urgentAt == nil {
		t.urgentAt = p.mostBelow(t)
	}
}

// firstTokenStart returns when the request must start to meet its goal for the
// first token; false when it has none or has missed it already.
func (p *pool) firstTokenStart(t *ticket, now time.Time) (time.Time, bool) {
	goal := t.request.FirstTokenBy
	if goal.IsZero() {
		return goal, false
	}
	start := goal.Add(-p.fastest(t.request.PromptTokens, 0))
	return start, !now.After(start)
}

// preemptOwn cancels own requests of lower tiers until the request fits on
// their target, which it returns; nil when none run.
func (p *pool) preemptOwn(t *ticket) *target {
	wanted := p.version(t)
	var best *target
	var most int64
	for _, candidate := range *p.targets.Load() {
		if candidate.ejected.Load() || !p.eligible(candidate, t, wanted, nil) {
			continue
		}
		candidate.mu.Lock()
		n := int64(candidate.runsBelow(t.tier, true))
		candidate.mu.Unlock()
		if n > most {
			best, most = candidate, n
		}
	}
	if best == nil {
		return nil
	}
	need := best.size(t)
	for freed := best.free(); !freed.Holds(need); {
		amount, ok := best.stopLowest(t.tier)
		if !ok {
			break
		}
		freed = freed.Plus(amount)
		p.controller.counters.preempted.Add(1)
	}
	return best
}

// mostBelow returns the target on which most requests of lower tiers run, by
// the coordinators' last statements.
func (p *pool) mostBelow(t *ticket) *target {
	wanted := p.version(t)
	var best *target
	var most int64
	for _, candidate := range *p.targets.Load() {
		if !p.eligible(candidate, t, wanted, nil) {
			continue
		}
		candidate.mu.Lock()
		n := int64(below(candidate.holder.Running(), t.tier))
		candidate.mu.Unlock()
		if n > most {
			best, most = candidate, n
		}
	}
	return best
}
