package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// transitionInput is what the transition of a move depends on besides the row.
type transitionInput struct {
	now time.Time
	// configVersion is the version of the accepted configuration, and poolConfig
	// the pool's part of it.
	configVersion uint64
	poolConfig    *tables.Pool
	// usableTargets are the pool's usable targets.
	usableTargets []tables.Target
	// rollback is set when the version that the configuration names was rolled
	// back.
	rollback *Rollback
	// verdict, stageRequests and concurrency are the evidence of the analyzer.
	verdict       evidence.Verdict
	stageRequests int
	concurrency   float64
}

// nextRow returns the successor of row, or the initial row unless exists is set.
// When nothing changes it returns an equal row.
func nextRow(row Row, exists bool, in *transitionInput) Row {
	switch {
	case !exists:
		return initialRow(in)
	case in.configVersion < row.ConfigVersion:
		return row
	case in.poolConfig.Version != row.NewVersion:
		return changeVersion(row, in)
	case in.rollback != nil && row.State != RolledBack:
		return rolledBackRow(row, *in.rollback)
	case row.State == RolledBack:
		return retryRolledBack(row, in)
	case row.State == Done:
		return row
	case in.poolConfig.Deadline.IsZero():
		row.State, row.Share, row.Reason = Done, 1, "the operator removed the deadline"
		return row
	case !in.poolConfig.Deadline.Equal(row.Deadline):
		return changeDeadline(row, in)
	default:
		return advance(row, in)
	}
}

// initialRow returns the row of a pool that has none.
func initialRow(in *transitionInput) Row {
	row := Row{Pool: in.poolConfig.Name, NewVersion: in.poolConfig.Version, ConfigVersion: in.configVersion, State: Done, Share: 1}
	oldVersion := mostCommonOtherVersion(in.poolConfig, in.usableTargets)
	if in.poolConfig.Deadline.IsZero() || oldVersion == "" {
		return row
	}
	return startMove(row, oldVersion, in)
}

// mostCommonOtherVersion returns the version, other than the configured one, that
// most targets run.
func mostCommonOtherVersion(poolConfig *tables.Pool, targets []tables.Target) string {
	counts := make(map[string]int)
	for _, t := range slices.Concat(targets, poolConfig.Targets) {
		if t.Version != "" && t.Version != poolConfig.Version {
			counts[t.Version]++
		}
	}
	mostCommon := ""
	for version, count := range counts {
		if mostCommon == "" || count > counts[mostCommon] || count == counts[mostCommon] && version < mostCommon {
			mostCommon = version
		}
	}
	return mostCommon
}

// startMove returns the row at the start of a move from oldVersion to the
// configured version.
func startMove(row Row, oldVersion string, in *transitionInput) Row {
	return Row{
		Pool: row.Pool, OldVersion: oldVersion, NewVersion: in.poolConfig.Version, ConfigVersion: in.configVersion,
		Deadline: in.poolConfig.Deadline, State: Pending, Started: in.now, StageStarted: in.now,
		Rollbacks: row.Rollbacks, Reason: "no usable target runs " + in.poolConfig.Version,
	}
}

// changeVersion returns the row after the operator has named another version.
func changeVersion(row Row, in *transitionInput) Row {
	servingVersion := row.OldVersion
	if row.State == Done {
		servingVersion = row.NewVersion
	}
	switch {
	case in.rollback != nil:
		row = startMove(row, servingVersion, in)
		return rolledBackRow(row, *in.rollback)
	case in.poolConfig.Deadline.IsZero() || in.poolConfig.Version == servingVersion || servingVersion == "":
		return Row{
			Pool: row.Pool, OldVersion: servingVersion, NewVersion: in.poolConfig.Version, ConfigVersion: in.configVersion,
			State: Done, Share: 1, Rollbacks: row.Rollbacks,
		}
	default:
		return startMove(row, servingVersion, in)
	}
}

// retryRolledBack restarts the move to a version that was rolled back once the
// operator has named it again.
func retryRolledBack(row Row, in *transitionInput) Row {
	if rollback, ok := row.rollbackOf(row.NewVersion); !ok || !rollback.cleared(in.configVersion, in.poolConfig) {
		return row
	}
	return startMove(row, row.OldVersion, in)
}

