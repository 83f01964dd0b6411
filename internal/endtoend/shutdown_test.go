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

// TestGracefulShutdown ends one process under load: streams run in it and more wait
// than the engines have slots. Every call must get its whole answer.
func TestGracefulShutdown(t *testing.T) {
	const (
		callCount     = 24
		tokensPerCall = 50
	)
	c := startCluster(t, 2, longRouteDeadline)
	terminated := c.processes[0]
	clients := newClientGroup(t, maxWait)
	for i := range callCount {
		clients.send(streamCall(fmt.Sprintf("leave-%d", i), tokensPerCall, i%2 == 0), terminated.clientURL())
	}
	c.waitForRuns(t, 4)
	terminated.signal(t, syscall.SIGTERM)
	assert.Equal(t, terminated.waitForExit(t), exit.Done)
	outcomes := clients.wait()
	c.checkAgainstRuns(t, outcomes)
	checkAllComplete(t, outcomes)
}

// TestSecondSignalEndsShutdown ends the grace of a shutdown that would last long. What
// is left must be told the truth.
func TestSecondSignalEndsShutdown(t *testing.T) {
	const (
		runningCount = 3
		waitingCount = 3
		// tokensPerCall are so many that no run ends within the patience.
		tokensPerCall = 10_000
	)
	c := startCluster(t, 1, longRouteDeadline)
	terminated := c.processes[0]
	clients := newClientGroup(t, maxWait)
	for i := range runningCount + waitingCount {
		clients.send(streamCall(fmt.Sprintf("grace-%d", i), tokensPerCall, false), terminated.clientURL())
	}
	c.waitForRuns(t, runningCount)
	terminated.signal(t, syscall.SIGTERM)
	waitFor(t, "the shutdown begins", func() bool {
		_, began := terminated.findLogEntry("shutting down")
		return began
	})
	assert.Assert(t, !terminated.hasExited())
	terminated.signal(t, syscall.SIGTERM)
	exitCode := terminated.waitForExit(t)
	for id, runs := range c.runsByRequestID() {
		for _, r := range runs {
			assert.Assert(t, r.Status != target.StatusComplete, "the process waited for call %s", id)
		}
	}
	outcomes := clients.wait()
	c.checkAgainstRuns(t, outcomes)
	for _, outcome := range outcomes {
		assert.Equal(t, outcome.Final().Verdict, load.Refused, formatAttempts(outcome))
	}
	t.Logf("exit code %d", exitCode)
}
