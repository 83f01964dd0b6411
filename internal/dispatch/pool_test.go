package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
)

// startScriptedServer answers each request with the next of the responses.
func startScriptedServer(t *testing.T, responses ...string) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int32{}
	next := &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serveScriptedResponses(conn, next, responses)
		}
	}()
	return listener.Addr().String(), connections
}

func serveScriptedResponses(conn net.Conn, next *atomic.Int32, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		index := int(next.Add(1)) - 1
		if index >= len(responses) || responses[index] == "" {
			return
		}
		if _, err := io.WriteString(conn, responses[index]); err != nil {
			return
		}
		if strings.Contains(responses[index], "Connection: close") {
			return
		}
	}
}

const idHeader = "X-Id"

func newPooledRequest(address string) *PooledRequest {
	return &PooledRequest{
		Address: address, Method: http.MethodPost, URI: "/p?q", Body: []byte("body"),
		Header: []Field{{"Host", "h"}, {idHeader, "expected"}},
		Match: func(h http.Header) Match {
			if h.Get(idHeader) == "expected" {
				return MatchOwn
			}
			return MatchOther
		},
	}
}

func responseWithID(id, body string) string {
	const digits = "0123456789"
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " +
		string(digits[len(body)]) + "\r\n\r\n" + body
}

// sendAndRead sends the request and reads the complete response body.
func sendAndRead(p *Pool, r *PooledRequest) (string, error) {
	response, err := p.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	address, connections := startScriptedServer(t, responseWithID("expected", "one"), responseWithID("expected", "two"))
	p := NewPool(clockwork.NewRealClock())
	for _, want := range []string{"one", "two"} {
		got, err := sendAndRead(p, newPooledRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, connections.Load(), int32(1))
}

func TestConnectionWithBytesAfterTheAnswerIsNotKept(t *testing.T) {
	address, connections := startScriptedServer(t, responseWithID("expected", "one")+responseWithID("other", "xx"), responseWithID("expected", "two"))
	p := NewPool(clockwork.NewRealClock())
	for _, want := range []string{"one", "two"} {
		got, err := sendAndRead(p, newPooledRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, connections.Load(), int32(2))
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := startScriptedServer(t, responseWithID("other", "xx")+responseWithID("expected", "one"))
	got, err := sendAndRead(NewPool(clockwork.NewRealClock()), newPooledRequest(address))
	assert.NilError(t, err)
	assert.Equal(t, got, "one")
}

func TestUnfinishedBodiesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"body shorter than Content-Length":     "HTTP/1.1 200 OK\r\nX-Id: expected\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort",
		"last chunk missing":                   "HTTP/1.1 200 OK\r\nX-Id: expected\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n",
		"connection closed without a response": "",
		"malformed status line":                "nonsense\r\nConnection: close\r\n\r\n",
	} {
		address, _ := startScriptedServer(t, response)
		_, err := sendAndRead(NewPool(clockwork.NewRealClock()), newPooledRequest(address))
		assert.Assert(t, err != nil, name)
		assert.Assert(t, !IsNotSent(err), name)
	}
}

func TestBodyThatEndsWithTheConnectionIsWhole(t *testing.T) {
	address, connections := startScriptedServer(t,
		"HTTP/1.1 200 OK\r\nX-Id: expected\r\nConnection: close\r\n\r\nall of it", responseWithID("expected", "two"))
	p := NewPool(clockwork.NewRealClock())
	got, err := sendAndRead(p, newPooledRequest(address))
	assert.NilError(t, err)
	assert.Equal(t, got, "all of it")
	_, err = sendAndRead(p, newPooledRequest(address))
	assert.NilError(t, err)
	assert.Equal(t, connections.Load(), int32(2))
}

func TestPoolReportsRefusedConnectionAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = sendAndRead(NewPool(clockwork.NewRealClock()), newPooledRequest(address))
	assert.Assert(t, IsNotSent(err))
}

