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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// panickingProtocol panics at requests with a header field.
type panickingProtocol struct{ noopProtocol }

func (panickingProtocol) ParseRequest(header func(string) string) RequestMetadata {
	if header("Odd") != "" {
		panic("unexpected value")
	}
	return RequestMetadata{}
}

// A panic while one request was served ended the process with all others.
func TestPanicOfOneRequestDoesNotEndTheProcess(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	server := NewServer(New(Options{
		Protocol: panickingProtocol{}, Catalog: &catalog.Holder{}, Logger: zap.New(core), Clock: realClock(),
		Draining: func() bool { return false }, IsBehind: func() bool { return false }, Counters: &Counters{},
		ClusterView: func() ClusterView { return ClusterView{} },
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	for _, test := range []struct {
		field  string
		status int
	}{{"Odd: 1\r\n", http.StatusBadGateway}, {"", http.StatusServiceUnavailable}} {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%sContent-Length: 2\r\n\r\nhi", test.field)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, test.status)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, lines.Len(), 1)
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
	awaitConnections(t, server, 0)
}

// dispatchProtocol calls functions before it writes a request to a target and reads a response.
type dispatchProtocol struct {
	headerProtocol
	onDispatch func(DispatchMetadata)
	onResponse func()
}

func (p dispatchProtocol) DispatchFields(m DispatchMetadata) []dispatch.Field {
	if p.onDispatch != nil {
		p.onDispatch(m)
	}
	return p.headerProtocol.DispatchFields(m)
}

func (p dispatchProtocol) ParseResponse(h http.Header) ResponseMetadata {
	if p.onResponse != nil {
		p.onResponse()
	}
	return p.headerProtocol.ParseResponse(h)
}

// A slot stayed in use until the process ended if a panic occurred while its request ran. The
// cleanup of the case checks that all grants, connections and goroutines have ended.
func TestPanicWhileARequestRunsLeavesNoSlotInUse(t *testing.T) {
	panicAt := func(call int) func() {
		calls := 0
		return func() {
			if calls++; calls == call {
				panic("unexpected value")
			}
		}
	}
	for name, change := range map[string]func(*takeoverCase){
		"after the grant": func(c *takeoverCase) { c.IsEvacuated = func(*catalog.Target) bool { panic("unexpected value") } },
		"before the connection": func(c *takeoverCase) {
			c.Protocol = dispatchProtocol{onDispatch: func(DispatchMetadata) { panic("unexpected value") }}
		},
		"before the request":      func(c *takeoverCase) { c.IsEvacuated = func(*catalog.Target) bool { panicAfterGrant(c); return false } },
		"while a response is met": func(c *takeoverCase) { c.Protocol = dispatchProtocol{onResponse: panicAt(1)} },
		"after the header":        func(c *takeoverCase) { c.Protocol = dispatchProtocol{onResponse: panicAt(2)} },
	} {
		for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.Streaming} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				script := []scriptStep{plain(http.StatusOK, "first")}
				if kind == catalog.Streaming {
					script = []scriptStep{chunkedOK, events(1), hang{}}
				}
				c := newTakeoverCase(t, kind, 2, script)
				change(c)
				assert.Assert(t, !contain.Run(zap.NewNop(), "request", func() { _, _, _ = c.send() }))
				assert.DeepEqual(t, c.placer.results(), []schedule.Result{schedule.Cancelled})
			})
		}
	}
}

// The memory of a body was never released if a panic occurred between the end of its exchange and
// the write of the response.
func TestPanicAfterAWholeBodyReleasesItsMemory(t *testing.T) {
	for name, change := range map[string]func(*takeoverCase){
		"at the end of the exchange": func(c *takeoverCase) { c.Pool.SetMaxIdle(func(string) int { panic("unexpected value") }) },
		"as it is counted": func(c *takeoverCase) {
			c.ObserveLatency = func(int, string, time.Duration, time.Duration) { panic("unexpected value") }
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, catalog.Idempotent, 1, []scriptStep{plain(http.StatusOK, strings.Repeat("x", 512<<10))})
			change(c)
			assert.Assert(t, !contain.Run(zap.NewNop(), "request", func() { _, _, _ = c.send() }))
			assert.Equal(t, c.Pool.HeldBytes(), int64(0))
		})
	}
}

// The memory of a body was never released if a panic occurred before the server had taken over its
// response.
func TestPanicBeforeAWholeResponseIsWrittenReleasesItsMemory(t *testing.T) {
	c := newTakeoverCase(t, catalog.Idempotent, 1, []scriptStep{plain(http.StatusOK, strings.Repeat("x", 512<<10))})
	response := c.request.execute(t.Context())
	assert.Assert(t, c.Pool.HeldBytes() > 0)
	assert.Assert(t, !contain.Run(zap.NewNop(), "response", func() {
		response.write(&fasthttp.RequestCtx{}, nil, nil, func() { panic("unexpected value") })
	}))
	assert.Equal(t, c.Pool.HeldBytes(), int64(0))
}

