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

var secret = []byte("a secret of the instances")

// bench is an executor over in-memory parts and one plain service.
type bench struct {
	*Executor
	ready error
	calls atomic.Int64
}

// newBench serves the routes "/once" (not idempotent) and "/" with one service.
// Nobody runs the shards, so no key has a key owner.
func newBench(t *testing.T, deadline time.Duration, service http.HandlerFunc, others ...membership.Member) *bench {
	t.Helper()
	b := &bench{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.calls.Add(1)
		service(w, r)
	}))
	t.Cleanup(backend.Close)
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
	viewer := membership.NewStatic(membership.Member{Name: "self"}, others...)
	bus := peer.NewNetwork().Bus("127.0.0.1:1")
	memory := platform.NewMemory()
	controller := admission.New(admission.Options{
		Viewer: viewer, Bus: bus, Targets: func(pool string) []tables.Target { return config.Pool(pool).Targets },
	})
	shards := once.NewShards(once.ShardOptions{Table: memory, Bus: bus, Viewer: viewer})
	forwards := once.NewForwards(nil, 0)
	claims := once.NewClaims(once.ClaimOptions{Platform: memory, Bus: bus, Viewer: viewer})
	b.Executor = New(Options{
		Viewer: viewer, Tables: func() *tables.Tables { return config }, Ready: func() error { return b.ready },
		Admission: controller, Observe: func(evidence.Observation) {}, MarkLeaving: func(string) {},
		Quarantine: quarantine.New(quarantine.Options{Rumors: membership.NewLocalRumors()}),
		Shards:     shards, Forwards: forwards, Claims: claims,
		Ledger: once.NewLedger(once.LedgerOptions{Shards: shards, Forwards: forwards, Bus: bus, Viewer: viewer}),
		Secret: secret, Metrics: metrics.New(t.Name()),
	})
	assert.NilError(t, bus.Start())
	ctx, cancel := context.WithCancel(context.Background())
	var background conc.WaitGroup
	background.Go(func() { controller.Run(ctx) })
	background.Go(func() { claims.Run(ctx) })
	t.Cleanup(func() {
		b.Shutdown(ctx)
		cancel()
		background.Wait()
	})
	return b
}

func echo(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "done") }

func call(path, key string) *Call {
	return &Call{Account: "a", Key: key, Method: http.MethodPost, Path: path, Received: time.Now()}
}

// refused runs a call that must be refused before its answer begins.
func refused(t *testing.T, b *bench, c *Call) *fault.Refusal {
	t.Helper()
	execution, err := b.Execute(t.Context(), c)
	if err == nil {
		reader := execution.Answer.Follow(0)
		defer reader.Close()
		_, err = reader.Head(t.Context())
	}
	refusal, ok := fault.AsRefusal(err)
	assert.Assert(t, ok, "%v", err)
	return refusal
}

func TestAKeyWithoutAKeyOwnerIsRefusedAsUnknown(t *testing.T) {
	b := newBench(t, 300*time.Millisecond, echo)
	refusal := refused(t, b, call("/x", "key"))
	assert.Equal(t, refusal.Execution, fault.ExecutionUnknown)
	assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
	assert.Equal(t, b.calls.Load(), int64(0))
}

func TestAForwarderIsToldOfTheKeyOwnerAtOnce(t *testing.T) {
	b := newBench(t, time.Hour, echo, membership.Member{Name: "other"})
	view := b.Viewer.View()
	for n := range 100 {
		key := once.Key{Account: "a", Key: fmt.Sprint(n)}
		if membership.Owner(view, fmt.Sprintf("shard/%d", key.Shard())).Name != "other" {
			continue
		}
		c := call("/x", key.Key)
		c.Forwarder = "third"
		refusal := refused(t, b, c)
		assert.Equal(t, refusal.Execution, fault.NotRun)
		assert.Equal(t, refusal.Peer, "other")
		return
	}
	t.Fatal("no key belongs to the other instance")
}

func TestAnInstanceThatIsNotReadyKnowsNothingOfKeys(t *testing.T) {
	b := newBench(t, time.Minute, echo)
	b.ready = errors.New("starting")
	assert.Equal(t, refused(t, b, call("/x", "key")).Execution, fault.ExecutionUnknown)
	assert.Equal(t, refused(t, b, call("/x", "")).Execution, fault.NotRun)
}

func TestARouteThatIsNotIdempotentNeedsAKey(t *testing.T) {
	b := newBench(t, time.Minute, echo)
	refusal := refused(t, b, call("/once", ""))
	assert.Equal(t, refusal.Execution, fault.NotRun)
	assert.Equal(t, refusal.Status, http.StatusBadRequest)
}

func TestTwinsOfAClaimShareOneRunAtTheService(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	var answers conc.WaitGroup
	bodies := make([]string, 3)
	for i := range bodies {
		answers.Go(func() { bodies[i] = body(t, b, call("/once", "key")) })
	}
	close(release)
	answers.Wait()
	assert.DeepEqual(t, bodies, []string{"done", "done", "done"})
	assert.Equal(t, b.calls.Load(), int64(1))
}

// body runs a call and returns its whole answer, or the error's text.
func body(t *testing.T, b *bench, c *Call) string {
	execution, err := b.Execute(t.Context(), c)
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

func TestForwardingFieldsNeedTheSecret(t *testing.T) {
	header := map[string]string{
		HeaderForwarder: "b", HeaderForwardKind: forwardKey, HeaderForwardRemaining: "1000",
		HeaderForwardMAC: forwardMAC(secret, "b", forwardKey, "1000"),
	}
	get := func(name string) string { return header[name] }
	c := call("/x", "key")
	assert.Assert(t, AcceptForward(secret, c, get))
	assert.Equal(t, c.Forwarder, "b")
	assert.Equal(t, c.Deadline, c.Received.Add(time.Second))

	header[HeaderForwardRemaining] = "999999"
	assert.Assert(t, !AcceptForward(secret, call("/x", "key"), get))
	header[HeaderForwardMAC] = forwardMAC([]byte("another secret"), "b", forwardKey, "999999")
	assert.Assert(t, !AcceptForward(secret, call("/x", "key"), get))
}

func TestEndToEndDropsWhatBelongsToOneConnection(t *testing.T) {
	kept := EndToEnd([]dispatch.Field{
		{Name: "Connection", Value: "X-Hop, close"},
		{Name: "x-hop", Value: "1"},
		{Name: "X-One", Value: "1"},
		{Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Content-Length", Value: "3"},
	})
	assert.DeepEqual(t, kept, []dispatch.Field{{Name: "X-One", Value: "1"}})
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"content":"x"},{"content":[{"text":"y"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"prompt":["a",1]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		prompt, err := ParsePrompt(text)
		if err == nil {
			assert.Assert(t, len(prompt.Prefix()) <= prompt.Tokens())
		}
	})
}
