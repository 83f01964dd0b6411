// Package explain joins the log lines of several instances into the story of
// one request, with what each instance believed at the time.
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

// Command prints the stories of requests.
type Command struct {
	Log     []string `help:"Files with log lines; - for standard input." required:"" placeholder:"FILE"`
	Summary bool     `help:"Print the causes of all failed requests and the volume of the log instead."`
	Share   bool     `help:"Print only what share of the requests named is explained."`
	ID      []string `arg:"" optional:"" help:"The requests' ids."`
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// beliefTime is how far back lines about beliefs are shown.
const beliefTime = 10 * time.Second

// line is one log line; fields that it has not are zero.
type line struct {
	Level      string  `json:"level"`
	AtMs       float64 `json:"ts"`
	Message    string  `json:"msg"`
	Instance   string  `json:"instance"`
	Request    string  `json:"request"`
	Route      string  `json:"route"`
	Account    string  `json:"account"`
	Config     uint64  `json:"config"`
	Status     int     `json:"status"`
	Story      string  `json:"story"`
	Took       float64 `json:"took"`
	Reason     string  `json:"reason"`
	Error      string  `json:"error"`
	TargetsAge int64   `json:"targets_age_ms"`
	Instances  int64   `json:"instances"`
	Target     string  `json:"target"`
	raw        string
}

// Run reads the files and prints the stories. Errors: exit.BadInput when a file
// cannot be read, or no line names a request or explains its end.
func (c *Command) Run(out io.Writer) error {
	var lines []line
	for _, name := range c.Log {
		read, err := readFile(name)
		if err != nil {
			return exit.WithCode(exit.BadInput, err)
		}
		lines = append(lines, read...)
	}
	if c.Summary {
		return Summarize(out, lines)
	}
	if c.Share {
		return c.share(out, lines)
	}
	for _, id := range c.ID {
		if !Story(out, lines, id) {
			return exit.WithCode(exit.BadInput, errors.Newf("no line names request %s", id))
		}
	}
	return nil
}

// share counts the requests named whose end the lines explain.
func (c *Command) share(out io.Writer, lines []line) error {
	explained := make(map[string]bool)
	for i := range lines {
		if lines[i].Request != "" && lines[i].explains() {
			explained[lines[i].Request] = true
		}
	}
	var missing []string
	for _, id := range c.ID {
		if !explained[id] {
			missing = append(missing, id)
		}
	}
	if _, err := fmt.Fprintf(out, "%d of %d explained\n", len(c.ID)-len(missing), len(c.ID)); err != nil {
		return err
	}
	if len(missing) > 0 {
		return exit.WithCode(exit.BadInput, errors.Newf("not explained: %s", strings.Join(missing, ", ")))
	}
	return nil
}

func readFile(name string) ([]line, error) {
	if name == "-" {
		return Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer file.Close()
	return Read(file)
}

// Read reads log lines; what stands before the first brace of a line, such as
// a prefix of whoever collects them, and lines of another kind are skipped.
func Read(in io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	var lines []line
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var l line
		if json.Unmarshal(text[at:], &l) != nil || l.Message == "" {
			continue
		}
		l.raw = string(text[at:])
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// Story prints what the lines tell of a request; it reports whether any does.
func Story(out io.Writer, lines []line, id string) bool {
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.AtMs, b.AtMs) })
	found := false
	for i := range lines {
		if lines[i].Request == id {
			found = true
			lines[i].tell(out)
			beliefs(out, lines[:i], &lines[i])
		}
	}
	return found
}

func (l *line) time() string {
	return time.UnixMilli(int64(l.AtMs)).UTC().Format("15:04:05.000")
}

// tell prints one line of the request.
func (l *line) tell(out io.Writer) {
	fmt.Fprintf(out, "%s %s: %s", l.time(), l.Instance, l.Message)
	if l.Status != 0 {
		fmt.Fprintf(out, ", status %d after %.0f ms", l.Status, l.Took*float64(time.Second/time.Millisecond))
	}
	fmt.Fprintln(out)
	fmt.Fprintf(out, "    route %s, account %s, configuration %d", orNone(l.Route), orNone(l.Account), l.Config)
	if l.Instances > 0 {
		fmt.Fprintf(out, ", targets as of %d ms before, %d instances", l.TargetsAge, l.Instances)
	}
	fmt.Fprintln(out)
	for _, step := range strings.Split(l.Story, "; ") {
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

// beliefs prints what changed at the instance shortly before, as far as it
// concerns all requests or a target of this one.
func beliefs(out io.Writer, before []line, request *line) {
	for i := range before {
		l := &before[i]
		age := time.Duration(request.AtMs-l.AtMs) * time.Millisecond
		if l.Instance != request.Instance || l.Request != "" || age > beliefTime {
			continue
		}
		if l.Target == "" || strings.Contains(request.Story, l.Target) {
			fmt.Fprintf(out, "    %s before: %s\n", age, l.raw)
		}
	}
}
