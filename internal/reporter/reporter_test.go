package reporter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	standin "github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// recorder records what a poller reports.
type recorder struct {
	// mu guards the fields below.
	mu     sync.Mutex
	loads  map[string][]admission.LoadReport
	events map[string][]routing.CacheEvent
}

func (r *recorder) newPoller(clock clockwork.Clock, targets func() []tables.Target) *Poller {
	r.loads = make(map[string][]admission.LoadReport)
	r.events = make(map[string][]routing.CacheEvent)
	return New(Options{Targets: targets, OnLoadReport: r.recordLoad, OnCacheEvents: r.recordCacheEvents, Clock: clock})
}

func (r *recorder) recordLoad(name string, report admission.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[name] = append(r.loads[name], report)
}

func (r *recorder) recordCacheEvents(name string, events []routing.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[name] = append(r.events[name], events...)
}

func fixedTargets(targets ...tables.Target) func() []tables.Target {
	return func() []tables.Target { return targets }
}

func startEngine(t *testing.T, options standin.EngineOptions) *standin.Engine {
	t.Helper()
	options.DecodeTimePerToken, options.PrefillTokensPerSecond = time.Microsecond, 1e9
	e := standin.NewEngine(options)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

// runPrompt sends one prompt to the engine and checks that it succeeds.
func runPrompt(t *testing.T, e *standin.Engine, text string) {
	t.Helper()
	body := `{"model":"m","prompt":"` + text + `","max_tokens":1}`
	response, err := http.Post(e.URL()+"/v1/completions", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// pollNext runs the next poll that is due; it returns false if none is.
func pollNext(ctx context.Context, p *Poller) bool {
	t := p.nextDue(p.clock.Now())
	if t != nil {
		p.poll(ctx, t)
	}
	return t != nil
}

// The block hashes in an engine's cache events must equal the prefix hashes
// that the router computes for the same prompt; otherwise the index never
// matches.
func TestCacheEventHashesMatchPromptPrefixes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{})
	text := strings.Repeat("hibiscus", 128)
	runPrompt(t, e, text)
	rec := &recorder{}
	poller := rec.newPoller(clock, fixedTargets(tables.Target{Name: "e", Address: e.Address()}))

	assert.Assert(t, pollNext(t.Context(), poller))

	index := routing.NewPrefixIndex(64)
	index.ApplyEvents(rec.events["e"])
	hashes := (&executor.Prompt{Text: text}).PrefixHashes()
	assert.Equal(t, len(hashes), 4)
	assert.Equal(t, index.Match(hashes), 4)
	assert.Equal(t, len(rec.loads["e"]), 1)
}

// runPromptsOnFakeClock sends prompts to an engine on a fake clock, which it
// advances until all have ended.
func runPromptsOnFakeClock(t *testing.T, e *standin.Engine, clock *clockwork.FakeClock, texts ...string) {
	t.Helper()
	done := make(chan struct{})
	var clockDriver conc.WaitGroup
	clockDriver.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				clock.Advance(time.Microsecond)
				runtime.Gosched()
			}
		}
	})
	for _, text := range texts {
		runPrompt(t, e, text)
	}
	close(done)
	clockDriver.Wait()
}

// Cache events that arrive late and with losses must add up to all sequence
// numbers, and a load report that lags must get its true age.
func TestDelayedLossyEventsAndLaggedLoad(t *testing.T) {
	const lag, eventDelay = 700 * time.Millisecond, time.Hour
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{
		Seed: 3, CacheEventDelay: eventDelay, CacheEventLossProbability: 0.3, CacheBlocks: 8, LoadReportLag: lag, Clock: clock,
	})
	texts := make([]string, 10)
	for i := range texts {
		texts[i] = strings.Repeat(strconv.Itoa(i), 1024)
	}
	runPromptsOnFakeClock(t, e, clock, texts...)
	rec := &recorder{}
	poller := rec.newPoller(clock, fixedTargets(tables.Target{Name: "e", Address: e.Address()}))

	requestedAt := clock.Now()
	assert.Assert(t, pollNext(t.Context(), poller))
	assert.Equal(t, len(rec.events["e"]), 0)
	age := requestedAt.Sub(rec.loads["e"][0].MeasuredAt)
	assert.Assert(t, age >= lag && age < lag+time.Millisecond, age)
	clock.Advance(eventDelay)
	var unfiltered cacheEventsResponse
	_, err := getJSON(t.Context(), e.Address(), "/cache/events?since=0", maxEventsBytes, &unfiltered)
	assert.NilError(t, err)
	assert.Assert(t, pollNext(t.Context(), poller))

	received, lost := 0, 0
	for _, event := range rec.events["e"] {
		lost += event.Lost
		if event.Op != routing.CacheGap {
			received++
		}
	}
	first, last := unfiltered.Events[0].Seq, unfiltered.Events[len(unfiltered.Events)-1].Seq
	assert.Equal(t, received, len(unfiltered.Events))
	assert.Equal(t, received+lost, int(last-first)+1)
	assert.Assert(t, lost > 0)
}

