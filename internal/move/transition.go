package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// stepInput is what a step of a move depends on besides the row.
type stepInput struct {
	now time.Time
	// configVersion is the version of the accepted configuration that holds pool.
	configVersion uint64
	poolConfig    *tables.Pool
	// usableTargets are the usable ones.
	usableTargets []tables.Target
	// rollback is set when the version that the pool names is taken back.
	rollback *Rollback
	// verdict, served and concurrency are the analyzer's evidence.
	verdict       evidence.Verdict
	stageRequests int
	concurrency   float64
}

// nextRow returns the row that follows row, which exists unless version is 0.
// Without a change it returns an equal row.
func nextRow(row Row, exists bool, in *stepInput) Row {
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
func initialRow(in *stepInput) Row {
	row := Row{Pool: in.poolConfig.Name, NewVersion: in.poolConfig.Version, ConfigVersion: in.configVersion, State: Done, Share: 1}
	oldVersion := mostCommonOtherVersion(in.poolConfig, in.usableTargets)
	if in.poolConfig.Deadline.IsZero() || oldVersion == "" {
		return row
	}
	return startMove(row, oldVersion, in)
}

// mostCommonOtherVersion returns the version, other than the pool's, that most targets run.
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

// startMove returns a row at the start of a move from old to the pool's version.
func startMove(row Row, oldVersion string, in *stepInput) Row {
	return Row{
		Pool: row.Pool, OldVersion: oldVersion, NewVersion: in.poolConfig.Version, ConfigVersion: in.configVersion,
		Deadline: in.poolConfig.Deadline, State: Pending, Started: in.now, StageStarted: in.now,
		Rollbacks: row.Rollbacks, Reason: "no usable target runs " + in.poolConfig.Version,
	}
}

// changeVersion follows an operator who names another version.
func changeVersion(row Row, in *stepInput) Row {
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

// retryRolledBack starts a taken-back version again when the operator says so.
func retryRolledBack(row Row, in *stepInput) Row {
	if rollback, ok := row.rollbackOf(row.NewVersion); !ok || !rollback.cleared(in.configVersion, in.poolConfig) {
		return row
	}
	return startMove(row, row.OldVersion, in)
}

// changeDeadline takes a new deadline into a move under way.
func changeDeadline(row Row, in *stepInput) Row {
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

// minLoadingTargets is how many targets of the new version a move waits for, so
// that a target's own fault can be told from the version's.
const minLoadingTargets = 2

// loadingTimeFraction is the part of the time left that Loading waits for them.
const loadingTimeFraction = 0.05

// advance carries a move on by at most one step.
func advance(row Row, in *stepInput) Row {
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

// minStageRequests is how many requests the new version answers in a step before
// the step ends ahead of its latest time.
const minStageRequests = 50

// holdReason returns why the share does not rise now, or will not; empty when
// nothing but the planned time speaks against it. A slowdown that hits the old
// version too may hide badness, so it holdReason the share for up to twice the time
// of the step; later steps are planned from what is then left.
func holdReason(row *Row, in *stepInput) string {
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

// capacityOf returns the slots and the number of targets of a version; slots is
// negative when a target has no bound.
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

// capFactor is the factor between the caps that a share can have, so that the
// row changes rarely.
const capFactor = 1.25

// capShare caps the share by what the new version's targets can run.
func capShare(row Row, slots int, in *stepInput) Row {
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

// minCappedShare is the share that any target is taken to carry.
const minCappedShare = 0.01
