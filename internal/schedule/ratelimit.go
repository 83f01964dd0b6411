package schedule

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	// rateBurstTime is the time whose requests may be started at once within a
	// target's rate limit, besides the first one.
	rateBurstTime = 100 * time.Millisecond
	// maxRateInterval is the longest time between two requests within a limit on
	// the requests of all instances. Only responses tell that a limit has ended, also
	// one of 0.
	maxRateInterval = 5 * time.Second
	// maxRateDebt is by how many intervals, and minRateDebtTime by which time at
	// least, requests that were placed elsewhere may delay the next one.
	maxRateDebt     = 2
	minRateDebtTime = time.Second
	// maxDescribedLimits bounds the rate limits described in a refusal.
	maxDescribedLimits = 3
)

// rateLimiter spaces the requests that are started on a target, as a generic cell
// rate algorithm. The zero value limits nothing.
type rateLimiter struct {
	// interval is the time between two requests; 0 if there is no limit.
	interval time.Duration
	// dueAt is when the next request is due if all are evenly spaced.
	dueAt time.Time
}

// setTerms sets the interval. share is the part of the target's limit that this
// scheduler may use. A new limit admits the first request after one interval, since
// others have started before.
func (l *rateLimiter) setTerms(terms Terms, share float64, now time.Time) {
	if !terms.HasRateLimit {
		*l = rateLimiter{}
		return
	}
	isNew := l.interval == 0
	longest := time.Duration(float64(maxRateInterval) / share)
	l.interval = longest
	if perSecond := terms.RateLimit * share; perSecond*longest.Seconds() > 1 {
		l.interval = max(1, time.Duration(float64(time.Second)/perSecond))
	}
	if isNew {
		l.dueAt = now.Add(l.interval)
	}
}

// take counts a request that is started.
func (l *rateLimiter) take(now time.Time) {
	if l.interval == 0 {
		return
	}
	due := l.nextDue(now).Add(l.interval)
	if latest := now.Add(max(maxRateDebt*l.interval, minRateDebtTime)); due.After(latest) {
		due = latest
	}
	l.dueAt = due
}

func (l *rateLimiter) nextDue(now time.Time) time.Time {
	if l.dueAt.After(now) {
		return l.dueAt
	}
	return now
}

// admitted returns how many requests may start now.
func (l *rateLimiter) admitted(now time.Time) int {
	if l.interval == 0 {
		return math.MaxInt
	}
	ahead := l.nextDue(now).Sub(now)
	if ahead > rateBurstTime {
		return 0
	}
	return 1 + int((rateBurstTime-ahead)/l.interval)
}

// admitsAt returns when the next request may start.
func (l *rateLimiter) admitsAt() time.Time { return l.dueAt.Add(-rateBurstTime) }

// perSecond returns the limit on the requests a second; infinite if there is none.
func (l *rateLimiter) perSecond() float64 {
	if l.interval == 0 {
		return math.Inf(1)
	}
	return 1 / l.interval.Seconds()
}

// throughput returns the requests a second that the target can take, given the
// average response time of its service; infinite if that is not known and there is
// no rate limit.
func (t *target) throughput(responseTime time.Duration) float64 {
	perSecond := t.limiter.perSecond()
	if responseTime > 0 {
		perSecond = min(perSecond, float64(t.info.Slots)/responseTime.Seconds())
	}
	return perSecond
}

// DescribeRateLimits returns the rate limits of a service's targets for log lines; ""
// if there are none.
func (s *Scheduler) DescribeRateLimits(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv := s.services[service]; sv != nil {
		return sv.describeRateLimits(s.clock.Now())
	}
	return ""
}

// describeRateLimits returns the rate limits of a service's targets for log lines,
// with their age and the instance that received them; "" if there are none.
func (sv *service) describeRateLimits(now time.Time) string {
	var limits []string
	for _, t := range sv.targets {
		if !t.terms.HasRateLimit {
			continue
		}
		limit := fmt.Sprintf("%s takes %v, stated %d ms ago", t.info.ID, t.terms.Terms, now.Sub(t.terms.At).Milliseconds())
		if t.terms.By != "" {
			limit += " to " + t.terms.By
		}
		limits = append(limits, limit)
	}
	if rest := len(limits) - maxDescribedLimits; rest > 0 {
		limits = append(limits[:maxDescribedLimits], fmt.Sprintf("%d more", rest))
	}
	return strings.Join(limits, "; ")
}

// wakeForRateLimits starts queued requests once the next rate limit admits one: no
// event of a request tells when that is. The caller holds s.mu.
func (s *Scheduler) wakeForRateLimits(sv *service, now time.Time) {
	if sv.wakeAt.After(now) || !sv.hasQueuedAtOrAbove(PriorityCount-1) {
		return
	}
	var next time.Time
	for _, t := range sv.targets {
		if t.limiter.interval == 0 || t.limiter.admitted(now) > 0 {
			continue
		}
		if at := t.limiter.admitsAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if next.IsZero() {
		return
	}
	sv.wakeAt = next
	s.clock.AfterFunc(next.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startQueued(sv)
	})
}
