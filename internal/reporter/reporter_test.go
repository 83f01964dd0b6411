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

// sink keeps what a reporter hands over.
type sink struct {
	// mu guards the fields below.
	mu     sync.Mutex
	loads  map[string][]admission.LoadReport
	events map[string][]routing.CacheEvent
}

func (s *sink) reporter(clock clockwork.Clock, targets func() []tables.Target) *Reporter {
	s.loads = make(map[string][]admission.LoadReport)
	s.events = make(map[string][]routing.CacheEvent)
	return New(Options{Targets: targets, ReportLoad: s.load, ReportCache: s.cache, Clock: clock})
}

func (s *sink) load(name string, report admission.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[name] = append(s.loads[name], report)
}

func (s *sink) cache(name string, events []routing.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[name] = append(s.events[name], events...)
}

func listed(targets ...tables.Target) func() []tables.Target {
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

// prompt lets the engine run one prompt.
func prompt(t *testing.T, e *standin.Engine, text string) {
	t.Helper()
	body := `{"model":"m","prompt":"` + text + `","max_tokens":1}`
	response, err := http.Post(e.URL()+"/v1/completions", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// visitNext makes the next visit that is due and reports whether there was one.
func visitNext(ctx context.Context, r *Reporter) bool {
	t := r.next(r.clock.Now())
	if t != nil {
		r.visit(ctx, t)
	}
	return t != nil
}

func TestEventsHaveTheHashesOfPrompts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{})
	text := strings.Repeat("hibiscus", 128)
	prompt(t, e, text)
	s := &sink{}
	r := s.reporter(clock, listed(tables.Target{Name: "e", Address: e.Address()}))

	assert.Assert(t, visitNext(t.Context(), r))

	index := routing.NewPrefixIndex(64)
	index.ApplyEvents(s.events["e"])
	hashes := (&executor.Prompt{Text: text}).Prefix()
	assert.Equal(t, len(hashes), 4)
	assert.Equal(t, index.Match(hashes), 4)
	assert.Equal(t, len(s.loads["e"]), 1)
}

// promptOn lets an engine on a fake clock run prompts.
func promptOn(t *testing.T, e *standin.Engine, clock *clockwork.FakeClock, texts ...string) {
	t.Helper()
	done := make(chan struct{})
	var pump conc.WaitGroup
	pump.Go(func() {
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
		prompt(t, e, text)
	}
	close(done)
	pump.Wait()
}

func TestLateLossyEventsAndLaggedLoad(t *testing.T) {
	const lag, late = 700 * time.Millisecond, time.Hour
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{
		Seed: 3, CacheEventDelay: late, CacheEventLossProbability: 0.3, CacheBlocks: 8, LoadReportLag: lag, Clock: clock,
	})
	texts := make([]string, 10)
	for i := range texts {
		texts[i] = strings.Repeat(strconv.Itoa(i), 1024)
	}
	promptOn(t, e, clock, texts...)
	s := &sink{}
	r := s.reporter(clock, listed(tables.Target{Name: "e", Address: e.Address()}))

	sent := clock.Now()
	assert.Assert(t, visitNext(t.Context(), r))
	assert.Equal(t, len(s.events["e"]), 0)
	apart := sent.Sub(s.loads["e"][0].MeasuredAt)
	assert.Assert(t, apart >= lag && apart < lag+time.Millisecond, apart)
	clock.Advance(late)
	var raw eventsBody
	_, err := get(t.Context(), e.Address(), "/cache/events?since=0", eventsBytes, &raw)
	assert.NilError(t, err)
	assert.Assert(t, visitNext(t.Context(), r))

	known, lost := 0, 0
	for _, event := range s.events["e"] {
		lost += event.Lost
		if event.Op != routing.CacheGap {
			known++
		}
	}
	first, last := raw.Events[0].Seq, raw.Events[len(raw.Events)-1].Seq
	assert.Equal(t, known, len(raw.Events))
	assert.Equal(t, known+lost, int(last-first)+1)
	assert.Assert(t, lost > 0)
}

func TestAHangingTargetHoldsUpNoOther(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	e := startEngine(t, standin.EngineOptions{})
	s := &sink{}
	clock := clockwork.NewFakeClock()
	r := s.reporter(clock, listed(
		tables.Target{Name: "hangs", Address: silent.Addr().String()},
		tables.Target{Name: "lives", Address: e.Address()},
	))
	hung := r.next(clock.Now())
	assert.Equal(t, hung.info.Name, "hangs")
	var background conc.WaitGroup
	background.Go(func() { r.visit(t.Context(), hung) })
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))

	for range 3 {
		assert.Assert(t, visitNext(t.Context(), r))
		clock.Advance(restPeriod)
	}
	assert.Equal(t, len(s.loads["lives"]), 3)

	clock.Advance(visitTimeout)
	background.Wait()
	assert.Equal(t, len(s.loads["hangs"]), 0)
	assert.Assert(t, hung.failing)
	assert.Assert(t, hung.due.After(clock.Now()))
}

