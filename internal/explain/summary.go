package explain

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"time"
)

// explains reports whether the line says why its request ended as it did: a
// reason of the gateway's own, an error, or what was tried and how that went. A
// request with a place and no line about its end died with its instance.
func (l *line) explains() bool {
	if l.Status == 0 {
		return l.Story != ""
	}
	return l.Status < http.StatusBadRequest || l.Reason != "" || l.Error != "" || l.Story != ""
}

// variable matches what differs between requests that fail for the same cause.
var variable = regexp.MustCompile(`i-[0-9a-f]+|\d+(\.\d+)*(:\d+)?`)

// cause returns what a failed request shares with others of its kind.
func (l *line) cause() string {
	return fmt.Sprintf("%d %s", l.Status, variable.ReplaceAllString(cmp.Or(l.Reason, l.Error, l.Message), "N"))
}

// causesShown bounds the list of causes.
const causesShown = 20

// PrintSummary prints how many requests failed and for what causes, how many of
// them the lines explain, and how much was logged.
func PrintSummary(out io.Writer, lines []line) error {
	requests, failures, explained := 0, 0, 0
	causes := make(map[string]int)
	for i := range lines {
		l := &lines[i]
		if l.Request == "" {
			continue
		}
		if l.Status == 0 {
			continue
		}
		requests++
		if l.Status < http.StatusBadRequest {
			continue
		}
		failures++
		if l.explains() {
			explained++
		}
		causes[l.cause()]++
	}
	if _, err := fmt.Fprintf(out, "%d requests, %d failed, %d of these explained\n", requests, failures, explained); err != nil {
		return err
	}
	names := make([]string, 0, len(causes))
	for name := range causes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(causes[b], causes[a]), cmp.Compare(a, b)) })
	for _, name := range names[:min(causesShown, len(names))] {
		if _, err := fmt.Fprintf(out, "%8d %s\n", causes[name], name); err != nil {
			return err
		}
	}
	return volume(out, lines)
}

// volume prints how much the lines are, over all instances and for the one with
// most.
func volume(out io.Writer, lines []line) error {
	if len(lines) == 0 {
		return nil
	}
	bytes, byInstance := 0, make(map[string]int)
	first, last := lines[0].TimestampMs, lines[0].TimestampMs
	for i := range lines {
		size := len(lines[i].raw) + 1
		bytes += size
		byInstance[lines[i].Instance] += size
		first, last = min(first, lines[i].TimestampMs), max(last, lines[i].TimestampMs)
	}
	span := max(time.Second, time.Duration(last-first)*time.Millisecond).Seconds()
	most := 0
	for _, size := range byInstance {
		most = max(most, size)
	}
	_, err := fmt.Fprintf(out, "%d lines, %d bytes in %.0f s of %d instances: %.1f lines and %.0f bytes/s each, %.0f bytes/s at most\n",
		len(lines), bytes, span, len(byInstance), float64(len(lines))/span/float64(len(byInstance)),
		float64(bytes)/span/float64(len(byInstance)), float64(most)/span)
	return err
}
