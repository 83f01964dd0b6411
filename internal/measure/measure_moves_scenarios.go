package measure

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// moveScenario is a move to a good or a defective version, or to a good version while
// a fault that the version does not cause is injected.
type moveScenario struct {
	name string
	// isDefective is set when the version must be rolled back.
	isDefective bool
	// defect describes how the version misbehaves.
	defect target.VersionFault
	// poolFault is injected during the move of a good version.
	poolFault poolFault
}

// poolFault is a fault that the new version does not cause.
type poolFault int

const (
	poolFaultNone poolFault = iota
	// poolFaultSlowPool slows down all engines.
	poolFaultSlowPool
	// poolFaultSlowDomain slows down the engines of one failure domain.
	poolFaultSlowDomain
	// poolFaultTableDown makes the table service unavailable.
	poolFaultTableDown
)

// Bounds of the random parameters of scenarios, and times and speed of pool faults.
const (
	minFailRatio        = 0.15
	failRatioRange      = 0.25
	minSlowFactor       = 2.0
	slowFactorRange     = 1.5
	minDefectOnset      = 0.35 // of the move's time
	defectOnsetRange    = 0.25 // of the move's time
	underLoadMinRunning = 2    // requests at a target
	poolFaultStart      = 0.3  // of the move's time
	poolFaultEnd        = 0.5  // of the move's time
	poolFaultSpeed      = 0.4  // of the engine's normal speed
)

// moveScenarios returns all scenarios with random parameters; realTime is the
// duration of a move by the real clock.
func moveScenarios(random *rand.Rand, realTime time.Duration) []moveScenario {
	failRatio := func() float64 { return minFailRatio + failRatioRange*random.Float64() }
	slowFactor := func() float64 { return minSlowFactor + slowFactorRange*random.Float64() }
	onset := func() time.Duration {
		return time.Duration((minDefectOnset + defectOnsetRange*random.Float64()) * float64(realTime))
	}
	return []moveScenario{
		{name: "good", poolFault: poolFaultNone},
		{name: "good, slow pool", poolFault: poolFaultSlowPool},
		{name: "good, slow failure domain", poolFault: poolFaultSlowDomain},
		{name: "good, table service down", poolFault: poolFaultTableDown},
		{name: "fails always", isDefective: true, defect: target.VersionFault{FailureRatio: 1}},
		{name: "fails", isDefective: true, defect: target.VersionFault{FailureRatio: failRatio()}},
		{name: "fails later", isDefective: true, defect: target.VersionFault{FailureRatio: failRatio(), AfterTime: onset()}},
		{name: "slow", isDefective: true, defect: target.VersionFault{SlowdownFactor: slowFactor()}},
		{name: "slow later", isDefective: true, defect: target.VersionFault{SlowdownFactor: slowFactor(), AfterTime: onset()}},
		{name: "slow under load", isDefective: true, defect: target.VersionFault{SlowdownFactor: slowFactor(), MinRunning: underLoadMinRunning}},
		{name: "fails on one route", isDefective: true, defect: target.VersionFault{FailureRatio: failRatio(), Path: chatPath}},
		{name: "streams without end", isDefective: true, defect: target.VersionFault{OmitStreamEnd: true}},
	}
}
