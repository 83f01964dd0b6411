package endtoend

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// TestPause stops one process with SIGSTOP for longer than its leases are valid,
// while calls with keys are running and queued in it. The clients retry through
// the other processes.
func TestPause(t *testing.T) {
	const (
		callCount      = 18
		tokensPerCall  = 75
		attemptTimeout = 5 * time.Second
		// pauseDuration is longer than the leases of the paused process are valid.
		pauseDuration = once.MaxLeaseTTL + 3*time.Second
	)
	c := startCluster(t, 1, longRouteDeadline)
	paused := c.processes[0]
	remainingURLs := []string{c.processes[1].clientURL(), c.processes[2].clientURL()}
	clients := newClientGroup(t, attemptTimeout)
	for i := range callCount {
		call := streamCall(fmt.Sprintf("pause-%d", i), tokensPerCall, true)
		clients.send(call, paused.clientURL(), remainingURLs...)
	}
	c.waitForRuns(t, 1)
	pausedAt := time.Now()
	paused.signal(t, syscall.SIGSTOP)
	t.Cleanup(func() { _ = paused.command.Process.Signal(syscall.SIGCONT) })

	otherClients := newClientGroup(t, maxWait)
	for i, url := range remainingURLs {
		otherClients.send(streamCall(fmt.Sprintf("elsewhere-%d", i), tokensPerCall, false), url)
		otherClients.send(serviceCall(fmt.Sprintf("elsewhere-cancel-%d", i), billingCancelPath), url)
	}
	otherOutcomes := otherClients.wait()
	checkAllComplete(t, otherOutcomes)
	c.checkAgainstRuns(t, otherOutcomes)

	waitFor(t, "the leases have expired", func() bool { return time.Since(pausedAt) > pauseDuration })
	paused.signal(t, syscall.SIGCONT)
	outcomes := clients.wait()
	waitFor(t, "the paused process is ready again", paused.isReady)
	laterClients := newClientGroup(t, maxWait)
	for i := range 2 * failureDomainCount {
		laterClients.send(streamCall(fmt.Sprintf("again-%d", i), 1, false), paused.clientURL())
	}
	checkAllComplete(t, laterClients.wait())
	c.checkAgainstRuns(t, outcomes)
	// The outcome of calls that were only queued in the paused process may stay
	// unknown.
	checkCompleteOrUnknown(t, outcomes)
	checkSomeInterrupted(t, outcomes)
}

// checkSomeInterrupted checks that some first attempts were interrupted, since the
// fault had no effect otherwise and the test proves nothing.
func checkSomeInterrupted(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	interrupted := 0
	for _, outcome := range outcomes {
		if outcome.Attempts[0].Verdict == load.VerdictConnectionLost {
			interrupted++
		}
	}
	if interrupted == 0 {
		t.Error("no first attempt was interrupted: the fault had no effect")
	}
	t.Logf("%d of %d first attempts were interrupted", interrupted, len(outcomes))
}
