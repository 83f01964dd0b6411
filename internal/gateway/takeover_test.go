package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// longPause is more than responseTimeout and gapTimeout of the test's routes.
	longPause = 1600 * time.Millisecond
	// outcomeUnknown is the outcome of a grant that has not ended.
	outcomeUnknown schedule.Result = -1

	chunkedOK  = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedOK = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: 1\r\nConnection: close\r\n\r\n"
	lastChunk  = "0\r\n\r\n"
)

// plain returns a whole response that is no stream.
func plain(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nSigned: 1\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// events returns the events with the IDs as one chunk.
func events(ids ...int) string {
	raw := rawEvents(ids...)
	return fmt.Sprintf("%x\r\n%s\r\n", len(raw), raw)
}

func rawEvents(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}

// scriptStep is a part of a target's script: a text to send, a time.Duration to wait, a function
// to call, or hang to wait until the caller closes the connection.
type scriptStep any

type hang struct{}

// scriptedTarget runs its script for each request, and then closes the connection.
type scriptedTarget struct {
	script []scriptStep
	// runs receives the start and the end of each run.
	mu   sync.Mutex
	runs []scriptedRun
}

type scriptedRun struct {
	lastEventID         string
	startedAt, closedAt time.Time
}

func (s *scriptedTarget) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *scriptedTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	s.mu.Lock()
	index := len(s.runs)
	s.runs = append(s.runs, scriptedRun{lastEventID: request.Header.Get("Last"), startedAt: time.Now()})
	s.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, reader)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[index].closedAt = time.Now()
	}()
	for _, step := range s.script {
		switch step := step.(type) {
		case string:
			_, _ = io.WriteString(conn, step)
		case time.Duration:
			select {
			case <-closed:
				return
			case <-time.After(step):
			}
		case func():
			step()
		case hang:
			<-closed
			return
		}
	}
}

// run returns the only run of the target.
func (s *scriptedTarget) run(t *testing.T) scriptedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.runs), 1)
	return s.runs[0]
}

// headerProtocol is a minimal Protocol. All requests have the ID 1.
type headerProtocol struct{ Protocol }

func (headerProtocol) DispatchFields(m DispatchMetadata) []dispatch.Field {
	return []dispatch.Field{{Name: "Host", Value: "x"}, {Name: "Last", Value: m.LastEventID}}
}

func (headerProtocol) ParseResponse(h http.Header) ResponseMetadata {
	return ResponseMetadata{AttemptID: h.Get("Id"), Signed: h.Get("Signed") != "", NotExecuted: h.Get("Rejected") != ""}
}

// sequentialPlacer grants the targets in order, each once at a time.
type sequentialPlacer struct {
	targets []*catalog.Target

	mu       sync.Mutex
	grants   []*placedGrant
	searches int
}

// placedGrant is a grant and its outcome.
type placedGrant struct {
	placer *sequentialPlacer
	target *catalog.Target
	result schedule.Result
	took   time.Duration
	// The fields below are what was reported besides.
	responseStarted, silent bool
	timeToFirst             time.Duration
	tokenSpans              []time.Duration
}

func (p *sequentialPlacer) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.searches++
	for _, target := range p.targets {
		if !slices.Contains(r.ExcludedTargets, target.Key()) {
			g := &placedGrant{placer: p, target: target, result: outcomeUnknown}
			p.grants = append(p.grants, g)
			return schedule.NewGrant(schedule.Grant{Target: target}, g), nil
		}
	}
	return nil, &schedule.RefusedError{Reason: "no target"}
}

func (g *placedGrant) ResponseStarted(after time.Duration) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	g.responseStarted, g.timeToFirst = true, after
}

func (g *placedGrant) TokensReceived(_ int, took time.Duration) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	g.tokenSpans = append(g.tokenSpans, took)
}

func (g *placedGrant) TermsStated(schedule.Terms) {}

func (g *placedGrant) Silent() {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	g.silent = true
}

func (g *placedGrant) Done(o schedule.Outcome) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	if g.result == outcomeUnknown {
		g.result, g.took = o.Result, o.TotalTime
		if o.Tokens > 0 {
			g.tokenSpans = append(g.tokenSpans, o.TokenSpan)
		}
	}
}

// results returns the outcomes of the grants in the order of the attempts.
func (p *sequentialPlacer) results() []schedule.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var results []schedule.Result
	for _, g := range p.grants {
		results = append(results, g.result)
	}
	return results
}

// takeoverCase is a request to scripted targets.
type takeoverCase struct {
	*Gateway
	request *inflightRequest
	placer  *sequentialPlacer
	targets []*scriptedTarget
}

