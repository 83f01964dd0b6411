package reporter

import "time"

const (
	// plausibleAge is the highest age that the difference of the two clocks is
	// believed to be; above it the clocks disagree.
	plausibleAge = 5 * time.Second
	// mostApart bounds the difference of the two clocks.
	mostApart = 100 * 365 * 24 * time.Hour
)

// ageEstimate estimates when a target's reports were true. The target's clock
// may be ahead or behind, so a report is taken to be as old as the larger of
// two estimates: the difference of the clocks, unless it is out of reason, and
// the growth of that difference above the smallest seen, which does not depend
// on how the clocks are set. A report is never newer than the read's begin. A
// constant lag stays hidden when the target's clock is ahead by more than it.
type ageEstimate struct {
	// smallest is the least difference seen and last the last time given;
	// both are valid when begun is set.
	smallest time.Duration
	last     int64
	begun    bool
}

// trueAt returns when a report given as of atMS was true by the own clock; the
// read of it began at sent.
func (a *ageEstimate) trueAt(sent time.Time, atMS int64) time.Time {
	apart := min(max(sent.Sub(time.UnixMilli(atMS)), -mostApart), mostApart)
	stepped := a.begun && atMS < a.last
	if !a.begun || stepped || apart < a.smallest {
		a.smallest = apart
	}
	a.begun, a.last = true, atMS
	age := max(0, apart-a.smallest)
	if apart <= plausibleAge {
		age = max(age, apart)
	}
	return sent.Add(-age)
}
