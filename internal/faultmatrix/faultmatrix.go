// Package faultmatrix lists the steps of the system's work and the faults that
// may strike at each, and says for each pair which test brings it about.
//
// A cell is in one of three states: a test proves it; it cannot occur, with the
// reason; or it is not proved yet, with the issue under which it is open. A test
// of this package fails on a cell in none of these states and on a named test
// that the source does not have; docs/FAULTS.md is written by Page and compared
// with it.
//
// A test in a cell proves the rule of the package that it is in. It does not say
// that the same was seen of whole instances.
package faultmatrix

// Step is something that the system does.
type Step string

// Steps in the order in which a request, a configuration, a move and an
// instance's end take them.
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

// Steps are all steps in order.
var Steps = []Step{
	Accept, Wait, Claim, Dispatch, Stream, Answer, Apply, Adopt, LoadVersion, Advance, RollBack, Drain, Shutdown,
}

// Fault is something that strikes at a step.
type Fault string

// Faults; death, pause and slow are of the instance that does the step or of
// the one that it depends on.
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

// Faults are all faults in order.
var Faults = []Fault{
	Death, Pause, Slow, LostMessage, LostResponse, TableServiceDown, InstanceListLag, Burst, TargetCrash, FaultyVersion, ConcurrentOperators,
}

// Test names a test function.
type Test struct {
	// Package is the directory below internal.
	Package string
	// Name is the function.
	Name string
}

// Cell says how a fault at a step is covered; one of its states is set.
type Cell struct {
	// Tests bring the fault about at the step.
	Tests []Test
	// Impossible is why the fault cannot occur there.
	Impossible string
	// Untested is what is not proved yet; Issue is where it is kept.
	Untested string
	Issue    int
}

// StateCount counts how many of the three states a cell is in; one is right.
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

// Pair is two faults at once.
type Pair struct {
	First, Second Fault
	Cell
}

// testedBy is a cell with tests of one package.
func testedBy(pkg string, names ...string) Cell {
	var c Cell
	for _, name := range names {
		c.Tests = append(c.Tests, Test{pkg, name})
	}
	return c
}

func cannotOccur(reason string) Cell { return Cell{Impossible: reason} }

func notTested(issue int, gap string) Cell { return Cell{Untested: gap, Issue: issue} }

// Issues under which cells are open.
const (
	issuePath      = 3
	issueOnce      = 4
	issuePressure  = 5
	issueAgreement = 6
	issueMoves     = 7
	issueProof     = 8
)
