package measure

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// groundTruth is what the targets really ran, by call.
type groundTruth struct {
	runs        []target.Run
	byRequestID map[string][]target.Run
}

// newGroundTruth orders the targets' logs by call.
func newGroundTruth(runs []target.Run) *groundTruth {
	gt := &groundTruth{runs: runs, byRequestID: make(map[string][]target.Run)}
	for _, run := range runs {
		id := load.RequestID(run)
		gt.byRequestID[id] = append(gt.byRequestID[id], run)
	}
	return gt
}

// duplicateDispatches counts the runs of model calls beyond those allowed: one
// for a keyed call however often it was sent, and one for each sending without a key.
func (gt *groundTruth) duplicateDispatches(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Request.Kind == load.KindCompletion {
			count += gt.excessRuns(outcome)
		}
	}
	return count
}

// nonIdempotentDoubles counts the runs of service calls beyond the first.
func (gt *groundTruth) nonIdempotentDoubles(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Request.Kind == load.KindService {
			count += gt.excessRuns(outcome)
		}
	}
	return count
}

// excessRuns is how many runs of the call there were beyond those allowed.
func (gt *groundTruth) excessRuns(outcome *load.Outcome) int {
	allowed := 1
	if outcome.Request.IdempotencyKey == "" {
		allowed = outcome.SendCount()
	}
	return max(0, len(gt.byRequestID[outcome.Request.ID])-allowed)
}

// falseNotRun counts the calls of which some attempt was told "not run"
// although a run of that call had started by then. A call without a key that
// was sent more than once is left out, since its attempts cannot be told
// apart.
func (gt *groundTruth) falseNotRun(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Request.IdempotencyKey == "" && outcome.SendCount() > 1 {
			continue
		}
		if gt.hasFalseNotRun(outcome) {
			count++
		}
	}
	return count
}

func (gt *groundTruth) hasFalseNotRun(outcome *load.Outcome) bool {
	for _, attempt := range outcome.Attempts {
		if attempt.RunStatus != runStatusNotRun {
			continue
		}
		for _, run := range gt.byRequestID[outcome.Request.ID] {
			if run.Started.Before(attempt.EndedAt) || outcome.Request.IdempotencyKey == "" {
				return true
			}
		}
	}
	return false
}

// runStatusNotRun is the statement that a refused request has not run.
const runStatusNotRun = "not_run"

// countWrongOrTruncated counts the attempts that ended in good order with an answer
// that is not the whole answer to their own request.
func countWrongOrTruncated(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		for _, attempt := range outcome.Attempts {
			if attempt.Verdict == load.VerdictWrong || attempt.Verdict == load.VerdictTruncated {
				count++
			}
		}
	}
	return count
}

// answeredRatio is the share of calls that got their whole answer.
func answeredRatio(outcomes []*load.Outcome) float64 {
	complete := 0
	for _, outcome := range outcomes {
		if outcome.Final().Verdict == load.VerdictComplete {
			complete++
		}
	}
	return ratio(float64(complete), float64(len(outcomes)))
}

// ratio is part/whole, and 0 without a whole.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// isRunningAt reports whether a run was under way at a time.
func isRunningAt(run target.Run, at time.Time) bool {
	return run.Started.Before(at) && (run.Ended.IsZero() || run.Ended.After(at))
}
