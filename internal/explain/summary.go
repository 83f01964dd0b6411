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

// isExplained reports whether the line says why its request ended as it did: by
// success, by the gateway's own reason, by an error or by the steps that were
// tried. A request that was placed and has no line about its end was lost with
// its instance.
func (l *logLine) isExplained() bool {
	if l.Status == 0 {
		return l.Steps != ""
	}
	return l.Status < http.StatusBadRequest || l.Reason != "" || l.Error != "" || l.Steps != ""
}

// variablePart matches what differs between requests that fail for the same
// cause.
var variablePart = regexp.MustCompile(`i-[0-9a-f]+|\d+(\.\d+)*(:\d+)?`)

// cause returns the status and the reason, error or message, without the parts
// that vary.
func (l *logLine) cause() string {
	return fmt.Sprintf("%d %s", l.Status, variablePart.ReplaceAllString(cmp.Or(l.Reason, l.Error, l.Message), "N"))
}

// maxCauses bounds the number of causes printed.
const maxCauses = 20

// PrintSummary prints how many requests failed, how many of those the lines
// explain, the most frequent causes, and the volume of the log.
func PrintSummary(out io.Writer, lines []logLine) error {
	requests, failures, explained := 0, 0, 0
	countByCause := make(map[string]int)
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
		if l.isExplained() {
			explained++
		}
		countByCause[l.cause()]++
	}
	if _, err := fmt.Fprintf(out, "%d requests, %d failed, %d of these explained\n", requests, failures, explained); err != nil {
		return err
	}
	names := make([]string, 0, len(countByCause))
	for name := range countByCause {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(countByCause[b], countByCause[a]), cmp.Compare(a, b)) })
	for _, name := range names[:min(maxCauses, len(names))] {
		if _, err := fmt.Fprintf(out, "%8d %s\n", countByCause[name], name); err != nil {
			return err
		}
	}
	return printVolume(out, lines)
}

// printVolume prints the volume of the log, on average per instance and for the
// instance with the most.
func printVolume(out io.Writer, lines []logLine) error {
	if len(lines) == 0 {
		return nil
	}
	totalBytes, bytesByInstance := 0, make(map[string]int)
	firstMs, lastMs := lines[0].TimestampMs, lines[0].TimestampMs
	for i := range lines {
		size := len(lines[i].raw) + 1
		totalBytes += size
		bytesByInstance[lines[i].Instance] += size
		firstMs, lastMs = min(firstMs, lines[i].TimestampMs), max(lastMs, lines[i].TimestampMs)
	}
	seconds := max(time.Second, time.Duration(lastMs-firstMs)*time.Millisecond).Seconds()
	maxBytes := 0
	for _, size := range bytesByInstance {
		maxBytes = max(maxBytes, size)
	}
	_, err := fmt.Fprintf(out, "%d lines, %d bytes in %.0f s of %d instances: %.1f lines and %.0f bytes/s each, %.0f bytes/s at most\n",
		len(lines), totalBytes, seconds, len(bytesByInstance), float64(len(lines))/seconds/float64(len(bytesByInstance)),
		float64(totalBytes)/seconds/float64(len(bytesByInstance)), float64(maxBytes)/seconds)
	return err
}
