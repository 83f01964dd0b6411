package reporter

import "time"

const (
	// maxPlausibleAge is the highest age that the difference of the two clocks is
	// believed to be; above it the clocks disagree.
	maxPlausibleAge = 5 * time.Second
	// maxClockOffset bounds the difference of the two clocks.
	maxClockOffset = 100 * 365 * 24 * time.Hour
)

// ageEstimator estimates when a target's reports were true. The target's clock
// may be ahead or behind, so a report is taken to be as old as the larger of
// two estimates: the difference of the clocks, unless it is out of reason, and
// the growth of that difference above the smallest seen, which does not depend
// on how the clocks are set. A report is never newer than the read's begin. A
// constant lag stays hidden when the target's clock is ahead by more than it.
type ageEstimator struct {
	// minOffset is the least difference seen and last the last time given;
	// both are valid when begun is set.
	minOffset      time.Duration
	lastMeasuredMS int64
	hasReport      bool
}

// measuredAt returns when a report given as of atMS was true by the own clock; the
// read of it began at sent.
func (a *ageEstimator) measuredAt(requestedAt time.Time, measuredMS int64) time.Time {
	offset := min(max(requestedAt.Sub(time.UnixMilli(measuredMS)), -maxClockOffset), maxClockOffset)
	steppedBack := a.hasReport && measuredMS < a.lastMeasuredMS
	if !a.hasReport || steppedBack || offset < a.minOffset {
		a.minOffset = offset
	}
	a.hasReport, a.lastMeasuredMS = true, measuredMS
	age := max(0, offset-a.minOffset)
	if offset <= maxPlausibleAge {
		age = max(age, offset)
	}
	return requestedAt.Add(-age)
}
