package measure

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// moveKind is one kind of new version, or of trouble that is not the
// version's fault.
type moveKind struct {
	name string
	// bad is set when the version shall be taken back.
	bad bool
	// badness is how the version misbehaves.
	badness target.VersionFault
	// trouble is what befalls the pool while a good version moves in.
	trouble poolTrouble
}

// poolTrouble is something that is not the new version's fault.
type poolTrouble int

const (
	troubleNone poolTrouble = iota
	// troubleSlowPool slows all engines for a while.
	troubleSlowPool
	// troubleSlowDomain slows the engines of one failure domain for a while.
	troubleSlowDomain
	// troubleTableDown stops the table service for a while.
	troubleTableDown
)

// Bounds of the kinds; the seed draws within them.
const (
	mildFailures  = 0.15
	failuresRange = 0.25
	mildSlowness  = 2.0
	slownessRange = 1.5
	lateFrom      = 0.35 // of the move's time
	lateRange     = 0.25
	underLoad     = 2 // running requests at a target
	troubleFrom   = 0.3
	troubleUntil  = 0.5
	troubleSpeed  = 0.4
)

// moveKinds draws one of each kind; length is the move's real time.
func moveKinds(random *rand.Rand, length time.Duration) []moveKind {
	fails := func() float64 { return mildFailures + failuresRange*random.Float64() }
	slow := func() float64 { return mildSlowness + slownessRange*random.Float64() }
	late := func() time.Duration {
		return time.Duration((lateFrom + lateRange*random.Float64()) * float64(length))
	}
	return []moveKind{
		{name: "good", trouble: troubleNone},
		{name: "good, slow pool", trouble: troubleSlowPool},
		{name: "good, slow failure domain", trouble: troubleSlowDomain},
		{name: "good, table service down", trouble: troubleTableDown},
		{name: "fails always", bad: true, badness: target.VersionFault{FailureRatio: 1}},
		{name: "fails", bad: true, badness: target.VersionFault{FailureRatio: fails()}},
		{name: "fails later", bad: true, badness: target.VersionFault{FailureRatio: fails(), AfterTime: late()}},
		{name: "slow", bad: true, badness: target.VersionFault{SlowdownFactor: slow()}},
		{name: "slow later", bad: true, badness: target.VersionFault{SlowdownFactor: slow(), AfterTime: late()}},
		{name: "slow under load", bad: true, badness: target.VersionFault{SlowdownFactor: slow(), MinRunning: underLoad}},
		{name: "fails on one route", bad: true, badness: target.VersionFault{FailureRatio: fails(), Path: chatPath}},
		{name: "streams without end", bad: true, badness: target.VersionFault{OmitStreamEnd: true}},
	}
}
