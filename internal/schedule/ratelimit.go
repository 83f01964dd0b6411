package schedule

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
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
	// coldRateShare is the part of a cold target's limit that a scheduler uses. Two may place
	// on the target for a while, as at a takeover: twice the share and one request each stay
	// below one and a half times the limit and a few, above which the target fails.
	coldRateShare = 0.75
	// maxDescribedTerms bounds the targets whose terms are described in a refusal.
	maxDescribedTerms = 3
)

// rateLimiter spaces the requests that are started on a target, as a generic cell
// rate algorithm. The zero value limits nothing.
type rateLimiter struct {
	// interval is the time between two requests; 0 if there is no limit.
	interval time.Duration
	// coldInterval is the same until coldUntil, while the target is cold; 0 if it is not.
	coldInterval time.Duration
	coldUntil    time.Time
	// dueAt is when the next request is due if all are evenly spaced.
	dueAt time.Time
}

// setTerms sets the interval. share is the part of the target's limit that this
// scheduler may use. A new limit admits the first request after one interval, since
// others have started before.
func (l *rateLimiter) setTerms(terms Terms, share float64, now time.Time) {
	if !terms.HasRateLimit {
		l.interval = 0
		return
	}
	isNew := l.interval == 0
	l.interval = rateInterval(terms.RateLimit, share)
	if isNew {
		l.dueAt = latest(l.dueAt, now.Add(l.interval))
	}
}

// rateInterval returns the time between two requests for a share of a rate limit.
func rateInterval(perSecond, share float64) time.Duration {
	longest := time.Duration(float64(maxRateInterval) / share)
	if perSecond *= share; perSecond*longest.Seconds() > 1 {
		return max(1, time.Duration(float64(time.Second)/perSecond))
	}
	return longest
}

// setCold sets the limit of a target that is cold until a time. As with terms, the first
// request is admitted after one interval.
func (l *rateLimiter) setCold(limits catalog.TargetLimits, share float64, now time.Time) {
	if limits.ColdRate <= 0 || !limits.ColdUntil.After(now) {
		l.coldInterval, l.coldUntil = 0, time.Time{}
		return
	}
	isNew := !l.isCold(now)
	l.coldInterval, l.coldUntil = rateInterval(limits.ColdRate*coldRateShare, share), limits.ColdUntil
	if isNew {
		l.dueAt = latest(l.dueAt, now.Add(l.coldInterval))
	}
}

func (l *rateLimiter) isCold(now time.Time) bool {
	return l.coldInterval > 0 && now.Before(l.coldUntil)
}

// current returns the time between two requests, 0 if there is no limit, and the time whose
// requests may be started at once: none while the limit of a cold target binds.
func (l *rateLimiter) current(now time.Time) (interval, burst time.Duration) {
	if l.isCold(now) && l.coldInterval >= l.interval {
		return l.coldInterval, 0
	}
	return l.interval, rateBurstTime
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take counts a request that is started.
func (l *rateLimiter) take(now time.Time) {
	interval, _ := l.current(now)
	if interval == 0 {
		return
	}
	due := l.nextDue(now).Add(interval)
	if latest := now.Add(max(maxRateDebt*interval, minRateDebtTime)); due.After(latest) {
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
	interval, burst := l.current(now)
	if interval == 0 {
		return math.MaxInt
	}
	ahead := l.nextDue(now).Sub(now)
	if ahead > burst {
		return 0
	}
	return 1 + int((burst-ahead)/interval)
}

// admitsAt returns when the next request may start, as far as is known now: at the latest
// when the target is no longer cold, unless another limit binds then.
func (l *rateLimiter) admitsAt(now time.Time) time.Time {
	_, burst := l.current(now)
	at := l.dueAt.Add(-burst)
	if l.isCold(now) && l.coldUntil.Before(at) {
		return l.coldUntil
	}
	return at
}

// perSecond returns the limit on the requests a second; infinite if there is none.
func (l *rateLimiter) perSecond(now time.Time) float64 {
	interval, _ := l.current(now)
	if interval == 0 {
		return math.Inf(1)
	}
	return 1 / interval.Seconds()
}

// throughput returns the requests a second that the target can take, given the
// average response time of its service; infinite if that is not known and there is
// no rate limit.
func (t *target) throughput(responseTime time.Duration, now time.Time) float64 {
	perSecond := t.limiter.perSecond(now)
	if responseTime > 0 {
		perSecond = min(perSecond, float64(t.info.Slots)/responseTime.Seconds())
	}
	return perSecond
}

// DescribeTerms returns what a service's targets state about the requests that they take
// for log lines; "" if they state nothing.
func (s *Scheduler) DescribeTerms(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv := s.services[service]; sv != nil {
		return sv.describeTerms(s.clock.Now())
	}
	return ""
}

// describeTerms returns what a service's targets state for log lines, with the age of
// the statement and the instance that received it; "" if they state nothing.
func (sv *service) describeTerms(now time.Time) string {
	var stated []string
	for _, t := range sv.targets {
		if t.terms.HasRateLimit || t.terms.IsLeaving {
			text := fmt.Sprintf("%s takes %v, stated %d ms ago", t.info.ID, t.terms.Terms, now.Sub(t.terms.At).Milliseconds())
			if t.terms.By != "" {
				text += " to " + t.terms.By
			}
			stated = append(stated, text)
		}
		if t.limiter.isCold(now) {
			stated = append(stated, fmt.Sprintf("%s is cold for %d ms more", t.info.ID, t.limiter.coldUntil.Sub(now).Milliseconds()))
		}
		if instances := t.rests.count(now); instances > 0 {
			stated = append(stated, fmt.Sprintf("%s has asked %d instances for rest, the first one for %d ms more, the last one %d ms ago",
				t.info.ID, instances, t.rests.nextEnd(now).Sub(now).Milliseconds(), now.Sub(t.rests.lastAskedAt).Milliseconds()))
		}
	}
	if rest := len(stated) - maxDescribedTerms; rest > 0 {
		stated = append(stated[:maxDescribedTerms], fmt.Sprintf("%d more", rest))
	}
	return strings.Join(stated, "; ")
}

// wakeForTerms starts queued requests once the next rate limit admits one or the next
// rest ends: no event of a request tells when that is. The caller holds s.mu.
func (s *Scheduler) wakeForTerms(sv *service, now time.Time) {
	if sv.queues.isEmpty() {
		return
	}
	var next time.Time
	for _, t := range sv.targets {
		if end := t.rests.nextEnd(now); !end.IsZero() && (next.IsZero() || end.Before(next)) {
			next = end
		}
		if t.limiter.admitted(now) > 0 {
			continue
		}
		if at := t.limiter.admitsAt(now); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if next.IsZero() || sv.wakeAt.After(now) && !next.Before(sv.wakeAt) {
		return
	}
	sv.wakeAt = next
	s.clock.AfterFunc(next.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startQueued(sv)
	})
}
