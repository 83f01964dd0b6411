package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/executor"
)

// concurrentStreams is the number of streams open at the same time.
const concurrentStreams = 2000

// expectedStream returns the event stream for the prompt.
func expectedStream(prompt string) string {
	const events = 5
	var text strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", n, prompt, n)
	}
	fmt.Fprintf(&text, "id: %d\ndata: [DONE]\n\n", events+1)
	return text.String()
}

func TestConcurrentStreamsAreCompleteAndNotMixed(t *testing.T) {
	var started sync.WaitGroup
	started.Add(concurrentStreams)
	url := startServerWithSlots(t, concurrentStreams, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		prompt, _ := executor.ParsePrompt(body)
		first, rest, _ := strings.Cut(expectedStream(prompt.Text), "\n\n")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, first+"\n\n")
		_ = http.NewResponseController(w).Flush()
		started.Done()
		started.Wait() // all streams are open at the same time
		_, _ = io.WriteString(w, rest)
	}))
	c := newClient(t)
	var clients conc.WaitGroup
	failures := make([]string, concurrentStreams)
	for i := range concurrentStreams {
		clients.Go(func() {
			prompt := fmt.Sprintf("stream-%d", i)
			got := streamCompletion(c, url, prompt)
			if got != expectedStream(prompt) {
				failures[i] = fmt.Sprintf("%s got %q", prompt, got)
			}
		})
	}
	clients.Wait()
	failures = slices.DeleteFunc(failures, func(s string) bool { return s == "" })
	assert.Equal(t, len(failures), 0, "%.500v", failures)
}

// streamCompletion requests a streamed completion and returns its whole body, or
// what was read of it and the text of the error.
func streamCompletion(c *http.Client, url, prompt string) string {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":6,"prompt":%q}`, prompt)
	response, err := c.Post(url+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return string(text) + err.Error()
	}
	return string(text)
}

// BenchmarkAddedLatency reports the latency percentiles of a plain request through
// an instance minus those of a direct request to the same target.
func BenchmarkAddedLatency(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	direct := httptest.NewServer(handler)
	defer direct.Close()
	throughServer := startServer(b, handler)
	c := &http.Client{Timeout: testTimeout}
	defer c.CloseIdleConnections()
	var latencies [2][]time.Duration
	for b.Loop() {
		for i, url := range []string{direct.URL, throughServer} {
			start := time.Now()
			response, err := c.Get(url + "/x")
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			latencies[i] = append(latencies[i], time.Since(start))
		}
	}
	for _, percentile := range []int{50, 99} {
		added := percentileOf(latencies[1], percentile) - percentileOf(latencies[0], percentile)
		b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-p%d-us", percentile))
	}
}

// percentileOf sorts the latencies and returns the given percentile.
func percentileOf(latencies []time.Duration, percentile int) time.Duration {
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)*percentile/100]
}
