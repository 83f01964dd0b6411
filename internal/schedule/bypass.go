package schedule

import (
	"math"
	"time"
)

// # Load
//
// More requests of a high tier than slots for many seconds, and short ones of a lower tier that
// need a few hundredths of the slot time: in strict order almost all of the lower tier would be
// refused for hardly any gain of the higher one.
const (
	// bypassShare is the part of the slot time in which short requests of lower tiers start
	// before longer ones of higher tiers.
	bypassShare = 0.06
	// bypassBurst is the time whose share may be used at once.
	bypassBurst = time.Second
	// maxBypassLength is the longest slot time of such a request relative to that of the
	// request that it goes before.
	maxBypassLength = 0.25
	// bypassMargin is by how much less often the tier of such a request must have been served
	// lately, so that it is never served more often than higher ones.
	bypassMargin = 0.1
	// servedWindow is the time constant with which the outcomes of requests are forgotten:
	// about the length of a burst.
	servedWindow = 5 * time.Second
	// recentWindow is the time constant of the present rate of arrivals.
	recentWindow = time.Second
	// minServedSample is the number of recent outcomes from which a share is known.
	minServedSample = 3
)

// decayingCount is a count that is forgotten exponentially.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) get(now time.Time, window time.Duration) float64 {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.value *= math.Exp(-elapsed.Seconds() / window.Seconds())
		c.at = now
	}
	return c.value
}

func (c *decayingCount) add(amount float64, now time.Time, window time.Duration) {
	c.value, c.at = c.get(now, window)+amount, now
}

// tierOutcomes counts what has lately become of the requests of one tier: those that started in
// time for their objectives, and the others.
type tierOutcomes struct{ started, refused decayingCount }

func (o *tierOutcomes) record(started bool, now time.Time) {
	if started {
		o.started.add(1, now, servedWindow)
		return
	}
	o.refused.add(1, now, servedWindow)
}

// withdrawRefusal takes a refusal back that no caller was told.
func (o *tierOutcomes) withdrawRefusal(now time.Time) {
	o.refused.add(-min(1, o.refused.get(now, servedWindow)), now, servedWindow)
}

// servedShare returns the share of requests that started in time; 1 if too few are known.
func (o *tierOutcomes) servedShare(now time.Time) float64 {
	started, refused := o.started.get(now, servedWindow), o.refused.get(now, servedWindow)
	if started+refused < minServedSample {
		return 1
	}
	return started / (started + refused)
}

// bypass is the slot time that short requests of lower tiers may use before higher ones.
type bypass struct {
	slotTime time.Duration
	filledAt time.Time
}

// refill adds the share of the slot time since the last call.
func (b *bypass) refill(slots int, now time.Time) {
	perSecond := bypassShare * float64(slots)
	most := time.Duration(perSecond * float64(bypassBurst))
	if b.filledAt.IsZero() {
		b.slotTime = most
	} else {
		b.slotTime = min(most, b.slotTime+time.Duration(perSecond*float64(now.Sub(b.filledAt))))
	}
	b.filledAt = now
}

// mayBypass reports whether a request may start before the requests of higher tiers that
// are queued: it is short, its tier has been served no more often than theirs, and the
// share of the slot time is not used up.
func (sv *service) mayBypass(r *Request, now time.Time) bool {
	if r.PromptTokens == 0 || !sv.queues.hasQueuedAtOrAbove(r.priority()-1) {
		return false
	}
	_, length := sv.expectedTimes(r, now)
	if sv.bypass.refill(sv.usableSlots(now), now); length > sv.bypass.slotTime {
		return false
	}
	share := sv.outcomes[r.priority()].servedShare(now)
	for p := range r.priority() {
		first, queued := sv.queues.tiers[p].Peek()
		if !queued {
			continue
		}
		_, other := sv.expectedTimes(first.request, now)
		if float64(length) > maxBypassLength*float64(other) || share > sv.outcomes[p].servedShare(now)-bypassMargin {
			return false
		}
	}
	return true
}

// useBypass deducts the slot time of a request that has started before others.
func (sv *service) useBypass(r *Request, now time.Time) {
	_, length := sv.expectedTimes(r, now)
	sv.bypass.slotTime -= length
}

// bypassInterval returns the expected time between two requests like r that start before
// higher tiers; 0 if r may not.
func (sv *service) bypassInterval(r *Request, now time.Time) time.Duration {
	if !sv.mayBypass(r, now) {
		return 0
	}
	_, length := sv.expectedTimes(r, now)
	return time.Duration(float64(length) / (bypassShare * float64(max(1, sv.usableSlots(now)))))
}
