package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// testTimeout bounds waits that reach it only if the test fails.
const testTimeout = 30 * time.Second

var testSecret = []byte("a secret of the instances")

// newExecutor returns an Executor of a single instance with in-memory
// dependencies.
func newExecutor(t testing.TB, configuration *tables.Tables) *executor.Executor {
	t.Helper()
	viewer := membership.NewStaticViewer(membership.Member{Name: t.Name()})
	bus := peer.NewNetwork().Bus("127.0.0.1:1")
	memory := platform.NewMemory()
	current := func() *tables.Tables { return configuration }
	shards := once.NewShards(once.ShardOptions{Table: memory, Bus: bus, Viewer: viewer})
	forwards := once.NewForwards(nil, 0)
	controller := admission.New(admission.Options{
		Viewer: viewer, Bus: bus,
		Targets: func(pool string) []tables.Target { return configuration.Pool(pool).Targets },
	})
	assert.NilError(t, bus.Start())
	ctx, cancel := context.WithCancel(context.Background())
	var background conc.WaitGroup
	background.Go(func() { controller.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		background.Wait()
	})
	return executor.New(executor.Options{
		Viewer: viewer, Tables: current, CheckReady: func() error { return nil }, Admission: controller,
		Observe: func(evidence.Observation) {}, MarkLeaving: func(string) {}, Quarantine: quarantine.New(quarantine.Options{Rumors: membership.NewLocalRumors(), AloneSuffices: true}),
		Shards: shards, Forwards: forwards,
		Ledger: once.NewLedger(once.LedgerOptions{Shards: shards, Forwards: forwards, Bus: bus, Viewer: viewer}),
		Claims: once.NewClaims(once.ClaimOptions{Platform: memory, Bus: bus, Viewer: viewer}),
		Secret: testSecret, Metrics: metrics.New(t.Name()),
	})
}

// startServer serves an Executor whose only target is the handler and returns the
// base URL.
func startServer(t testing.TB, target http.Handler) string {
	t.Helper()
	const slots = 8
	return startServerWithSlots(t, slots, target)
}

// startServerWithSlots is startServer with the given number of slots at the target.
func startServerWithSlots(t testing.TB, slots int, target http.Handler) string {
	t.Helper()
	backend := httptest.NewServer(target)
	t.Cleanup(backend.Close)
	runner := newExecutor(t, &tables.Tables{
		Version: 1,
		Routes:  []tables.Route{{Name: "all", Pool: "p", Idempotent: true}},
		Pools: []tables.Pool{{Name: "p", Kind: tables.KindEngine, Targets: []tables.Target{
			{Name: "t", Address: backend.Listener.Addr().String(), Slots: slots},
		}}},
	})
	server := New(Options{
		Runner: runner, Secret: testSecret, CheckReady: func() error { return nil }, Draining: func() bool { return false },
		Limits: settings.Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10, Connections: 4 * concurrentStreams},
		Logger: zap.NewNop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.NilError(t, server.Shutdown(ctx))
		assert.NilError(t, <-served)
		runner.Shutdown(ctx)
	})
	return "http://" + listener.Addr().String()
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

func TestEventReachesCallerBeforeNextIsSent(t *testing.T) {
	proceed := make(chan struct{})
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 3; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			<-proceed
		}
		_, _ = fmt.Fprint(w, "id: 4\ndata: [DONE]\n\n")
	}))

	response, err := newClient(t).Post(url+"/v1/chat/completions", "application/json", strings.NewReader(streamBody))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Assert(t, response.Header.Get(HeaderRequest) != "")
	lines := bufio.NewReader(response.Body)
	for i := 1; i <= 3; i++ {
		for _, want := range []string{fmt.Sprintf("id: %d\n", i), fmt.Sprintf("data: t%d\n", i), "\n"} {
			line, err := lines.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, want)
		}
		proceed <- struct{}{}
	}
	rest, err := io.ReadAll(lines)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "id: 4\ndata: [DONE]\n\n")
}

func TestACutStreamIsResumedAndNotRepeated(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodGet {
			assert.Check(t, r.URL.Query().Get("after") == "2")
			_, _ = fmt.Fprint(w, "id: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n")
			return
		}
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))

	response, err := newClient(t).Post(url+"/v1/chat/completions", "application/json", strings.NewReader(streamBody))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: [DONE]\n\n")
}

func TestAStreamWithoutItsEndIsNotPassedAsComplete(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
	}))

	response, err := newClient(t).Post(url+"/v1/chat/completions", "application/json", strings.NewReader(streamBody))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(body), "event: refusal"))
	assert.Assert(t, strings.Contains(string(body), `"run":"ran_in_part"`))
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	cancelled := make(chan struct{})
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			close(cancelled)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: t\n\n", i); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
				return
			}
		}
	}))

	response, err := newClient(t).Post(url+"/v1/chat/completions", "application/json", strings.NewReader(streamBody))
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the run was not cancelled at the target within the test timeout")
	}
}

func TestPlainRequestKeepsMethodStatusHeadersAndBody(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.String()+" "+r.Header.Get("X-One")+r.Header.Get("X-Hop"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	}))
	request, err := http.NewRequest(http.MethodPut, url+"/billing/plan?x=1", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set("X-One", "one")
	request.Header.Set("X-Hop", "hop")
	request.Header.Set("Connection", "X-Hop")

	response, err := newClient(t).Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusAccepted)
	assert.Equal(t, response.Header.Get("X-Seen"), "PUT /billing/plan?x=1 one")
	assert.Equal(t, string(body), "body")
}

func TestRefusalsSayWhetherTheRequestRan(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	cases := map[string]struct{ path, body, run, step string }{
		"invalid model request":    {"/v1/chat/completions", "{", "not_run", "accept"},
		"target closes connection": {"/x", "", "unknown", "dispatch"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response, err := newClient(t).Post(url+c.path, "application/json", strings.NewReader(c.body))
			assert.NilError(t, err)
			defer response.Body.Close()
			var problem executor.ProblemDetails
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&problem))
			assert.Equal(t, string(problem.Execution), c.run)
			assert.Equal(t, string(problem.Step), c.step)
			assert.Equal(t, response.Header.Get("Content-Type"), contentTypeProblem)
		})
	}
}

func TestBodyOverLimitIsRefusedBeforeUpload(t *testing.T) {
	url := startServer(t, http.NotFoundHandler())
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 2<<20)
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	var problem executor.ProblemDetails
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&problem))
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, string(problem.Execution), "not_run")
}
