// Package faultmatrix records the fault injection coverage of the system: for
// each Step and each Fault that can occur during it, which tests cover the
// combination (Cell). It also lists combinations of two faults (Pair) and the
// guarantees of the system with their tests (Guarantee).
//
// A cell is in exactly one of three states: covered by tests; impossible, with
// the reason; or not tested yet, with the issue that tracks it. The tests of this
// package fail if a cell is in no state or in several, and if a listed test does
// not exist. RenderPage renders docs/FAULTS.md, and a test compares the two.
//
// A listed test covers the rule of its own package. It does not imply that the
// behaviour was tested with whole instances.
package faultmatrix

// Step is an operation of the system during which faults are considered.
type Step string

// Steps of a request, a configuration, a move and the shutdown of an instance, in
// the order in which they occur.
const (
	Accept      Step = "accept"
	Wait        Step = "wait"
	Claim       Step = "claim"
	Dispatch    Step = "dispatch"
	Stream      Step = "stream"
	Answer      Step = "answer"
	Apply       Step = "apply"
	Adopt       Step = "adopt"
	LoadVersion Step = "load"
	Advance     Step = "advance"
	RollBack    Step = "take back"
	Drain       Step = "drain"
	Shutdown    Step = "shut down"
)

// Steps lists all steps in the order of the page.
var Steps = []Step{
	Accept, Wait, Claim, Dispatch, Stream, Answer, Apply, Adopt, LoadVersion, Advance, RollBack, Drain, Shutdown,
}

// Fault is a fault that can occur during a step.
type Fault string

// Faults. Death, Pause and Slow concern the instance that executes the step or an
// instance on which it depends.
const (
	Death               Fault = "death"
	Pause               Fault = "pause"
	Slow                Fault = "slow"
	LostMessage         Fault = "lost message"
	LostResponse        Fault = "lost answer after effect"
	TableServiceDown    Fault = "table service down"
	InstanceListLag     Fault = "list lag"
	Burst               Fault = "burst"
	TargetCrash         Fault = "target crash"
	FaultyVersion       Fault = "bad version"
	ConcurrentOperators Fault = "operators racing"
)

// Faults lists all faults in the order of the page.
var Faults = []Fault{
	Death, Pause, Slow, LostMessage, LostResponse, TableServiceDown, InstanceListLag, Burst, TargetCrash, FaultyVersion, ConcurrentOperators,
}

// Test identifies a test function.
type Test struct {
	// Package is the directory of the package relative to internal.
	Package string
	// Name is the name of the test function.
	Name string
}

// Cell describes how a fault during a step is covered. Exactly one of Tests,
// Impossible, and Untested with Issue is set.
type Cell struct {
	// Tests inject the fault during the step.
	Tests []Test
	// Impossible is the reason why the fault cannot occur during the step.
	Impossible string
	// Untested describes what is not tested yet, and Issue is the number of the
	// issue that tracks it.
	Untested string
	Issue    int
}

// StateCount returns how many of the three states the cell is in. A valid cell is
// in exactly one.
func (c *Cell) StateCount() int {
	states := 0
	if len(c.Tests) > 0 {
		states++
	}
	if c.Impossible != "" {
		states++
	}
	if c.Untested != "" && c.Issue > 0 {
		states++
	}
	return states
}

// Pair describes how two simultaneous faults are covered.
type Pair struct {
	First, Second Fault
	Cell
}

// testedBy returns a cell that is covered by tests of one package.
func testedBy(pkg string, names ...string) Cell {
	var c Cell
	for _, name := range names {
		c.Tests = append(c.Tests, Test{pkg, name})
	}
	return c
}

// cannotOccur returns a cell whose fault is impossible for the given reason.
func cannotOccur(reason string) Cell { return Cell{Impossible: reason} }

// notTested returns a cell whose gap in coverage is tracked by an issue.
func notTested(issue int, gap string) Cell { return Cell{Untested: gap, Issue: issue} }

// Numbers of the issues that track untested cells.
const (
	issuePath      = 3
	issueOnce      = 4
	issuePressure  = 5
	issueAgreement = 6
	issueMoves     = 7
	issueProof     = 8
)
