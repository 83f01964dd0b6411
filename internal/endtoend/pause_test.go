package endtoend

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
)

// TestPause stops one process for longer than its leases live, with keyed
// calls running and waiting in it. Their callers send them again elsewhere.
func TestPause(t *testing.T) {
	const (
		calls    = 18
		tokens   = 75
		attempts = 5 * time.Second
		// pause is longer than the paused process may believe in its leases.
		pause = once.MaxLeaseTTL + 3*time.Second
	)
	f := startFleet(t, 1, longDeadline)
	paused := f.processes[0]
	left := []string{f.processes[1].callersURL(), f.processes[2].callersURL()}
	callers := newCrowd(t, attempts)
	for i := range calls {
		call := stream(fmt.Sprintf("pause-%d", i), tokens, true)
		callers.send(call, paused.callersURL(), left...)
	}
	f.waitForRuns(t, 1)
	stopped := time.Now()
	paused.signal(t, syscall.SIGSTOP)
	t.Cleanup(func() { _ = paused.command.Process.Signal(syscall.SIGCONT) })

	others := newCrowd(t, patience)
	for i, url := range left {
		others.send(stream(fmt.Sprintf("elsewhere-%d", i), tokens, false), url)
		others.send(serviceCall(fmt.Sprintf("elsewhere-cancel-%d", i), cancel), url)
	}
	elsewhere := others.wait()
	checkWhole(t, elsewhere)
	f.checkTruth(t, elsewhere)

	waitFor(t, "the leases have run out", func() bool { return time.Since(stopped) > pause })
	paused.signal(t, syscall.SIGCONT)
	outcomes := callers.wait()
	waitFor(t, "the paused process is ready again", paused.ready)
	again := newCrowd(t, patience)
	for i := range 2 * domainCount {
		again.send(stream(fmt.Sprintf("again-%d", i), 1, false), paused.callersURL())
	}
	checkWhole(t, again.wait())
	f.checkTruth(t, outcomes)
	// What only waited in the paused process may stay unknown.
	checkSettled(t, outcomes)
	checkBroken(t, outcomes)
}

// checkBroken fails when no first attempt was hit, since the test then showed
// nothing.
func checkBroken(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	broken := 0
	for _, o := range outcomes {
		if o.Attempts[0].Verdict == load.VerdictConnectionLost {
			broken++
		}
	}
	if broken == 0 {
		t.Error("no first attempt broke, so the test showed nothing")
	}
	t.Logf("%d of %d first attempts broke", broken, len(outcomes))
}
