package endtoend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

const (
	adminToken     = "end-to-end-admin-token"
	peerSecret     = "end-to-end-peer-secret"
	anyPortAddress = "127.0.0.1:0"
	// maxWait is the timeout of all waits for a condition. It is generous and is
	// not an expected duration.
	maxWait = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// shownLogLines is the number of log lines per process that a failed test prints.
	shownLogLines = 15
)

// logEntry holds the fields of a log line that the tests use.
type logEntry struct {
	Message string `json:"msg"`
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
}

// process is a running "hibiscuspost serve".
type process struct {
	name      string
	command   *exec.Cmd
	addresses logEntry
	// exited is closed once the process has exited and has been waited for.
	exited    chan struct{}
	stderr    io.ReadCloser
	logReader conc.WaitGroup

	// mu guards lines.
	mu    sync.Mutex
	lines []string
}

// startProcess starts an instance of the program and waits until it serves.
func startProcess(t *testing.T, program string, config *settings.Settings) *process {
	t.Helper()
	p := launchProcess(t, program, config)
	p.awaitServing(t)
	return p
}

// launchProcess starts an instance of the program.
func launchProcess(t *testing.T, program string, config *settings.Settings) *process {
	t.Helper()
	settingsFile := writeJSON(t, config.Name+".json", config)
	p := &process{name: config.Name, command: exec.Command(program, "serve", "--settings", settingsFile), exited: make(chan struct{})}
	stderr, err := p.command.StderrPipe()
	assert.NilError(t, err)
	p.stderr = stderr
	assert.NilError(t, p.command.Start())
	p.logReader.Go(func() { p.readLog(stderr) })
	t.Cleanup(func() { p.stop(t) })
	return p
}

// awaitServing waits until the process serves.
func (p *process) awaitServing(t *testing.T) {
	t.Helper()
	p.addresses = p.awaitLine(t, "serving")
}

// awaitLine waits for a log entry with the message. It fails the test if the process ends.
func (p *process) awaitLine(t *testing.T, message string) (entry logEntry) {
	t.Helper()
	waitFor(t, p.name+": "+message, func() (found bool) {
		hasExited := p.hasExited()
		if entry, found = p.findLogEntry(message); !found && hasExited {
			t.Fatalf("%s has ended: %v", p.name, p.command.ProcessState)
		}
		return found
	})
	return entry
}

// readLog stores the lines of the log until its end and then waits for the
// process.
func (p *process) readLog(stderr io.Reader) {
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
	_ = p.command.Wait()
	close(p.exited)
}

// findLogEntry returns the first log entry with the message, or false.
func (p *process) findLogEntry(message string) (logEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		var entry logEntry
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == message {
			return entry, true
		}
	}
	return logEntry{}, false
}

// stop kills the process if it is still running and prints the end of its log if
// the test failed.
func (p *process) stop(t *testing.T) {
	if !p.hasExited() {
		_ = p.command.Process.Kill()
	}
	p.logReader.Wait()
	if !t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lastLines := p.lines[max(0, len(p.lines)-shownLogLines):]
	t.Logf("log of %s at %s:\n%s", p.name, p.clientURL(), strings.Join(lastLines, "\n"))
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process only, not to its process group.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(sig))
}

// waitForExit waits until the process has exited and returns its exit code.
func (p *process) waitForExit(t *testing.T) exit.Code {
	t.Helper()
	waitFor(t, p.name+" exits", p.hasExited)
	return exit.Code(p.command.ProcessState.ExitCode())
}

func (p *process) clientURL() string { return "http://" + p.addresses.Callers }

func (p *process) adminURL() string { return "http://" + p.addresses.Admin }

// tablesVersion returns the version of the tables in force at the process; 0 if
// there are none or it does not respond.
func (p *process) tablesVersion() uint64 {
	client, err := adminclient.New(p.adminURL(), adminToken)
	if err != nil {
		return 0
	}
	var config report.Config
	if err := client.Get(context.Background(), "/admin/v1/config", &config); err != nil {
		return 0
	}
	return config.Version
}

// isReady sends the readiness check of a load balancer.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(p.clientURL() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// commandResult is the result of a command.
type commandResult struct {
	exitCode       exit.Code
	stdout, stderr string
}

// runCommand runs a command of the program and waits for it.
func runCommand(t *testing.T, arguments ...string) commandResult {
	t.Helper()
	command := exec.Command(programPath, arguments...)
	command.Env = append(os.Environ(), adminclient.TokenEnvVar+"="+adminToken)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return commandResult{exit.Code(command.ProcessState.ExitCode()), stdout.String(), stderr.String()}
}

// waitFor polls a condition until it holds and fails the test after maxWait.
func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); !check(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting until %s", maxWait, condition)
		}
	}
}

// writeFile writes a file in a temporary directory of the test and returns its
// path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func writeJSON(t *testing.T, name string, value any) string {
	t.Helper()
	content, err := json.MarshalIndent(value, "", "  ")
	assert.NilError(t, err)
	return writeFile(t, name, string(content))
}
