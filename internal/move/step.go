package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// input is what a step of a move depends on besides the row.
type input struct {
	now time.Time
	// config is the version of the accepted configuration that holds pool.
	config uint64
	pool   *tables.Pool
	// targets are the usable ones.
	targets []tables.Target
	// mark is set when the version that the pool names is taken back.
	mark *Rollback
	// verdict, served and concurrency are the analyzer's evidence.
	verdict     evidence.Verdict
	served      int
	concurrency float64
}

// next returns the row that follows row, which exists unless version is 0.
// Without a change it returns an equal row.
func next(row Row, exists bool, in *input) Row {
	switch {
	case !exists:
		return first(in)
	case in.config < row.ConfigVersion:
		return row
	case in.pool.Version != row.NewVersion:
		return renamed(row, in)
	case in.mark != nil && row.State != RolledBack:
		return takenBack(row, *in.mark)
	case row.State == RolledBack:
		return retried(row, in)
	case row.State == Done:
		return row
	case in.pool.Deadline.IsZero():
		row.State, row.Share, row.Reason = Done, 1, "the operator removed the deadline"
		return row
	case !in.pool.Deadline.Equal(row.Deadline):
		return postponed(row, in)
	default:
		return advance(row, in)
	}
}

// first returns the row of a pool that has none.
func first(in *input) Row {
	row := Row{Pool: in.pool.Name, NewVersion: in.pool.Version, ConfigVersion: in.config, State: Done, Share: 1}
	old := prevailing(in.pool, in.targets)
	if in.pool.Deadline.IsZero() || old == "" {
		return row
	}
	return begin(row, old, in)
}

// prevailing returns the version, other than the pool's, that most targets run.
func prevailing(pool *tables.Pool, targets []tables.Target) string {
	counts := make(map[string]int)
	for _, t := range slices.Concat(targets, pool.Targets) {
		if t.Version != "" && t.Version != pool.Version {
			counts[t.Version]++
		}
	}
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// begin returns a row at the start of a move from old to the pool's version.
func begin(row Row, old string, in *input) Row {
	return Row{
		Pool: row.Pool, OldVersion: old, NewVersion: in.pool.Version, ConfigVersion: in.config,
		Deadline: in.pool.Deadline, State: Pending, Started: in.now, StageStarted: in.now,
		Rollbacks: row.Rollbacks, Reason: "no usable target runs " + in.pool.Version,
	}
}

// renamed follows an operator who names another version.
func renamed(row Row, in *input) Row {
	serving := row.OldVersion
	if row.State == Done {
		serving = row.NewVersion
	}
	switch {
	case in.mark != nil:
		row = begin(row, serving, in)
		return takenBack(row, *in.mark)
	case in.pool.Deadline.IsZero() || in.pool.Version == serving || serving == "":
		return Row{
			Pool: row.Pool, OldVersion: serving, NewVersion: in.pool.Version, ConfigVersion: in.config,
			State: Done, Share: 1, Rollbacks: row.Rollbacks,
		}
	default:
		return begin(row, serving, in)
	}
}

// retried starts a taken-back version again when the operator says so.
func retried(row Row, in *input) Row {
	if mark, ok := row.mark(row.NewVersion); !ok || !mark.lifted(in.config, in.pool) {
		return row
	}
	return begin(row, row.OldVersion, in)
}

// postponed takes a new deadline into a move under way.
func postponed(row Row, in *input) Row {
	row.Deadline = in.pool.Deadline
	if row.State == Ramping || row.State == Soaking {
		row = replan(row, in.now, 0)
	}
	return row
}

func takenBack(row Row, mark Rollback) Row {
	row.State, row.Share, row.Reason = RolledBack, 0, mark.Reason
	row.Rollbacks = row.withMark(mark)
	return row
}

// wantedTargets is how many targets of the new version a move waits for, so
// that a target's own fault can be told from the version's.
const wantedTargets = 2

// loadingPatience is the part of the time left that Loading waits for them.
const loadingPatience = 0.05

// advance carries a move on by at most one step.
func advance(row Row, in *input) Row {
	slots, running := capacity(in.targets, row.NewVersion)
	switch row.State {
	case Pending:
		if running == 0 {
			return row
		}
		row.State, row.StageStarted, row.Reason = Loading, in.now, "waits for targets that run "+row.NewVersion
		return row
	case Loading:
		patience := time.Duration(float64(timeLeft(&row, in.now)) * loadingPatience)
		if running < wantedTargets && in.now.Sub(row.StageStarted) < patience {
			return row
		}
		return limit(enter(row, 0, in.now), slots, in)
	}
	row = limit(row, slots, in)
	if in.now.Before(row.StagePlannedEnd) || holds(&row, in) != "" {
		return row
	}
	if row.Stage == watchStep() {
		row.State, row.Share, row.Reason = Done, 1, ""
		return row
	}
	return limit(enter(row, row.Stage+1, in.now), slots, in)
}

// enoughRequests is how many requests the new version answers in a step before
// the step ends ahead of its latest time.
const enoughRequests = 50

// holds returns why the share does not rise now, or will not; empty when
// nothing but the planned time speaks against it. A slowdown that hits the old
// version too may hide badness, so it holds the share for up to twice the time
// of the step; later steps are planned from what is then left.
func holds(row *Row, in *input) string {
	if row.State != Ramping && row.State != Soaking {
		return ""
	}
	v := &in.verdict
	late := !in.now.Before(row.StageLatestEnd)
	_, running := capacity(in.targets, row.NewVersion)
	switch {
	case running == 0:
		return "no usable target runs " + row.NewVersion
	case v.Finding != evidence.Healthy:
		return v.Reason
	case row.Share < steps[row.Stage].share:
		return fmt.Sprintf("too few targets run %s: share %.2f in place of %.2f",
			row.NewVersion, row.Share, steps[row.Stage].share)
	case v.OldDegraded && in.now.Before(row.StageLatestEnd.Add(row.StageLatestEnd.Sub(row.StageStarted))):
		return "held: the old version does worse than usual too"
	case in.served < enoughRequests && !late && !in.now.Before(row.StagePlannedEnd):
		return fmt.Sprintf("held: %d requests answered in this step", in.served)
	default:
		return ""
	}
}

// capacity returns the slots and the number of targets of a version; slots is
// negative when a target has no bound.
func capacity(targets []tables.Target, version string) (slots, count int) {
	for _, t := range targets {
		if t.Version != version {
			continue
		}
		count++
		if t.Slots <= 0 || slots < 0 {
			slots = -1
			continue
		}
		slots += t.Slots
	}
	return slots, count
}

// capStep is the factor between the caps that a share can have, so that the
// row changes rarely.
const capStep = 1.25

// limit caps the share by what the new version's targets can run.
func limit(row Row, slots int, in *input) Row {
	row.Share = steps[row.Stage].share
	if slots < 0 || in.concurrency <= 0 {
		return row
	}
	most := float64(slots) / (headroom * in.concurrency)
	for row.Share > most && row.Share > minCap {
		row.Share /= capStep
	}
	return row
}

// minCap is the share that any target is taken to carry.
const minCap = 0.01
