package measure

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// groundTruth holds the runs that the targets logged, in total and by request.
type groundTruth struct {
	runs        []target.Run
	byRequestID map[string][]target.Run
}

// newGroundTruth groups the targets' runs by request.
func newGroundTruth(runs []target.Run) *groundTruth {
	gt := &groundTruth{runs: runs, byRequestID: make(map[string][]target.Run)}
	for _, run := range runs {
		id := load.RequestID(run)
		gt.byRequestID[id] = append(gt.byRequestID[id], run)
	}
	return gt
}

// duplicateDispatches counts the excess runs of model requests.
func (gt *groundTruth) duplicateDispatches(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Request.Kind == load.KindCompletion {
			count += gt.excessRuns(outcome)
		}
	}
	return count
}

// nonIdempotentDoubles counts the excess runs of service requests. These are not
// idempotent.
func (gt *groundTruth) nonIdempotentDoubles(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Request.Kind == load.KindService {
			count += gt.excessRuns(outcome)
		}
	}
	return count
}

// excessRuns returns how many runs of a request there were beyond those allowed:
// one for a request with an idempotency key, however often it was sent, and one for
// each time that a request without a key was sent.
func (gt *groundTruth) excessRuns(outcome *load.Outcome) int {
	allowed := 1
	if outcome.Request.IdempotencyKey == "" {
		allowed = outcome.SendCount()
	}
	return max(0, len(gt.byRequestID[outcome.Request.ID])-allowed)
}

// falseNotRun counts the requests with a false "not_run" response. A request
// without an idempotency key that was sent more than once is skipped, since the
// runs of its attempts cannot be told apart.
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

// hasFalseNotRun reports whether an attempt received "not_run" although a run of
// the request had started by then, or, for a request without an idempotency key,
// although it ran at any time.
func (gt *groundTruth) hasFalseNotRun(outcome *load.Outcome) bool {
	for _, attempt := range outcome.Attempts {
		if attempt.RunStatus != runStatusNotRun {
			continue
		}
		for _, run := range gt.byRequestID[outcome.Request.ID] {
			if run.StartedAt.Before(attempt.EndedAt) || outcome.Request.IdempotencyKey == "" {
				return true
			}
		}
	}
	return false
}

// runStatusNotRun is the run status of a refused request that has not run.
const runStatusNotRun = "not_run"

// countWrongOrTruncated counts the attempts that ended without a connection error
// and without the complete response to their own request, refusals excluded.
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

// answeredRatio returns the share of requests with a complete response.
func answeredRatio(outcomes []*load.Outcome) float64 {
	complete := 0
	for _, outcome := range outcomes {
		if outcome.Final().Verdict == load.VerdictComplete {
			complete++
		}
	}
	return ratio(float64(complete), float64(len(outcomes)))
}

// ratio returns part/total, or 0 when total is 0.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// isRunningAt reports whether a run had started and not ended at a time. A run
// without an end time is still running.
func isRunningAt(run target.Run, instant time.Time) bool {
	return run.StartedAt.Before(instant) && (run.EndedAt.IsZero() || run.EndedAt.After(instant))
}
