package executor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

var testSecret = []byte("a secret of the instances")

// testExecutor is an Executor with in-memory dependencies and one plain service.
type testExecutor struct {
	*Executor
	readyErr     error
	serviceCalls atomic.Int64
	backend      *httptest.Server
}

// newTestExecutor routes "/once" (non-idempotent) and all other paths to one
// service. The shards are not running, so this instance owns no key.
func newTestExecutor(t *testing.T, deadline time.Duration, service http.HandlerFunc, others ...membership.Member) *testExecutor {
	t.Helper()
	e := &testExecutor{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.serviceCalls.Add(1)
		service(w, r)
	}))
	t.Cleanup(backend.Close)
	e.backend = backend
	config := &tables.Tables{
		Version: 1,
		Routes: []tables.Route{
			{Name: "once", Match: tables.Match{Path: "/once"}, Pool: "p", Deadline: tables.Duration(deadline)},
			{Name: "all", Pool: "p", Idempotent: true, Deadline: tables.Duration(deadline)},
		},
		Pools: []tables.Pool{{Name: "p", Kind: tables.KindService, Targets: []tables.Target{
			{Name: "t", Address: backend.Listener.Addr().String(), Slots: 8},
		}}},
	}
	viewer := membership.NewStaticViewer(membership.Member{Name: "self"}, others...)
	bus := peer.NewNetwork().Bus("127.0.0.1:1")
	memory := platform.NewMemory()
	controller := admission.New(admission.Options{
		Viewer: viewer, Bus: bus, Targets: func(pool string) []tables.Target { return config.Pool(pool).Targets },
	})
	shards := once.NewShards(once.ShardOptions{Table: memory, Bus: bus, Viewer: viewer})
	forwards := once.NewForwards(nil, 0)
	claims := once.NewClaims(once.ClaimOptions{Platform: memory, Bus: bus, Viewer: viewer})
	e.Executor = New(Options{
		Viewer: viewer, Tables: func() *tables.Tables { return config }, CheckReady: func() error { return e.readyErr },
		Admission: controller, Observe: func(evidence.Observation) {}, MarkLeaving: func(string) {},
		Quarantine: quarantine.New(quarantine.Options{Rumors: membership.NewLocalRumors(), AloneSuffices: true}),
		Shards:     shards, Forwards: forwards, Claims: claims,
		Ledger: once.NewLedger(once.LedgerOptions{Shards: shards, Forwards: forwards, Bus: bus, Viewer: viewer}),
		Secret: testSecret, Metrics: metrics.New(t.Name()),
	})
	assert.NilError(t, bus.Start())
	ctx, cancel := context.WithCancel(context.Background())
	var background conc.WaitGroup
	background.Go(func() { controller.Run(ctx) })
	background.Go(func() { claims.Run(ctx) })
	t.Cleanup(func() {
		e.Shutdown(ctx)
		cancel()
		background.Wait()
	})
	return e
}

func respondDone(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "done") }

func newCall(path, key string) *Call {
	return &Call{Account: "a", IdempotencyKey: key, Method: http.MethodPost, Path: path, ReceivedAt: time.Now()}
}

// executeRefused executes a call that must be refused before its response headers
// and returns the refusal.
func executeRefused(t *testing.T, e *testExecutor, c *Call) *fault.Refusal {
	t.Helper()
	execution, err := e.Execute(t.Context(), c)
	if err == nil {
		reader := execution.Answer.Follow(0)
		defer reader.Close()
		_, err = reader.Head(t.Context())
	}
	refusal, ok := fault.AsRefusal(err)
	assert.Assert(t, ok, "expected a refusal, got %v", err)
	return refusal
}

func TestKeyWithoutOwnerIsRefusedAsUnknown(t *testing.T) {
	e := newTestExecutor(t, 300*time.Millisecond, respondDone)
	refusal := executeRefused(t, e, newCall("/x", "key"))
	assert.Equal(t, refusal.Execution, fault.ExecutionUnknown)
	assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
	assert.Equal(t, e.serviceCalls.Load(), int64(0))
}

func TestForwardedRequestIsRefusedWithKeyOwner(t *testing.T) {
	e := newTestExecutor(t, time.Hour, respondDone, membership.Member{Name: "other"})
	view := e.Viewer.View()
	for i := range 100 {
		key := once.Key{Account: "a", Key: fmt.Sprint(i)}
		if membership.Owner(view, fmt.Sprintf("shard/%d", key.Shard())).Name != "other" {
			continue
		}
		c := newCall("/x", key.Key)
		c.Forwarder = "third"
		refusal := executeRefused(t, e, c)
		assert.Equal(t, refusal.Execution, fault.NotRun)
		assert.Equal(t, refusal.Peer, "other")
		return
	}
	t.Fatal("none of 100 keys belongs to the other instance")
}

