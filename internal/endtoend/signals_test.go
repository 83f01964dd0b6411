package endtoend

import (
	"fmt"
	"syscall"
	"testing"
)

// TestHangupDoesNotEndTheProcess sends SIGHUP to a process that serves, as the system does to a
// stopped one when the shell that started its group exits.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	const calls, tokensPerCall = 5, 20
	c := startCluster(t, 1, longRouteDeadline)
	signaled := c.processes[0]
	signaled.signal(t, syscall.SIGHUP)
	clients := newClientGroup(t, maxWait)
	for i := range calls {
		clients.send(streamCall(fmt.Sprintf("hangup-%d", i), tokensPerCall, false), signaled.clientURL())
	}
	outcomes := clients.wait()
	checkAllComplete(t, outcomes)
	c.checkAgainstRuns(t, outcomes)
}
