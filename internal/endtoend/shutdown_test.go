package endtoend

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// TestGracefulShutdown terminates one process under load, while streams are
// running and more of them are queued than the engines have slots. Each call must
// get its complete response.
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
	assert.Equal(t, terminated.waitForExit(t), exit.Success)
	outcomes := clients.wait()
	c.checkAgainstRuns(t, outcomes)
	checkAllComplete(t, outcomes)
}

// TestSecondSignalEndsShutdown cuts short a long graceful shutdown with a second
// SIGTERM. The remaining calls must be refused, and the refusals must agree with
// what ran.
func TestSecondSignalEndsShutdown(t *testing.T) {
	const (
		runningCount = 3
		waitingCount = 3
		// tokensPerCall is so large that no run ends within maxWait.
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
	waitFor(t, "the shutdown has begun", func() bool {
		_, began := terminated.findLogEntry("shutting down")
		return began
	})
	assert.Assert(t, !terminated.hasExited())
	terminated.signal(t, syscall.SIGTERM)
	exitCode := terminated.waitForExit(t)
	for id, runs := range c.runsByRequestID() {
		for _, r := range runs {
			assert.Assert(t, r.Status != target.StatusComplete, "call %s completed, although the second signal should have ended it", id)
		}
	}
	outcomes := clients.wait()
	c.checkAgainstRuns(t, outcomes)
	for _, outcome := range outcomes {
		assert.Equal(t, outcome.Final().Verdict, load.VerdictRefused, formatAttempts(outcome))
	}
	t.Logf("exit code %d", exitCode)
}

// TestClosedStandardErrorDoesNotEndAnInstance guards against SIGPIPE, which by default ends a
// process that writes to a standard error whose reader has closed it.
func TestClosedStandardErrorDoesNotEndAnInstance(t *testing.T) {
	c := startCluster(t, 1, longRouteDeadline)
	terminated := c.processes[0]
	assert.NilError(t, terminated.stderr.Close())
	terminated.signal(t, syscall.SIGTERM)
	assert.Equal(t, terminated.waitForExit(t), exit.Success)
}

// TestUnreadStandardErrorDoesNotBlockAnInstance guards against log lines that wait for a reader of
// standard error, and with them what writes them.
func TestUnreadStandardErrorDoesNotBlockAnInstance(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer reader.Close()
	fillPipe(t, writer)
	held := holdTCP(t)
	held.release()
	settingsFile := writeJSON(t, "unread.json", aloneSettings(t, settings.Listen{Callers: anyPortAddress, Admin: held.address, Peers: anyPortAddress}))
	command := exec.Command(programPath, "serve", "--settings", settingsFile)
	command.Stderr = writer
	assert.NilError(t, command.Start())
	assert.NilError(t, writer.Close())
	p := &process{name: "entry-0", command: command, addresses: logEntry{Admin: held.address}, exited: make(chan struct{})}
	p.logReader.Go(func() { _ = command.Wait(); close(p.exited) })
	t.Cleanup(func() { p.stop(t) })
	waitFor(t, "an administrative request is answered", func() bool {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get(p.adminURL() + "/admin/v1/config")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
	p.signal(t, syscall.SIGTERM)
	assert.Equal(t, p.waitForExit(t), exit.Success)
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	assert.NilError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for {
		if _, err := writer.Write(make([]byte, 4096)); err != nil {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			return
		}
	}
}
