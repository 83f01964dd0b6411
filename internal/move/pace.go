package move

import (
	"fmt"
	"time"
)

// step is one step of the share.
type step struct {
	// share is the part of idempotent requests that goes to the new version.
	share float64
	// once is the part of non-idempotent requests.
	once float64
	// weight is the part of the time before the deadline.
	weight float64
}

// steps are the shares of a move; the last one is the watch.
var steps = []step{
	{share: 0.03, once: 0, weight: 0.22},
	{share: 0.10, once: 0, weight: 0.12},
	{share: 0.25, once: 0.03, weight: 0.12},
	{share: 0.50, once: 0.10, weight: 0.12},
	{share: 0.75, once: 0.50, weight: 0.12},
	{share: 0.95, once: 0.95, weight: 0.30},
}

const (
	// margin is the part of the time that is kept free before the deadline.
	margin = 0.05
	// planned is the part of a step's time after which it ends when the
	// evidence suffices; the rest is reserve for outages and sparse traffic.
	planned = 0.85
	// minStep is the least time of a step, in which every entry has heard of
	// it and has reported.
	minStep = 10 * time.Second
	// minWatch is the least time of the watch.
	minWatch = 30 * time.Second
	// headroom is how much capacity the new version needs for its share.
	headroom = 1.2
)

func watchStep() int { return len(steps) - 1 }

// enter starts a step: its time is its part of what is left to the deadline.
func enter(row Row, stage int, now time.Time) Row {
	row.Stage, row.StageStarted = stage, now
	row.Share, row.Reason = steps[stage].share, ""
	row.State = Ramping
	least := minStep
	if stage == watchStep() {
		row.State = Soaking
		least = minWatch
	}
	return replan(row, now, least)
}

// replan sets the end of the step from the time left at now.
func replan(row Row, now time.Time, least time.Duration) Row {
	weight := 0.0
	for _, s := range steps[row.Stage:] {
		weight += s.weight
	}
	left := float64(timeLeft(&row, now)) * steps[row.Stage].weight / weight
	row.StagePlannedEnd = now.Add(max(time.Duration(left*planned), least))
	row.StageLatestEnd = now.Add(max(time.Duration(left), least))
	return row
}

// timeLeft returns the time to the deadline less the margin.
func timeLeft(row *Row, now time.Time) time.Duration {
	total := row.Deadline.Sub(row.Started)
	spare := time.Duration(float64(total) * margin)
	return max(row.Deadline.Add(-spare).Sub(now), 0)
}

// needed returns the least time in which the rest of the move can be done.
func needed(row *Row, now time.Time) time.Duration {
	switch row.State {
	case Pending, Loading:
		return time.Duration(len(steps)-1)*minStep + minWatch
	case Ramping:
		current := max(minStep-now.Sub(row.StageStarted), 0)
		return current + time.Duration(len(steps)-2-row.Stage)*minStep + minWatch
	case Soaking:
		return max(minWatch-now.Sub(row.StageStarted), 0)
	default:
		return 0
	}
}

// pendingShare is the part of the time that may pass without a target of the
// new version before the move counts as late.
const pendingShare = 0.2

// onTrack tells whether the deadline can be met, and why not.
func onTrack(row *Row, now time.Time, capped bool) (bool, string) {
	switch {
	case row.State.final():
		return true, ""
	case now.Add(needed(row, now)).After(row.Deadline):
		return false, fmt.Sprintf("%s are needed and %s are left",
			needed(row, now).Round(time.Second), max(row.Deadline.Sub(now), 0).Round(time.Second))
	case row.State == Pending && float64(now.Sub(row.Started)) > pendingShare*float64(row.Deadline.Sub(row.Started)):
		return false, "no usable target runs " + row.NewVersion
	case capped:
		return false, "too few targets run " + row.NewVersion + " for its share"
	default:
		return true, ""
	}
}