func TestAnUnreachableTargetIsReadLessOften(t *testing.T) {
	e := startEngine(t, standin.EngineOptions{})
	s := &sink{}
	clock := clockwork.NewFakeClock()
	r := s.reporter(clock, listed(tables.Target{Name: "e", Address: e.Address()}))
	e.Crash()
	visits, began := 0, clock.Now()
	for clock.Since(began) < 10*time.Minute {
		if visitNext(t.Context(), r) {
			visits++
		}
		clock.Advance(restPeriod)
	}
	atMost := int(10*time.Minute/failurePolicy.Base) / 4
	assert.Assert(t, visits < atMost, visits)

	assert.NilError(t, e.Restart())
	clock.Advance(failurePolicy.Max)
	assert.Assert(t, visitNext(t.Context(), r))

	assert.DeepEqual(t, s.events["e"], []routing.CacheEvent{{Op: routing.CacheGap}})
	clock.Advance(restPeriod)
	assert.Assert(t, visitNext(t.Context(), r))
	assert.Equal(t, len(s.events["e"]), 1)
}

func TestNextIsForgottenWithTheTarget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := startEngine(t, standin.EngineOptions{})
	prompt(t, e, strings.Repeat("x", 512))
	here := []tables.Target{{Name: "e", Address: e.Address()}}
	s := &sink{}
	current := here
	r := s.reporter(clock, func() []tables.Target { return current })
	assert.Assert(t, visitNext(t.Context(), r))
	clock.Advance(restPeriod)
	assert.Assert(t, visitNext(t.Context(), r))
	assert.Equal(t, len(s.events["e"]), 2)

	current = nil
	assert.Assert(t, !visitNext(t.Context(), r))
	assert.Equal(t, len(r.targets), 0)

	current = here
	assert.Assert(t, visitNext(t.Context(), r))
	assert.Equal(t, len(s.events["e"]), 4)
}

func TestBodiesAreBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat(" ", loadBytes) + "{}"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	var body loadBody
	_, err := get(t.Context(), address, "/load", loadBytes, &body)

	assert.ErrorIs(t, err, errTooLarge)
	found, err := get(t.Context(), address, "/load", loadBytes+2, &body)
	assert.NilError(t, err)
	assert.Assert(t, found)
}

func TestManyTargetsShareTheRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	targets := make([]tables.Target, 20)
	for i := range targets {
		targets[i].Name = strconv.Itoa(i)
	}
	r := (&sink{}).reporter(clock, listed(targets...))
	visits := make(map[string]int)
	began := clock.Now()
	for range 5 * len(targets) {
		pause := r.pause()
		assert.Assert(t, pause >= visitPeriod && pause <= visitPeriod*5/4)
		clock.Advance(pause)
		due := r.next(clock.Now())
		visits[due.info.Name]++
		due.busy, due.due = false, clock.Now().Add(r.rest(due, nil))
	}

	reads := readsPerVisit * 5 * len(targets)
	assert.Assert(t, float64(reads) <= ReadsPerSecond*clock.Since(began).Seconds())
	for _, target := range targets {
		assert.Equal(t, visits[target.Name], 5)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e := standin.NewEngine(standin.EngineOptions{})
	assert.NilError(t, e.Start())
	defer e.Close()
	reports := make(chan string, 100)
	began := time.Now()
	r := New(Options{
		Targets:     listed(tables.Target{Name: "a", Address: e.Address()}, tables.Target{Name: "b", Address: e.Address()}),
		ReportLoad:  func(name string, _ admission.LoadReport) { reports <- name },
		ReportCache: func(string, []routing.CacheEvent) {},
	})
	var background conc.WaitGroup
	background.Go(func() { r.Run(ctx) })

	seen := map[string]int{}
	for range 4 {
		seen[<-reports]++
	}
	cancel()
	background.Wait()

	assert.Equal(t, len(seen), 2)
	assert.Assert(t, 4*visitPeriod <= time.Since(began))
}