// changeDeadline applies a new deadline to a move in progress.
func changeDeadline(row Row, in *transitionInput) Row {
	row.Deadline = in.poolConfig.Deadline
	if row.State == Ramping || row.State == Soaking {
		row = scheduleStage(row, in.now, 0)
	}
	return row
}

func rolledBackRow(row Row, rollback Rollback) Row {
	row.State, row.Share, row.Reason = RolledBack, 0, rollback.Reason
	row.Rollbacks = row.withRollback(rollback)
	return row
}

// minLoadingTargets is the number of targets of the new version that a move waits
// for. With more than one, a fault of a target can be told from a fault of the
// version.
const minLoadingTargets = 2

// loadingTimeFraction is the fraction of the time left that a move waits for them.
const loadingTimeFraction = 0.05

// advance moves the row forward by at most one state or stage.
func advance(row Row, in *transitionInput) Row {
	slots, targetCount := capacityOf(in.usableTargets, row.NewVersion)
	switch row.State {
	case Pending:
		if targetCount == 0 {
			return row
		}
		row.State, row.StageStarted, row.Reason = Loading, in.now, "waits for targets that run "+row.NewVersion
		return row
	case Loading:
		loadingTime := time.Duration(float64(usableTimeLeft(&row, in.now)) * loadingTimeFraction)
		if targetCount < minLoadingTargets && in.now.Sub(row.StageStarted) < loadingTime {
			return row
		}
		return capShare(enterStage(row, 0, in.now), slots, in)
	}
	row = capShare(row, slots, in)
	if in.now.Before(row.StagePlannedEnd) || holdReason(&row, in) != "" {
		return row
	}
	if row.Stage == soakStage() {
		row.State, row.Share, row.Reason = Done, 1, ""
		return row
	}
	return capShare(enterStage(row, row.Stage+1, in.now), slots, in)
}

// minStageRequests is the number of requests to the new version that lets a stage
// end before its latest end.
const minStageRequests = 50

// holdReason returns why the share must not be raised now; empty when only the
// planned end of the stage is awaited. A slowdown of the old version could hide
// a regression, so it holds the share until up to twice the stage's time has
// passed; later stages are scheduled from the time then left.
func holdReason(row *Row, in *transitionInput) string {
	if row.State != Ramping && row.State != Soaking {
		return ""
	}
	verdict := &in.verdict
	overdue := !in.now.Before(row.StageLatestEnd)
	_, targetCount := capacityOf(in.usableTargets, row.NewVersion)
	switch {
	case targetCount == 0:
		return "no usable target runs " + row.NewVersion
	case verdict.Finding != evidence.Healthy:
		return verdict.Reason
	case row.Share < stages[row.Stage].share:
		return fmt.Sprintf("too few targets run %s: share %.2f in place of %.2f",
			row.NewVersion, row.Share, stages[row.Stage].share)
	case verdict.OldDegraded && in.now.Before(row.StageLatestEnd.Add(row.StageLatestEnd.Sub(row.StageStarted))):
		return "held: the old version does worse than usual too"
	case in.stageRequests < minStageRequests && !overdue && !in.now.Before(row.StagePlannedEnd):
		return fmt.Sprintf("held: %d requests answered in this step", in.stageRequests)
	default:
		return ""
	}
}

// capacityOf returns the slots and the number of targets of a version. Slots is
// negative when a target has no limit.
func capacityOf(targets []tables.Target, version string) (slots, count int) {
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

// capFactor is the ratio between neighbouring caps of a share. Coarse caps keep
// the row from changing often.
const capFactor = 1.25

// capShare limits the share to the capacity of the new version's targets.
func capShare(row Row, slots int, in *transitionInput) Row {
	row.Share = stages[row.Stage].share
	if slots < 0 || in.concurrency <= 0 {
		return row
	}
	maxShare := float64(slots) / (capacityHeadroom * in.concurrency)
	for row.Share > maxShare && row.Share > minCappedShare {
		row.Share /= capFactor
	}
	return row
}

// minCappedShare is the share below which no further cap is applied, since any
// target is assumed to carry it.
const minCappedShare = 0.01
