package reporter

import "time"

const (
	// maxPlausibleAge is the largest clock difference that is taken for the
	// age of a report; above it the clocks are assumed to disagree.
	maxPlausibleAge = 5 * time.Second
	// maxClockOffset limits the clock difference, so that the difference of
	// two of them does not overflow a time.Duration.
	maxClockOffset = 100 * 365 * 24 * time.Hour
)

// ageEstimator estimates when the load reports of a target were measured. The
// target's clock may be ahead or behind, so the age of a report is the larger
// of two estimates: the difference of the clocks, unless it is implausibly
// large, and the increase of that difference over its minimum, which does not
// depend on how the clocks are set. A report is never taken to be newer than
// the start of its request.
//
// A constant lag is not detected if the target's clock is ahead by more than
// the lag.
type ageEstimator struct {
	// minOffset is the smallest clock difference seen and lastMeasuredMS the
	// last timestamp received; both are valid when hasReport is set.
	minOffset      time.Duration
	lastMeasuredMS int64
	hasReport      bool
}

// measuredAt returns the local time at which a report with the timestamp
// measuredMS was measured. The request for the report started at requestedAt.
// A timestamp lower than the last one means that the target's clock was set
// back, and starts the minimum again.
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