func TestUnreadyInstanceRefusesKeyedRequestsAsUnknown(t *testing.T) {
	e := newTestExecutor(t, time.Minute, respondDone)
	e.readyErr = errors.New("starting")
	assert.Equal(t, executeRefused(t, e, newCall("/x", "key")).Execution, fault.ExecutionUnknown)
	assert.Equal(t, executeRefused(t, e, newCall("/x", "")).Execution, fault.NotRun)
}

func TestNonIdempotentRouteRequiresKey(t *testing.T) {
	e := newTestExecutor(t, time.Minute, respondDone)
	refusal := executeRefused(t, e, newCall("/once", ""))
	assert.Equal(t, refusal.Execution, fault.NotRun)
	assert.Equal(t, refusal.Status, http.StatusBadRequest)
}

func TestConcurrentDuplicatesOfClaimRunOnce(t *testing.T) {
	release := make(chan struct{})
	e := newTestExecutor(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondDone(w, r)
	})
	var requests conc.WaitGroup
	bodies := make([]string, 3)
	for i := range bodies {
		requests.Go(func() { bodies[i] = executeBody(t, e, newCall("/once", "key")) })
	}
	close(release)
	requests.Wait()
	assert.DeepEqual(t, bodies, []string{"done", "done", "done"})
	assert.Equal(t, e.serviceCalls.Load(), int64(1))
}

// executeBody executes a call and returns the whole response body, or the text of
// the error.
func executeBody(t *testing.T, e *testExecutor, c *Call) string {
	execution, err := e.Execute(t.Context(), c)
	if err != nil {
		return err.Error()
	}
	reader := execution.Answer.Follow(0)
	defer reader.Close()
	var text strings.Builder
	for {
		chunk, err := reader.Next(t.Context())
		if err != nil {
			return text.String()
		}
		text.Write(chunk.Data)
	}
}

func TestForwardFieldsRequireSecret(t *testing.T) {
	header := map[string]string{
		HeaderForwarder: "b", HeaderForwardKind: forwardKindKey, HeaderForwardRemaining: "1000",
		HeaderForwardMAC: forwardMAC(testSecret, "b", forwardKindKey, "1000"),
	}
	get := func(name string) string { return header[name] }
	c := newCall("/x", "key")
	assert.Assert(t, ApplyForwardFields(testSecret, c, get))
	assert.Equal(t, c.Forwarder, "b")
	assert.Equal(t, c.Deadline, c.ReceivedAt.Add(time.Second))

	header[HeaderForwardRemaining] = "999999"
	assert.Assert(t, !ApplyForwardFields(testSecret, newCall("/x", "key"), get))
	header[HeaderForwardMAC] = forwardMAC([]byte("another secret"), "b", forwardKindKey, "999999")
	assert.Assert(t, !ApplyForwardFields(testSecret, newCall("/x", "key"), get))
}

func TestEndToEndFieldsDropsHopByHopFields(t *testing.T) {
	fields := EndToEndFields([]dispatch.Field{
		{Name: "Connection", Value: "X-Hop, close"},
		{Name: "x-hop", Value: "1"},
		{Name: "X-One", Value: "1"},
		{Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Content-Length", Value: "3"},
	})
	assert.DeepEqual(t, fields, []dispatch.Field{{Name: "X-One", Value: "1"}})
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"content":"x"},{"content":[{"text":"y"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"prompt":["a",1]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		prompt, err := ParsePrompt(text)
		if err == nil {
			assert.Assert(t, len(prompt.PrefixHashes()) <= prompt.EstimatedTokens())
		}
	})
}

// A target that a request crashes may accept connections and not respond until it
// is restarted. The attempt ended with its deadline then, and was not held against
// the request.
func TestRequestUnderWhichATargetFellSilentIsSuspect(t *testing.T) {
	hung := make(chan struct{})
	e := newTestExecutor(t, 300*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		close(hung)
		<-r.Context().Done()
	})
	crashing := newCall("/x", "")
	fingerprint := func(c *Call) quarantine.Fingerprint {
		return quarantine.NewFingerprint(c.Account, c.Method+" "+c.Path, c.Body)
	}
	refusal := executeRefused(t, e, crashing)
	<-hung
	assert.Equal(t, refusal.Status, http.StatusGatewayTimeout)
	assert.Assert(t, !e.Quarantine.IsSuspect(fingerprint(crashing)), "the target may be alive")
	e.backend.CloseClientConnections()
	e.backend.Close()
	other := newCall("/y", "")
	executeRefused(t, e, other)
	assert.Assert(t, e.Quarantine.IsSuspect(fingerprint(crashing)))
	assert.Assert(t, !e.Quarantine.IsSuspect(fingerprint(other)))
}