// newTakeoverCase starts a target for each script. The test must leave no goroutine
// and no grant behind.
func newTakeoverCase(t *testing.T, kind catalog.Kind, maxAttempts int, scripts ...[]scriptStep) *takeoverCase {
	ignored := goleak.IgnoreCurrent()
	clock := clockwork.NewRealClock()
	c := &takeoverCase{placer: &sequentialPlacer{}}
	var listeners []net.Listener
	for i, script := range scripts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		target := &scriptedTarget{script: script}
		c.targets = append(c.targets, target)
		c.placer.targets = append(c.placer.targets, &catalog.Target{ID: fmt.Sprintf("t%d", i+1), Address: l.Addr().String()})
		go target.serve(l)
		listeners = append(listeners, l)
	}
	const retries, window = 1000, time.Minute
	budget := routing.NewWindowRetryBudget(clock, 1, retries, window)
	c.Gateway = New(Options{
		Protocol: headerProtocol{}, Placer: c.placer, Pool: dispatch.NewPool(clock), Clock: clock, Rollouts: rollout.New(clock),
		RetryBudget: func(string) *routing.WindowRetryBudget { return budget }, Counters: &Counters{}, Logger: zap.NewNop(),
		Quarantine:     quarantine.New(quarantine.Options{Clock: clock, CountsUnresolved: true}),
		OnMisdirected:  func(*catalog.Target) {},
		ObserveLatency: func(int, string, time.Duration, time.Duration) {},
		ClusterView:    func() ClusterView { return ClusterView{} },
	})
	c.request = &inflightRequest{
		Gateway: c.Gateway, service: &catalog.Service{Name: "s"}, deadline: clock.Now().Add(5 * time.Second),
		request: &Request{ReceivedAt: clock.Now(), Method: http.MethodPost, URI: "/x", RequestMetadata: RequestMetadata{AttemptID: "1"}},
		route: &catalog.Route{
			Kind: kind, Resumable: kind == catalog.Streaming, MaxAttempts: maxAttempts,
			LatencyObjective: 100 * time.Millisecond, EventGapObjective: 50 * time.Millisecond,
		},
		fingerprint: quarantine.NewFingerprint("", "/x", nil),
	}
	t.Cleanup(func() {
		for i, target := range c.placer.targets {
			_ = listeners[i].Close()
			c.Pool.CloseIdle(target.Address)
		}
		assert.Assert(t, !slices.Contains(c.placer.results(), outcomeUnknown), "a grant has not ended: %v", c.placer.results())
		goleak.VerifyNone(t, ignored)
	})
	return c
}

// send sends the request; err is that of the stream.
func (c *takeoverCase) send() (status int, body string, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), c.request.deadline)
	defer cancel()
	return c.sendWith(ctx, cancel)
}

// sendWith is send with a context of the test; a status of 0 means no response.
func (c *takeoverCase) sendWith(ctx context.Context, cancel context.CancelFunc) (status int, body string, err error) {
	response := c.request.execute(ctx)
	switch {
	case response == nil:
		return 0, "", nil
	case response.Stream == nil:
		return response.Status, string(response.Body), nil
	}
	response.Stream.(*stream).cancel = cancel
	got, err := io.ReadAll(response.Stream)
	_ = response.Stream.Close()
	return response.Status, string(got), err
}

// checkSend sends the request and checks the response.
func (c *takeoverCase) checkSend(t *testing.T, wantBody string) {
	t.Helper()
	status, body, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wantBody)
}

// Events that were read together with a faulty one were dropped when the stream
// went on at another target.
func TestEventsBeforeAFaultyOneAreKept(t *testing.T) {
	c := newTakeoverCase(t, catalog.Streaming, 2,
		[]scriptStep{chunkedOK + events(1), 50 * time.Millisecond, events(2, 3, 5), hang{}},
		[]scriptStep{chunkedOK + events(4, 5) + lastChunk})
	c.checkSend(t, rawEvents(1, 2, 3, 4, 5))
	assert.Equal(t, c.targets[1].run(t).lastEventID, "3")
}

// A sound target was recorded as failed because the silent one went on first.
func TestTargetOfACancelledSearchHasNotFailed(t *testing.T) {
	for kind, scripts := range map[catalog.Kind][]scriptStep{
		catalog.Streaming:  {chunkedOK + events(1), longPause, events(2) + lastChunk},
		catalog.Idempotent: {longPause, plain(http.StatusOK, "first")},
	} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			c := newTakeoverCase(t, kind, 2, scripts, []scriptStep{hang{}})
			status, _, err := c.send()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.DeepEqual(t, c.placer.results(), []schedule.Result{schedule.Complete, schedule.Cancelled})
		})
	}
}

