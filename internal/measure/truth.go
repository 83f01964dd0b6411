package measure

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// truth is what the targets really ran, by call.
type truth struct {
	runs   []target.Run
	byCall map[string][]target.Run
}

// newTruth orders the targets' logs by call.
func newTruth(runs []target.Run) *truth {
	t := &truth{runs: runs, byCall: make(map[string][]target.Run)}
	for _, run := range runs {
		id := load.RunID(run)
		t.byCall[id] = append(t.byCall[id], run)
	}
	return t
}

// duplicateDispatches counts the runs of model calls beyond those allowed: one
// for a keyed call however often it was sent, and one for each sending without a key.
func (t *truth) duplicateDispatches(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Call.Kind == load.KindCompletion {
			count += t.excess(outcome)
		}
	}
	return count
}

// nonIdempotentDoubles counts the runs of service calls beyond the first.
func (t *truth) nonIdempotentDoubles(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Call.Kind == load.KindService {
			count += t.excess(outcome)
		}
	}
	return count
}

// excess is how many runs of the call there were beyond those allowed.
func (t *truth) excess(outcome *load.Outcome) int {
	allowed := 1
	if outcome.Call.Key == "" {
		allowed = outcome.Sends()
	}
	return max(0, len(t.byCall[outcome.Call.ID])-allowed)
}

// falseNotRun counts the calls of which some attempt was told "not run"
// although a run of that call had started by then. A call without a key that
// was sent more than once is left out, since its attempts cannot be told
// apart.
func (t *truth) falseNotRun(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.Call.Key == "" && outcome.Sends() > 1 {
			continue
		}
		if t.deniesRun(outcome) {
			count++
		}
	}
	return count
}

func (t *truth) deniesRun(outcome *load.Outcome) bool {
	for _, attempt := range outcome.Attempts {
		if attempt.Run != runNotRun {
			continue
		}
		for _, run := range t.byCall[outcome.Call.ID] {
			if run.StartedAt.Before(attempt.Ended) || outcome.Call.Key == "" {
				return true
			}
		}
	}
	return false
}

// runNotRun is the statement that a refused request has not run.
const runNotRun = "not_run"

// wrongOrPartial counts the attempts that ended in good order with an answer
// that is not the whole answer to their own request.
func wrongOrPartial(outcomes []*load.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		for _, attempt := range outcome.Attempts {
			if attempt.Verdict == load.Wrong || attempt.Verdict == load.Partial {
				count++
			}
		}
	}
	return count
}

// answeredRatio is the share of calls that got their whole answer.
func answeredRatio(outcomes []*load.Outcome) float64 {
	whole := 0
	for _, outcome := range outcomes {
		if outcome.Final().Verdict == load.Whole {
			whole++
		}
	}
	return ratio(float64(whole), float64(len(outcomes)))
}

// ratio is part/whole, and 0 without a whole.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// overlaps reports whether a run was under way at a time.
func overlaps(run target.Run, at time.Time) bool {
	return run.StartedAt.Before(at) && (run.EndedAt.IsZero() || run.EndedAt.After(at))
}
