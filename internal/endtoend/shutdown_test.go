package endtoend

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// TestTerminate ends one process under load: streams run in it and more wait
// than the engines have slots. Every call must get its whole answer.
func TestTerminate(t *testing.T) {
	const (
		calls  = 24
		tokens = 50
	)
	f := startFleet(t, 2, longDeadline)
	leaving := f.processes[0]
	callers := newCrowd(t, patience)
	for i := range calls {
		callers.send(stream(fmt.Sprintf("leave-%d", i), tokens, i%2 == 0), leaving.callersURL())
	}
	f.waitForRuns(t, 4)
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(t), exit.Done)
	outcomes := callers.wait()
	f.checkTruth(t, outcomes)
	checkWhole(t, outcomes)
}

// TestTerminateTwice ends the grace of a shutdown that would last long. What
// is left must be told the truth.
func TestTerminateTwice(t *testing.T) {
	const (
		running = 3
		waiting = 3
		// tokens are so many that no run ends within the patience.
		tokens = 10_000
	)
	f := startFleet(t, 1, longDeadline)
	leaving := f.processes[0]
	callers := newCrowd(t, patience)
	for i := range running + waiting {
		callers.send(stream(fmt.Sprintf("grace-%d", i), tokens, false), leaving.callersURL())
	}
	f.waitForRuns(t, running)
	leaving.signal(t, syscall.SIGTERM)
	waitFor(t, "the shutdown begins", func() bool {
		_, began := leaving.logged("shutting down")
		return began
	})
	assert.Assert(t, !leaving.hasEnded())
	leaving.signal(t, syscall.SIGTERM)
	code := leaving.exitCode(t)
	for id, own := range f.runs() {
		for _, r := range own {
			assert.Assert(t, r.Status != target.StatusComplete, "the process waited for call %s", id)
		}
	}
	outcomes := callers.wait()
	f.checkTruth(t, outcomes)
	for _, o := range outcomes {
		assert.Equal(t, o.Final().Verdict, load.Refused, describe(o))
	}
	t.Logf("exit code %d", code)
}
