package measure

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// moveScenario is one kind of new version, or of trouble that is not the
// version's fault.
type moveScenario struct {
	name string
	// isDefective is set when the version shall be taken back.
	isDefective bool
	// defect is how the version misbehaves.
	defect target.Badness
	// poolFault is what befalls the pool while a good version moves in.
	poolFault poolFault
}

// poolFault is something that is not the new version's fault.
type poolFault int

const (
	poolFaultNone poolFault = iota
	// poolFaultSlowPool slows all engines for a while.
	poolFaultSlowPool
	// poolFaultSlowDomain slows the engines of one failure domain for a while.
	poolFaultSlowDomain
	// poolFaultTableDown stops the table service for a while.
	poolFaultTableDown
)

// Bounds of the kinds; the seed draws within them.
const (
	minFailRatio        = 0.15
	failRatioRange      = 0.25
	minSlowFactor       = 2.0
	slowFactorRange     = 1.5
	minDefectOnset      = 0.35 // of the move's time
	defectOnsetRange    = 0.25
	underLoadMinRunning = 2 // running requests at a target
	poolFaultStart      = 0.3
	poolFaultEnd        = 0.5
	poolFaultSpeed      = 0.4
)

// moveScenarios draws one of each kind; length is the move's real time.
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
		{name: "fails always", isDefective: true, defect: target.Badness{FailRatio: 1}},
		{name: "fails", isDefective: true, defect: target.Badness{FailRatio: failRatio()}},
		{name: "fails later", isDefective: true, defect: target.Badness{FailRatio: failRatio(), AfterTime: onset()}},
		{name: "slow", isDefective: true, defect: target.Badness{SlowFactor: slowFactor()}},
		{name: "slow later", isDefective: true, defect: target.Badness{SlowFactor: slowFactor(), AfterTime: onset()}},
		{name: "slow under load", isDefective: true, defect: target.Badness{SlowFactor: slowFactor(), MinRunning: underLoadMinRunning}},
		{name: "fails on one route", isDefective: true, defect: target.Badness{FailRatio: failRatio(), Path: chatPath}},
		{name: "streams without end", isDefective: true, defect: target.Badness{NoEnd: true}},
	}
}
