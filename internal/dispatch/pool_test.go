package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// scripted serves connections with fixed bytes for each request read.
func scripted(t *testing.T, answers ...string) (address string, connections *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int32{}
	next := &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serveScript(conn, next, answers)
		}
	}()
	return l.Addr().String(), connections
}

func serveScript(conn net.Conn, next *atomic.Int32, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		at := int(next.Add(1)) - 1
		if at >= len(answers) || answers[at] == "" {
			return
		}
		if _, err := io.WriteString(conn, answers[at]); err != nil {
			return
		}
		if strings.Contains(answers[at], "Connection: close") {
			return
		}
	}
}

const idField = "X-Id"

func exchangeTo(address string) *PooledRequest {
	return &PooledRequest{
		Address: address, Method: http.MethodPost, URI: "/p?q", Body: []byte("body"),
		Header:         []Field{{"Host", "h"}, {idField, "mine"}},
		MatchesRequest: func(h http.Header) bool { return h.Get(idField) == "mine" },
	}
}

func answerOf(id, body string) string {
	const lengths = "0123456789"
	return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nContent-Length: " +
		string(lengths[len(body)]) + "\r\n\r\n" + body
}

// read sends an exchange and reads its whole body.
func read(p *Pool, x *PooledRequest) (string, error) {
	reply, err := p.Send(context.Background(), x)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	address, connections := scripted(t, answerOf("mine", "one"), answerOf("mine", "two"))
	p := NewPool(clockwork.NewRealClock())
	for _, want := range []string{"one", "two"} {
		got, err := read(p, exchangeTo(address))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, connections.Load(), int32(1))
}

func TestConnectionWithBytesAfterTheAnswerIsNotKept(t *testing.T) {
	address, connections := scripted(t, answerOf("mine", "one")+answerOf("other", "xx"), answerOf("mine", "two"))
	p := NewPool(clockwork.NewRealClock())
	for _, want := range []string{"one", "two"} {
		got, err := read(p, exchangeTo(address))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, connections.Load(), int32(2))
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := scripted(t, answerOf("other", "xx")+answerOf("mine", "one"))
	got, err := read(NewPool(clockwork.NewRealClock()), exchangeTo(address))
	assert.NilError(t, err)
	assert.Equal(t, got, "one")
}

func TestUnfinishedBodiesAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort",
		"no last chunk":       "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n",
		"no answer":           "",
		"rubbish":             "nonsense\r\nConnection: close\r\n\r\n",
	} {
		address, _ := scripted(t, answer)
		_, err := read(NewPool(clockwork.NewRealClock()), exchangeTo(address))
		assert.Assert(t, err != nil, name)
		assert.Assert(t, !IsNotSent(err), name)
	}
}

func TestBodyThatEndsWithTheConnectionIsWhole(t *testing.T) {
	address, connections := scripted(t,
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\nall of it", answerOf("mine", "two"))
	p := NewPool(clockwork.NewRealClock())
	got, err := read(p, exchangeTo(address))
	assert.NilError(t, err)
	assert.Equal(t, got, "all of it")
	_, err = read(p, exchangeTo(address))
	assert.NilError(t, err)
	assert.Equal(t, connections.Load(), int32(2))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = read(NewPool(clockwork.NewRealClock()), exchangeTo(address))
	assert.Assert(t, IsNotSent(err))
}

func TestCarefulExchangeTakesNoOldConnection(t *testing.T) {
	address, connections := scripted(t, answerOf("mine", "one"), answerOf("mine", "two"), answerOf("mine", "3"))
	clock := clockwork.NewFakeClock()
	p := NewPool(clock)
	careful := exchangeTo(address)
	careful.RequireFreshConn = true
	for range 2 {
		_, err := read(p, careful)
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int32(1))
	clock.Advance(recentUse + time.Millisecond)
	_, err := read(p, careful)
	assert.NilError(t, err)
	assert.Equal(t, connections.Load(), int32(2))
}

func TestSilentTargetEndsThePatience(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	x := exchangeTo(l.Addr().String())
	x.ReadTimeout = 10 * time.Millisecond
	_, err = read(NewPool(clockwork.NewRealClock()), x)
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}

func TestContextCutsAnExchange(t *testing.T) {
	address, _ := scripted(t, "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nabc")
	ctx, cancel := context.WithCancel(context.Background())
	reply, err := NewPool(clockwork.NewRealClock()).Send(ctx, exchangeTo(address))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(reply)
	assert.Assert(t, err != nil)
	reply.Close()
}