// A failure that a silent target sent at last ended the search for another target,
// which was about to respond.
func TestFailureOfASilentTargetDoesNotEndTheSearch(t *testing.T) {
	for name, late := range map[string]string{
		"failure": plain(http.StatusInternalServerError, "failure"), "unsigned": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
		"rejection": "HTTP/1.1 503 x\r\nRejected: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "broken off": "HTTP/1.1 200 OK\r\nSig",
		"unavailable": plain(http.StatusServiceUnavailable, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, catalog.Idempotent, 2,
				[]scriptStep{longPause, late}, []scriptStep{longPause, plain(http.StatusOK, "second")})
			c.checkSend(t, "second")
		})
	}
}

// A failure of the silent target is passed on if no other target responds.
func TestFailureOfASilentTargetIsPassedOnAtLast(t *testing.T) {
	c := newTakeoverCase(t, catalog.Idempotent, 2,
		[]scriptStep{longPause, plain(http.StatusInternalServerError, "failure")}, []scriptStep{longPause})
	status, body, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, body, "failure")
}

// The failure of another target does not end the exchange with the silent one.
func TestSilentTargetOutlastsAFailingOne(t *testing.T) {
	c := newTakeoverCase(t, catalog.Idempotent, 2,
		[]scriptStep{longPause, plain(http.StatusOK, "first")}, []scriptStep{plain(http.StatusInternalServerError, "failure")})
	c.checkSend(t, "first")
}

// A rejection whose body stalls was read, and started a search, after the request's
// state had been given back.
func TestRejectionThatStallsDoesNotHoldTheRequest(t *testing.T) {
	const stalled = "HTTP/1.1 503 x\r\nRejected: 1\r\nId: 1\r\nContent-Length: 9\r\n\r\n"
	for name, kind := range map[string]catalog.Kind{"stream": catalog.Streaming, "plain": catalog.Idempotent} {
		t.Run(name, func(t *testing.T) {
			answer, want := plain(http.StatusOK, "second"), "second"
			if kind == catalog.Streaming {
				answer, want = chunkedOK+events(1)+lastChunk, rawEvents(1)
			}
			c := newTakeoverCase(t, kind, 2, []scriptStep{stalled, hang{}}, []scriptStep{answer})
			startedAt := time.Now()
			c.checkSend(t, want)
			assert.Assert(t, time.Since(startedAt) < 2*time.Second, "%v", time.Since(startedAt))
		})
	}
}

// Targets that had been replaced used up the route's attempts: other targets at their
// addresses answered that the request was not for them.
func TestTargetsThatWereReplacedUseNoAttempts(t *testing.T) {
	misdirected := []scriptStep{"HTTP/1.1 421 x\r\nId: 1\r\nContent-Length: 0\r\n\r\n"}
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent} {
		c := newTakeoverCase(t, kind, 1, misdirected, misdirected, []scriptStep{plain(http.StatusOK, "third")})
		c.checkSend(t, "third")
		assert.Equal(t, c.Counters.Retried.Load(), uint64(2))
	}
	// They are bounded all the same.
	c := newTakeoverCase(t, catalog.Idempotent, 1, misdirected, misdirected, misdirected, misdirected, misdirected, []scriptStep{plain(http.StatusOK, "sixth")})
	status, _, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// The 503 of a request that was rejected by all is true, also if one stalled.
func TestRequestRejectedAfterSilenceIsRefused(t *testing.T) {
	const rejection = "HTTP/1.1 503 x\r\nRejected: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	c := newTakeoverCase(t, catalog.Idempotent, 2, []scriptStep{longPause, rejection}, []scriptStep{longPause, rejection})
	status, _, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// The targets tried while others are silent were one at most, and the last of them
// was waited for until the deadline.
func TestSilentTargetsLeaveFurtherAttempts(t *testing.T) {
	silentStream := []scriptStep{chunkedOK + events(1), hang{}}
	for name, tc := range map[string]struct {
		kind  catalog.Kind
		first []scriptStep
		last  string
		want  string
	}{
		"plain":         {kind: catalog.Idempotent, first: []scriptStep{hang{}}, last: plain(http.StatusOK, "third"), want: "third"},
		"stream":        {kind: catalog.Streaming, first: []scriptStep{hang{}}, last: chunkedOK + events(1, 2) + lastChunk, want: rawEvents(1, 2)},
		"in the stream": {kind: catalog.Streaming, first: silentStream, last: chunkedOK + events(2) + lastChunk, want: rawEvents(1, 2)},
		"broken off":    {kind: catalog.Streaming, first: silentStream[:1], last: chunkedOK + events(2) + lastChunk, want: rawEvents(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, tc.kind, 3, tc.first, []scriptStep{hang{}}, []scriptStep{tc.last})
			c.checkSend(t, tc.want)
		})
	}
}