// panicAfterGrant panics once the target of the first grant has been checked.
func panicAfterGrant(c *takeoverCase) {
	if !c.request.firstPlacedAt.IsZero() {
		panic("unexpected value")
	}
}

// A panic in the goroutine that looks for another target, while the first one is silent, ended the
// process. The search finds nothing then, and the first target is waited for.
func TestPanicInASearchDoesNotEndTheProcess(t *testing.T) {
	for kind, script := range map[catalog.Kind][]scriptStep{
		catalog.Idempotent: {longPause, plain(http.StatusOK, "first")},
		catalog.Streaming:  {chunkedOK, events(1), longPause, events(2), lastChunk},
	} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			c := newTakeoverCase(t, kind, 2, script, []scriptStep{hang{}})
			c.Protocol = dispatchProtocol{onDispatch: func(m DispatchMetadata) {
				if m.TargetID == "t2" {
					panic("unexpected value")
				}
			}}
			c.checkSend(t, map[catalog.Kind]string{catalog.Idempotent: "first", catalog.Streaming: rawEvents(1, 2)}[kind])
			results := c.placer.results()
			assert.Equal(t, results[0], schedule.Complete)
			assert.Assert(t, len(results) > 1 && !slices.ContainsFunc(results[1:], func(r schedule.Result) bool { return r != schedule.Cancelled }), "%v", results)
		})
	}
}

// A search that was running when its request ended by a panic went on, and kept the slot that it
// had found.
func TestPanicOfARequestEndsItsSearch(t *testing.T) {
	c := newTakeoverCase(t, catalog.Idempotent, 2, []scriptStep{longPause, plain(http.StatusOK, "first")}, []scriptStep{longPause, longPause, plain(http.StatusOK, "second")})
	c.Protocol = dispatchProtocol{onResponse: func() { panic("unexpected value") }}
	startedAt := time.Now()
	assert.Assert(t, !contain.Run(zap.NewNop(), "request", func() { _, _, _ = c.send() }))
	assert.Assert(t, time.Since(startedAt) >= longPause)
	assert.DeepEqual(t, c.placer.results(), []schedule.Result{schedule.Cancelled, schedule.Cancelled})
}

// panickingWriter panics when what the system does not accept at once is written.
type panickingWriter struct{ *net.TCPConn }

func (panickingWriter) Write([]byte) (int, error) { panic("unexpected value") }

// A panic while the backlog of a stream was written ended the process.
func TestPanicWhileABacklogIsWrittenEndsTheResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := smallBufferListener{l}.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	c := newBacklogCase(t, "")
	b := newBacklog(c.Gateway, panickingWriter{conn.(*net.TCPConn)})
	cancelled := make(chan error, 1)
	b.beginStream(t.Context(), func(cause error) { cancelled <- cause })
	for err == nil {
		_, err = b.write(make([]byte, 16<<10))
	}
	assert.ErrorIs(t, err, errBacklogPanicked)
	assert.ErrorIs(t, b.awaitDrained(), errBacklogPanicked)
	assert.NilError(t, <-cancelled)
	assert.Equal(t, c.Pool.HeldBytes(), int64(0))
	_ = caller.SetReadDeadline(time.Now().Add(backlogTimeout))
	_, err = io.Copy(io.Discard, caller)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// A panic while a request was read, outside of the handler, ended the process.
func TestPanicWhileARequestIsReadEndsItsConnection(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	server := NewServer(New(Options{
		Protocol: noopProtocol{}, Catalog: &catalog.Holder{}, Logger: zap.New(core), Clock: realClock(),
		Draining: func() bool { return false }, IsBehind: func() bool { return false }, Counters: &Counters{},
		ClusterView: func() ClusterView { return ClusterView{} },
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	var panicked atomic.Bool
	maxBody := func() int {
		if !panicked.Swap(true) {
			panic("unexpected value")
		}
		return maxBodyBytes
	}
	go func() {
		served <- server.server.Serve(&listener{
			Listener: l, timeouts: timeouts{idle: server.idleTimeout, header: server.headerTimeout}, callers: server.callers,
			maxBody: maxBody, counts: &server.conns, gateway: server.gateway,
		})
	}()
	for _, test := range []struct{ request, status string }{
		{"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "500"},
		{"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", "503"},
	} {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, test.request)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(backlogTimeout)))
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, strings.Fields(string(answer))[1], test.status)
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, lines.Len(), 1)
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
	awaitConnections(t, server, 0)
}