// A target that accepts connections and never responds must time out without
// delaying the polls of others.
func TestHangingTargetDoesNotDelayOthers(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer hanging.Close()
	e := startEngine(t, standin.EngineOptions{})
	rec := &recorder{}
	clock := clockwork.NewFakeClock()
	poller := rec.newPoller(clock, fixedTargets(
		tables.Target{Name: "hanging", Address: hanging.Addr().String()},
		tables.Target{Name: "healthy", Address: e.Address()},
	))
	hangingTarget := poller.nextDue(clock.Now())
	assert.Equal(t, hangingTarget.info.Name, "hanging")
	var background conc.WaitGroup
	background.Go(func() { poller.poll(t.Context(), hangingTarget) })
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))

	for range 3 {
		assert.Assert(t, pollNext(t.Context(), poller))
		clock.Advance(minTargetInterval)
	}
	assert.Equal(t, len(rec.loads["healthy"]), 3)

	clock.Advance(pollTimeout)
	background.Wait()
	assert.Equal(t, len(rec.loads["hanging"]), 0)
	assert.Assert(t, hangingTarget.isFailing)
	assert.Assert(t, hangingTarget.nextPollAt.After(clock.Now()))
}

// A crashed target is polled with backoff, and after its restart its cache is
// reported as lost once.
func TestUnreachableTargetIsPolledLessOften(t *testing.T) {
	e := startEngine(t, standin.EngineOptions{})
	rec := &recorder{}
	clock := clockwork.NewFakeClock()
	poller := rec.newPoller(clock, fixedTargets(tables.Target{Name: "e", Address: e.Address()}))
	e.Crash()
	polls, start := 0, clock.Now()
	for clock.Since(start) < 10*time.Minute {
		if pollNext(t.Context(), poller) {
			polls++
		}
		clock.Advance(minTargetInterval)
	}
	maxPolls := int(10*time.Minute/failureBackoff.Base) / 4
	assert.Assert(t, polls < maxPolls, polls)

	assert.NilError(t, e.Restart())
	clock.Advance(failureBackoff.Max)
	assert.Assert(t, pollNext(t.Context(), poller))

	assert.DeepEqual(t, rec.events["e"], []routing.CacheEvent{{Op: routing.CacheGap}})
	clock.Advance(minTargetInterval)
	assert.Assert(t, pollNext(t.Context(), poller))
	assert.Equal(t, len(rec.events["e"]), 1)
}

// After a target was removed and added again, its events are read from the
// start.
func TestCursorIsDroppedWithTheTarget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{})
	runPrompt(t, e, strings.Repeat("x", 512))
	configured := []tables.Target{{Name: "e", Address: e.Address()}}
	rec := &recorder{}
	current := configured
	poller := rec.newPoller(clock, func() []tables.Target { return current })
	assert.Assert(t, pollNext(t.Context(), poller))
	clock.Advance(minTargetInterval)
	assert.Assert(t, pollNext(t.Context(), poller))
	assert.Equal(t, len(rec.events["e"]), 2)

	current = nil
	assert.Assert(t, !pollNext(t.Context(), poller))
	assert.Equal(t, len(poller.targets), 0)

	current = configured
	assert.Assert(t, pollNext(t.Context(), poller))
	assert.Equal(t, len(rec.events["e"]), 4)
}

func TestResponseBodiesAreBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat(" ", maxLoadBytes) + "{}"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	var body loadResponse
	_, err := getJSON(t.Context(), address, "/load", maxLoadBytes, &body)

	assert.ErrorIs(t, err, errBodyTooLarge)
	found, err := getJSON(t.Context(), address, "/load", maxLoadBytes+2, &body)
	assert.NilError(t, err)
	assert.Assert(t, found)
}

func TestManyTargetsShareTheRequestRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	targets := make([]tables.Target, 20)
	for i := range targets {
		targets[i].Name = strconv.Itoa(i)
	}
	poller := (&recorder{}).newPoller(clock, fixedTargets(targets...))
	pollCounts := make(map[string]int)
	start := clock.Now()
	for range 5 * len(targets) {
		interval := poller.pollInterval()
		assert.Assert(t, interval >= minPollInterval && interval <= minPollInterval*5/4)
		clock.Advance(interval)
		due := poller.nextDue(clock.Now())
		pollCounts[due.info.Name]++
		due.isPolling, due.nextPollAt = false, clock.Now().Add(poller.recordResult(due, nil))
	}

	requests := requestsPerPoll * 5 * len(targets)
	assert.Assert(t, float64(requests) <= MaxRequestsPerSecond*clock.Since(start).Seconds())
	for _, target := range targets {
		assert.Equal(t, pollCounts[target.Name], 5)
	}
}

func TestRunStopsWhenContextIsCanceled(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e := standin.NewEngine(standin.EngineOptions{})
	assert.NilError(t, e.Start())
	defer e.Close()
	reports := make(chan string, 100)
	start := time.Now()
	poller := New(Options{
		Targets:       fixedTargets(tables.Target{Name: "a", Address: e.Address()}, tables.Target{Name: "b", Address: e.Address()}),
		OnLoadReport:  func(name string, _ admission.LoadReport) { reports <- name },
		OnCacheEvents: func(string, []routing.CacheEvent) {},
	})
	var background conc.WaitGroup
	background.Go(func() { poller.Run(ctx) })

	reportCounts := map[string]int{}
	for range 4 {
		reportCounts[<-reports]++
	}
	cancel()
	background.Wait()

	assert.Equal(t, len(reportCounts), 2)
	assert.Assert(t, 4*minPollInterval <= time.Since(start))
}