// Each search that found no target took a retry from the budget.
func TestSearchesWithoutATargetTakeNoRetries(t *testing.T) {
	c := newTakeoverCase(t, catalog.Streaming, 2, []scriptStep{chunkedOK + events(1), 2 * longPause, events(2) + lastChunk})
	c.checkSend(t, rawEvents(1, 2))
	assert.Assert(t, c.placer.searches > 2, "%d searches", c.placer.searches-1)
	assert.Equal(t, c.Counters.Retried.Load(), uint64(0))
	assert.Equal(t, c.Counters.TargetsSilent.Load(), uint64(1))
}

// The whole stream of a target that is not used was counted as answered.
func TestUnusedStreamIsNotAnswered(t *testing.T) {
	whole := []scriptStep{chunkedOK + events(1) + lastChunk}
	c := newTakeoverCase(t, catalog.Streaming, 2, whole)
	response, ok := c.request.searchResponse(context.Background())
	assert.Assert(t, ok)
	response.discard()
	assert.Equal(t, c.Counters.Answered.Load(), uint64(0))
	used := newTakeoverCase(t, catalog.Streaming, 2, whole)
	used.checkSend(t, rawEvents(1))
	assert.Equal(t, used.Counters.Answered.Load(), uint64(1))
}

// The events of a stream are those of one target at a time, however close both are.
func TestEventsOfTwoTargetsDoNotMix(t *testing.T) {
	const gap = minGapTimeout
	for i := range 6 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			delay := time.Duration(i) * 200 * time.Microsecond
			c := newTakeoverCase(t, catalog.Streaming, 2,
				[]scriptStep{chunkedOK + events(1), gap + 20*time.Millisecond + delay, events(2, 3), events(4) + lastChunk},
				[]scriptStep{20 * time.Millisecond, chunkedOK + events(2), events(3, 4) + lastChunk})
			c.checkSend(t, rawEvents(1, 2, 3, 4))
		})
	}
}

// A stream may have no framing, at either target.
func TestUnframedStreamIsContinued(t *testing.T) {
	c := newTakeoverCase(t, catalog.Streaming, 2,
		[]scriptStep{unframedOK + rawEvents(1, 2), hang{}}, []scriptStep{unframedOK + rawEvents(3, 4)})
	c.checkSend(t, rawEvents(1, 2, 3, 4))
}

// Whenever a caller leaves, or its deadline passes, both targets are stopped soon and
// nothing is left behind.
func TestCallerThatLeavesEndsBothExchanges(t *testing.T) {
	const maxDelay = 200 * time.Millisecond
	beforeTheFirst, inTheStream := []scriptStep{hang{}}, []scriptStep{chunkedOK + events(1), hang{}}
	for name, script := range map[string][]scriptStep{"before the first event": beforeTheFirst, "in the stream": inTheStream} {
		for _, after := range []time.Duration{200 * time.Millisecond, minGapTimeout, minResponseTimeout, longPause} {
			for _, deadline := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, deadline %v", name, after, deadline), func(t *testing.T) {
					c := newTakeoverCase(t, catalog.Streaming, 2, script, []scriptStep{hang{}})
					startedAt := time.Now()
					ctx, cancel := context.WithCancel(context.Background())
					if deadline {
						ctx, cancel = context.WithTimeout(context.Background(), after)
					} else {
						time.AfterFunc(after, cancel)
					}
					defer cancel()
					_, _, _ = c.sendWith(ctx, cancel)
					took := time.Since(startedAt)
					assert.Assert(t, took >= after && took < after+maxDelay, "%v", took)
					time.Sleep(maxDelay)
					for _, target := range c.targets {
						target.mu.Lock()
						for _, run := range target.runs {
							assert.Check(t, !run.closedAt.IsZero() && run.closedAt.Before(startedAt.Add(after+maxDelay)), "%+v", run)
						}
						target.mu.Unlock()
					}
				})
			}
		}
	}
}

// The scheduler was told that each plain response took no time.
func TestTimeOfAPlainResponseReachesTheScheduler(t *testing.T) {
	const pause = 50 * time.Millisecond
	c := newTakeoverCase(t, catalog.Idempotent, 2, []scriptStep{pause, plain(http.StatusOK, "a")})
	c.checkSend(t, "a")
	c.placer.mu.Lock()
	defer c.placer.mu.Unlock()
	assert.Assert(t, c.placer.grants[0].took >= pause, "%v", c.placer.grants[0].took)
}
