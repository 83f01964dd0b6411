package endtoend

import (
	"fmt"
	"syscall"
	"testing"
)

// TestKill kills one process with SIGKILL while many streams with keys are
// running. The clients retry with the same key through the other processes.
func TestKill(t *testing.T) {
	const (
		callCount      = 36
		tokensPerCall  = 60
		attemptTimeout = maxWait / 4
	)
	c := startCluster(t, 8, longRouteDeadline)
	killed := c.processes[0]
	remainingURLs := []string{c.processes[1].clientURL(), c.processes[2].clientURL()}
	clients := newClientGroup(t, attemptTimeout)
	for i := range callCount {
		firstProcess := c.processes[i%len(c.processes)]
		clients.send(streamCall(fmt.Sprintf("kill-%d", i), tokensPerCall, true), firstProcess.clientURL(), remainingURLs...)
	}
	c.waitForRuns(t, callCount/3)
	killed.signal(t, syscall.SIGKILL)
	killed.waitForExit(t)
	outcomes := clients.wait()
	c.checkAgainstRuns(t, outcomes)
	// The outcome of a key may stay unknown if its owner was killed before the call
	// was dispatched.
	checkCompleteOrUnknown(t, outcomes)
	checkSomeInterrupted(t, outcomes)
}
