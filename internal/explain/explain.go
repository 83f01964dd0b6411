// Package explain reconstructs from the log lines of several instances what
// happened to a request, and what changed at the instance shortly before.
//
// Command is the command line, PrintRequest prints the log lines of one request
// and PrintSummary the causes of all failed ones.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
)

// Command prints how requests were processed.
type Command struct {
	Log     []string `help:"Files with log lines; - for standard input." required:"" placeholder:"FILE"`
	Summary bool     `help:"Print the causes of all failed requests and the volume of the log instead."`
	Share   bool     `help:"Print only what share of the requests named is explained."`
	ID      []string `arg:"" optional:"" help:"The requests' ids."`
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// eventLookback is how far back events of the instance are printed.
const eventLookback = 10 * time.Second

// logLine is one log line; fields that the line does not have are zero.
type logLine struct {
	Level        string  `json:"level"`
	TimestampMs  float64 `json:"ts"`
	Message      string  `json:"msg"`
	Instance     string  `json:"instance"`
	Request      string  `json:"request"`
	Route        string  `json:"route"`
	Account      string  `json:"account"`
	Config       uint64  `json:"config"`
	Status       int     `json:"status"`
	Steps        string  `json:"story"`
	TookSeconds  float64 `json:"took"`
	Reason       string  `json:"reason"`
	Error        string  `json:"error"`
	TargetsAgeMs int64   `json:"targets_age_ms"`
	Instances    int64   `json:"instances"`
	Target       string  `json:"target"`
	raw          string
}

// Run reads the files and prints the requests. It fails with exit.BadInput if a
// file cannot be read, or if the lines do not contain a request or, with Share,
// do not explain its outcome.
func (c *Command) Run(out io.Writer) error {
	var lines []logLine
	for _, name := range c.Log {
		fileLines, err := readFile(name)
		if err != nil {
			return exit.WithCode(exit.BadInput, err)
		}
		lines = append(lines, fileLines...)
	}
	if c.Summary {
		return PrintSummary(out, lines)
	}
	if c.Share {
		return c.printShare(out, lines)
	}
	for _, id := range c.ID {
		if !PrintRequest(out, lines, id) {
			return exit.WithCode(exit.BadInput, errors.Newf("no line names request %s", id))
		}
	}
	return nil
}

// printShare prints how many of the given requests have an outcome that the
// lines explain.
func (c *Command) printShare(out io.Writer, lines []logLine) error {
	explained := make(map[string]bool)
	for i := range lines {
		if lines[i].Request != "" && lines[i].isExplained() {
			explained[lines[i].Request] = true
		}
	}
	var unexplained []string
	for _, id := range c.ID {
		if !explained[id] {
			unexplained = append(unexplained, id)
		}
	}
	if _, err := fmt.Fprintf(out, "%d of %d explained\n", len(c.ID)-len(unexplained), len(c.ID)); err != nil {
		return err
	}
	if len(unexplained) > 0 {
		return exit.WithCode(exit.BadInput, errors.Newf("not explained: %s", strings.Join(unexplained, ", ")))
	}
	return nil
}

func readFile(name string) ([]logLine, error) {
	if name == "-" {
		return ReadLines(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer file.Close()
	return ReadLines(file)
}

// ReadLines reads log lines. It skips what precedes the first brace of a line,
// such as the prefix of a log collector, and lines that are not JSON log
// entries or longer than maxLineBytes.
func ReadLines(input io.Reader) ([]logLine, error) {
	reader := bufio.NewReader(input)
	var lines []logLine
	for {
		entry, err := readLine(reader)
		if l, ok := parseLine(entry); ok {
			lines = append(lines, l)
		}
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, errors.Wrap(err, "log")
		}
	}
}

// readLine returns the next line, without those bytes of it that exceed maxLineBytes.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part[:min(len(part), maxLineBytes+1-len(line))]...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// parseLine returns the log entry of a line; ok is false if it has none.
func parseLine(line []byte) (l logLine, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || len(line) > maxLineBytes {
		return logLine{}, false
	}
	entry := bytes.TrimSpace(line[start:])
	if json.Unmarshal(entry, &l) != nil || l.Message == "" {
		return logLine{}, false
	}
	l.raw = string(entry)
	return l, true
}

// PrintRequest prints the lines of a request, and reports whether there are any.
// It sorts lines by time.
func PrintRequest(out io.Writer, lines []logLine, id string) bool {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.TimestampMs, b.TimestampMs) })
	found := false
	for i := range lines {
		if lines[i].Request == id {
			found = true
			lines[i].printTo(out)
			printInstanceEvents(out, lines[:i], &lines[i])
		}
	}
	return found
}

func (l *logLine) formatTime() string {
	return time.UnixMilli(int64(l.TimestampMs)).UTC().Format("15:04:05.000")
}

// printTo prints one line of the request.
func (l *logLine) printTo(out io.Writer) {
	fmt.Fprintf(out, "%s %s: %s", l.formatTime(), l.Instance, l.Message)
	if l.Status != 0 {
		fmt.Fprintf(out, ", status %d after %.0f ms", l.Status, l.TookSeconds*float64(time.Second/time.Millisecond))
	}
	fmt.Fprintln(out)
	fmt.Fprintf(out, "    route %s, account %s, configuration %d", orNone(l.Route), orNone(l.Account), l.Config)
	if l.Instances > 0 {
		fmt.Fprintf(out, ", targets as of %d ms before, %d instances", l.TargetsAgeMs, l.Instances)
	}
	fmt.Fprintln(out)
	for _, step := range strings.Split(l.Steps, "; ") {
		if step != "" {
			fmt.Fprintf(out, "    - %s\n", step)
		}
	}
	if l.Reason != "" {
		fmt.Fprintf(out, "    reason: %s\n", l.Reason)
	}
	if l.Error != "" {
		fmt.Fprintf(out, "    error: %s\n", l.Error)
	}
}

func orNone(text string) string { return cmp.Or(text, "(none)") }

// printInstanceEvents prints the events of the request's instance during the
// eventLookback before the line, except those of a target that the request's
// steps do not mention.
func printInstanceEvents(out io.Writer, earlier []logLine, request *logLine) {
	for i := range earlier {
		l := &earlier[i]
		age := time.Duration(request.TimestampMs-l.TimestampMs) * time.Millisecond
		if l.Instance != request.Instance || l.Request != "" || age > eventLookback {
			continue
		}
		if l.Target == "" || strings.Contains(request.Steps, l.Target) {
			fmt.Fprintf(out, "    %s before: %s\n", age, l.raw)
		}
	}
}
