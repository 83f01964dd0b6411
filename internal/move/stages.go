package move

import (
	"fmt"
	"time"
)

// stage is one stage of the share.
type stage struct {
	// share is the fraction of idempotent requests for the new version.
	share float64
	// nonIdempotentShare is the fraction of non-idempotent requests for it.
	nonIdempotentShare float64
	// timeWeight is the stage's fraction of the time to the deadline.
	timeWeight float64
}

// stages are the stages of a move; the last one is the Soaking state.
var stages = []stage{
	{share: 0.03, nonIdempotentShare: 0, timeWeight: 0.22},
	{share: 0.10, nonIdempotentShare: 0, timeWeight: 0.12},
	{share: 0.25, nonIdempotentShare: 0.03, timeWeight: 0.12},
	{share: 0.50, nonIdempotentShare: 0.10, timeWeight: 0.12},
	{share: 0.75, nonIdempotentShare: 0.50, timeWeight: 0.12},
	{share: 0.95, nonIdempotentShare: 0.95, timeWeight: 0.30},
}

const (
	// deadlineMargin is the fraction of the move's time kept free before the
	// deadline.
	deadlineMargin = 0.05
	// plannedFraction is the fraction of a stage's time after which it ends when
	// the evidence suffices. The rest is a reserve for outages and sparse traffic.
	plannedFraction = 0.85
	// minStageTime is the minimum duration of a stage, long enough for every
	// instance to receive it and to send a report.
	minStageTime = 10 * time.Second
	// minSoakTime is the minimum duration of the Soaking state.
	minSoakTime = 30 * time.Second
	// capacityHeadroom is the factor by which the new version's capacity must
	// exceed its share of the concurrency.
	capacityHeadroom = 1.2
)

func soakStage() int { return len(stages) - 1 }

// enterStage starts a stage and allots it a part of the time left to the
// deadline.
func enterStage(row Row, stage int, now time.Time) Row {
	row.Stage, row.StageStarted = stage, now
	row.Share, row.Reason = stages[stage].share, ""
	row.State = Ramping
	minTime := minStageTime
	if stage == soakStage() {
		row.State = Soaking
		minTime = minSoakTime
	}
	return scheduleStage(row, now, minTime)
}

// scheduleStage sets the planned and the latest end of the stage from the time
// left at now.
func scheduleStage(row Row, now time.Time, minTime time.Duration) Row {
	weight := 0.0
	for _, s := range stages[row.Stage:] {
		weight += s.timeWeight
	}
	stageTime := float64(usableTimeLeft(&row, now)) * stages[row.Stage].timeWeight / weight
	row.StagePlannedEnd = now.Add(max(time.Duration(stageTime*plannedFraction), minTime))
	row.StageLatestEnd = now.Add(max(time.Duration(stageTime), minTime))
	return row
}

// usableTimeLeft returns the time to the deadline less the margin.
func usableTimeLeft(row *Row, now time.Time) time.Duration {
	total := row.Deadline.Sub(row.Started)
	reserve := time.Duration(float64(total) * deadlineMargin)
	return max(row.Deadline.Add(-reserve).Sub(now), 0)
}

// minTimeNeeded returns the minimum time in which the rest of the move can
// complete.
func minTimeNeeded(row *Row, now time.Time) time.Duration {
	switch row.State {
	case Pending, Loading:
		return time.Duration(len(stages)-1)*minStageTime + minSoakTime
	case Ramping:
		current := max(minStageTime-now.Sub(row.StageStarted), 0)
		return current + time.Duration(len(stages)-2-row.Stage)*minStageTime + minSoakTime
	case Soaking:
		return max(minSoakTime-now.Sub(row.StageStarted), 0)
	default:
		return 0
	}
}

// maxPendingFraction is the fraction of the move's time that may pass without a
// target of the new version before the move is reported as late.
const maxPendingFraction = 0.2

// onTrack reports whether the deadline can be met, and the reason if not.
func onTrack(row *Row, now time.Time, shareCapped bool) (bool, string) {
	switch {
	case row.State.isFinal():
		return true, ""
	case now.Add(minTimeNeeded(row, now)).After(row.Deadline):
		return false, fmt.Sprintf("%s are needed and %s are left",
			minTimeNeeded(row, now).Round(time.Second), max(row.Deadline.Sub(now), 0).Round(time.Second))
	case row.State == Pending && float64(now.Sub(row.Started)) > maxPendingFraction*float64(row.Deadline.Sub(row.Started)):
		return false, "no usable target runs " + row.NewVersion
	case shareCapped:
		return false, "too few targets run " + row.NewVersion + " for its share"
	default:
		return true, ""
	}
}