func TestRequireFreshConnSkipsOldConnection(t *testing.T) {
	address, connections := startScriptedServer(t, responseWithID("expected", "one"), responseWithID("expected", "two"), responseWithID("expected", "3"))
	clock := clockwork.NewFakeClock()
	p := NewPool(clock)
	request := newPooledRequest(address)
	request.RequireFreshConn = true
	for range 2 {
		_, err := sendAndRead(p, request)
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int32(1))
	clock.Advance(maxFreshIdleTime + time.Millisecond)
	_, err := sendAndRead(p, request)
	assert.NilError(t, err)
	assert.Equal(t, connections.Load(), int32(2))
}

// A read timeout ended the exchange with a target that would have gone on.
func TestSilenceDoesNotEndExchange(t *testing.T) {
	const after, silences = 20 * time.Millisecond, 4
	header, body, resume := "HTTP/1.1 200 OK\r\nX-Id: expected\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", make(chan struct{}, 1)
	for name, parts := range map[string][2]string{
		"before the header": {"", header + body + "0\r\n\r\n"}, "in the header": {header[:20], header[20:] + body + "0\r\n\r\n"},
		"in the body": {header + body[:4], body[4:] + "0\r\n\r\n"}, "before the end": {header + body, "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startPausingServer(t, parts, resume)
			silent := 0
			request := newPooledRequest(address)
			request.Silence = SilenceWatch{After: after, OnSilence: func() {
				if silent++; silent == silences {
					resume <- struct{}{}
				}
			}}
			got, err := sendAndRead(NewPool(clockwork.NewRealClock()), request)
			assert.NilError(t, err)
			assert.Equal(t, got, "abc")
			assert.Assert(t, silent >= silences)
		})
	}
}

// A silent target must not keep an exchange that its caller has given up.
func TestContextCutsASilentExchange(t *testing.T) {
	address := startPausingServer(t, [2]string{}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	request := newPooledRequest(address)
	request.Silence = SilenceWatch{After: time.Millisecond, OnSilence: cancel}
	_, err := NewPool(clockwork.NewRealClock()).Send(ctx, request)
	assert.ErrorIs(t, err, context.Canceled)
}

// startPausingServer starts a server that sends the first part of a response, and
// the second one once it may go on.
func startPausingServer(t *testing.T, parts [2]string, resume <-chan struct{}) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte(parts[0]))
		<-resume
		_, _ = conn.Write([]byte(parts[1]))
	}()
	return listener.Addr().String()
}

func TestContextCutsAnExchange(t *testing.T) {
	address, _ := startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Id: expected\r\nContent-Length: 9\r\n\r\nabc")
	ctx, cancel := context.WithCancel(context.Background())
	response, err := NewPool(clockwork.NewRealClock()).Send(ctx, newPooledRequest(address))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(response)
	assert.Assert(t, err != nil)
	response.Close()
}

// A panic while a connection was kept for later requests left the pool locked, and all further
// requests waited.
func TestPanicWhileAConnectionIsKeptLeavesThePoolUsable(t *testing.T) {
	pool := NewPool(clockwork.NewFakeClock())
	pool.SetMaxIdle(func(string) int { panic("unexpected value") })
	assert.Assert(t, !contain.Run(zap.NewNop(), "step", func() { pool.release(&pooledConn{}, 0) }))
	assert.Assert(t, pool.mu.TryLock())
}

// The bound on idle connections was computed under the pool's lock. While that waited for a collection,
// all other requests waited for the lock.
func TestOtherRequestsGoOnWhileTheBoundOnIdleConnectionsIsComputed(t *testing.T) {
	pool := NewPool(clockwork.NewFakeClock())
	locked := true
	pool.SetMaxIdle(func(string) int {
		if locked = !pool.mu.TryLock(); !locked {
			pool.mu.Unlock()
		}
		return 1
	})
	conn := &pooledConn{address: "a"}
	pool.release(conn, 0)
	assert.Assert(t, !locked)
	assert.Equal(t, pool.popIdle("a", false), conn)
}
