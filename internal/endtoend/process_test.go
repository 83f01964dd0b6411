package endtoend

import (
	"bufio"
	"bytes"
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
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

const (
	adminToken = "end-to-end-admin-token"
	peerSecret = "end-to-end-peer-secret"
	anyPort    = "127.0.0.1:0"
	// patience bounds every wait for a condition; it is no expectation.
	patience = 60 * time.Second
	// pollPause is the time between looks at a condition.
	pollPause = 20 * time.Millisecond
	// shownLog is how many lines of a process's log a failed test prints.
	shownLog = 15
)

// logLine is the part of a log line that the tests read.
type logLine struct {
	Message string `json:"msg"`
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
}

// process is one running "hibiscuspost serve".
type process struct {
	name    string
	command *exec.Cmd
	address logLine
	// ended is closed once the process has gone and was waited for.
	ended     chan struct{}
	following conc.WaitGroup

	// mu guards lines.
	mu    sync.Mutex
	lines []string
}

// startProcess starts an instance of the program and returns once it serves.
func startProcess(t *testing.T, program string, config *settings.Settings) *process {
	t.Helper()
	file := writeJSON(t, config.Name+".json", config)
	p := &process{name: config.Name, command: exec.Command(program, "serve", "--settings", file), ended: make(chan struct{})}
	log, err := p.command.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	p.following.Go(func() { p.follow(log) })
	t.Cleanup(func() { p.end(t) })
	waitFor(t, config.Name+" serves", func() bool {
		line, found := p.logged("serving")
		p.address = line
		return found
	})
	return p
}

// follow keeps the log until its end and then waits for the process.
func (p *process) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		p.mu.Unlock()
	}
	_ = p.command.Wait()
	close(p.ended)
}

// logged finds a message in the log.
func (p *process) logged(message string) (logLine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.lines {
		var line logLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == message {
			return line, true
		}
	}
	return logLine{}, false
}

// end kills the process if it still runs, and shows its log after a failure.
func (p *process) end(t *testing.T) {
	if !p.hasEnded() {
		_ = p.command.Process.Kill()
	}
	p.following.Wait()
	if !t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lines[max(0, len(p.lines)-shownLog):]
	t.Logf("log of %s at %s:\n%s", p.name, p.callersURL(), strings.Join(last, "\n"))
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to this process alone.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) exit.Code {
	t.Helper()
	waitFor(t, p.name+" ends", p.hasEnded)
	return exit.Code(p.command.ProcessState.ExitCode())
}

func (p *process) callersURL() string { return "http://" + p.address.Callers }

func (p *process) adminURL() string { return "http://" + p.address.Admin }

// ready asks what the balancer asks.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(p.callersURL() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ran is the outcome of a command.
type ran struct {
	code           exit.Code
	stdout, stderr string
}

// run runs a command of the program to its end.
func run(t *testing.T, arguments ...string) ran {
	t.Helper()
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), adminclient.TokenEnvVar+"="+adminToken)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		t.Fatal(err)
	}
	return ran{exit.Code(command.ProcessState.ExitCode()), stdout.String(), stderr.String()}
}

// waitFor polls a condition with great patience.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(pollPause) {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v in vain: %s", patience, what)
		}
	}
}

// writeFile writes a file into the test's directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func writeJSON(t *testing.T, name string, value any) string {
	t.Helper()
	text, err := json.MarshalIndent(value, "", "  ")
	assert.NilError(t, err)
	return writeFile(t, name, string(text))
}
