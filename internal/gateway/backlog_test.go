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

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// backlogTimeout is generous, since other tests may run at the same time.
const backlogTimeout = 20 * time.Second

// testBufferBytes is what the system holds of a response at each end; much less makes loopback
// connections slow.
const testBufferBytes = 64 << 10

// smallBufferListener accepts connections for which the system holds little.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(testBufferBytes)
	}
	return conn, err
}

// serveCase serves requests with the path /KIND from the target of the case, and returns the
// address.
func serveCase(t *testing.T, c *takeoverCase) string {
	server := NewServer(c.Gateway)
	c.Draining, c.Catalog = func() bool { return false }, &catalog.Holder{}
	server.server.Handler = func(ctx *fasthttp.RequestCtx) {
		conn := ctx.Conn().(*callerConn)
		requestCtx, cancel := context.WithCancelCause(server.baseContext)
		conn.WatchClose(func() { cancel(nil) })
		r := &inflightRequest{
			Gateway: c.Gateway, service: c.request.service, request: c.request.request, deadline: c.request.deadline,
			route: &catalog.Route{Kind: catalog.Streaming, MaxAttempts: 1}, fingerprint: quarantine.NewFingerprint("", "/x", nil),
		}
		if string(ctx.Path()) == "/plain" {
			r.route = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}
		}
		deadlineCtx, cancelDeadline := context.WithDeadline(requestCtx, r.deadline)
		response := r.execute(deadlineCtx)
		if s, ok := response.Stream.(*stream); ok {
			s.cancel = cancelDeadline
		}
		response.write(ctx, conn, cancel, func() { cancel(nil); cancelDeadline(); conn.StopWatch() })
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	// The pool of goroutines of Serve ends too late for the check of goroutines.
	accepting := &listener{Listener: smallBufferListener{l}, timeouts: timeouts{idle: server.idleTimeout, header: server.headerTimeout}, counts: &server.conns, gateway: c.Gateway}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := accepting.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				_ = server.server.ServeConn(conn)
				_ = conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
		awaitConnections(t, server, 0)
	})
	return l.Addr().String()
}

// newBacklogCase returns a case with a target that sends a response. It starts what fasthttp keeps
// running first.
func newBacklogCase(t *testing.T, response string) *takeoverCase {
	var first fasthttp.Response
	assert.NilError(t, first.Write(bufio.NewWriter(io.Discard)))
	c := newTakeoverCase(t, catalog.Streaming, 1, []scriptStep{response})
	c.request.deadline = c.Clock.Now().Add(3 * backlogTimeout)
	return c
}

// callSlowly sends a request on a connection with a small receive buffer.
func callSlowly(t *testing.T, address, path string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(testBufferBytes))
	request(t, conn, path)
	return conn
}

func request(t *testing.T, conn net.Conn, path string) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", path)
	assert.NilError(t, err)
}

func readAnswer(conn net.Conn) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(backlogTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for giveUp := time.Now().Add(backlogTimeout); !done(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(giveUp), "no %s", what)
	}
}

// longStream returns the events of a stream of some size, as chunks and as text.
func longStream(bytes int) (chunks, text string) {
	var b, raw strings.Builder
	for id := 1; raw.Len() < bytes; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("d", 500+id%7))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		raw.WriteString(event)
	}
	return chunkedOK + b.String() + lastChunk, raw.String()
}

// A caller that does not read kept the target's response unread, so that the target cut it off,
// and the slot in use.
func TestTargetIsReadOnWhileTheCallerPauses(t *testing.T) {
	chunks, text := longStream(1000 << 10)
	c := newBacklogCase(t, chunks)
	conn := callSlowly(t, serveCase(t, c), "/stream")
	await(t, "free slot", func() bool { return slices.Equal(c.placer.results(), []schedule.Result{schedule.Complete}) })
	assert.Equal(t, c.Counters.Answered.Load(), uint64(0))
	assert.Assert(t, c.Pool.HeldBytes() > 0 && c.Pool.HeldBytes() <= maxStreamBacklog)
	got, err := readAnswer(conn)
	assert.NilError(t, err)
	assert.Assert(t, got == text)
	await(t, "end", func() bool { return c.Counters.Answered.Load() == 1 })
	assert.Equal(t, c.Pool.HeldBytes(), int64(0))
	// The connection serves further requests.
	request(t, conn, "/stream")
	got, err = readAnswer(conn)
	assert.NilError(t, err)
	assert.Assert(t, got == text)
}

// What is held for a caller must not turn a stream that was cut into a complete one.
func TestCutStreamIsCutForACallerThatPauses(t *testing.T) {
	chunks, text := longStream(1000 << 10)
	c := newBacklogCase(t, strings.TrimSuffix(chunks, lastChunk))
	conn := callSlowly(t, serveCase(t, c), "/stream")
	await(t, "end of the target's part", func() bool { return slices.Equal(c.placer.results(), []schedule.Result{schedule.Failed}) })
	got, err := readAnswer(conn)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, got == text, "%d bytes", len(got))
}

// A caller that does not read held the slot of a stream that is longer than what is held for one
// caller beyond the request's deadline.
func TestSlotOfALongStreamIsFreeAtTheDeadline(t *testing.T) {
	chunks, _ := longStream(16 << 20)
	c := newBacklogCase(t, chunks)
	c.request.deadline = c.Clock.Now().Add(300 * time.Millisecond)
	callSlowly(t, serveCase(t, c), "/stream")
	await(t, "free slot", func() bool { return slices.Equal(c.placer.results(), []schedule.Result{schedule.Cancelled}) })
	assert.Assert(t, c.Clock.Now().Before(c.request.deadline.Add(callerStallTime/2)))
	assert.Assert(t, c.Pool.HeldBytes() <= maxStreamBacklog)
}

// Callers that do not read took memory without a bound, or another caller's answer.
func TestMemoryForCallersThatDoNotReadIsBounded(t *testing.T) {
	const limit = 4 << 20
	for _, path := range []string{"/stream", "/plain"} {
		chunks, text := longStream(900 << 10)
		if path == "/plain" {
			// The target closes the connection after its response: a request that reuses it before that is
			// noticed fails, and is not repeated here.
			chunks = strings.Replace(plain(http.StatusOK, text), "\r\n", "\r\nConnection: close\r\n", 1)
		}
		c := newBacklogCase(t, chunks)
		c.Pool.SetMemoryLimit(8 * limit)
		address := serveCase(t, c)
		// At most half of them fit.
		const callers = 12
		var stuck []net.Conn
		for i := range callers {
			stuck = append(stuck, callSlowly(t, address, path))
			await(t, "end of the target's part", func() bool {
				results := c.placer.results()
				return len(results) == i+1 && results[i] == schedule.Complete
			})
		}
		await(t, "callers given up", func() bool {
			_, held := c.Pool.HeldForCallers()
			assert.Assert(t, held <= limit, "%d bytes", held)
			return c.Counters.CallersGivenUp.Load() >= callers/3
		})
		got, err := readAnswer(callSlowly(t, address, path))
		assert.NilError(t, err)
		assert.Assert(t, got == text, "%s: %d of %d bytes", path, len(got), len(text))
		assert.Assert(t, c.Pool.HeldBytes() <= limit)
		for _, conn := range stuck {
			_ = conn.Close()
		}
		await(t, "memory", func() bool { return c.Pool.HeldBytes() == 0 })
	}
}

// A complete response waits for the end of its exchange before it is written. Meanwhile its body was
// held without being counted.
func TestWholeBodyIsCountedUntilItIsWritten(t *testing.T) {
	const size, limit = 512 << 10, 1 << 20
	text := strings.Repeat("x", size)
	c := newBacklogCase(t, plain(http.StatusOK, text))
	c.Pool.SetMemoryLimit(8 * limit)
	ending, proceed := make(chan struct{}), make(chan struct{})
	c.Pool.SetMaxIdle(func(string) int {
		close(ending)
		<-proceed
		return 0
	})
	conn := callSlowly(t, serveCase(t, c), "/plain")
	<-ending
	held := c.Pool.HeldBytes()
	close(proceed)
	assert.Check(t, held > size/2 && held <= size, "%d bytes", held)
	got, err := readAnswer(conn)
	assert.NilError(t, err)
	assert.Assert(t, got == text, "%d of %d bytes", len(got), len(text))
	await(t, "release of the memory", func() bool { return c.Pool.HeldBytes() == 0 })
}

// The first part of a complete response is written with the header. While it waited, the rest of the
// body was held without being counted.
func TestWholeBodyIsCountedWhileItsFirstPartWaits(t *testing.T) {
	const body, firstPart = 1 << 20, 4096
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
	b := newBacklog(c.Gateway, conn)
	// The system goes on to move what it holds to the caller's end, so that a part may still fit in after
	// one did not: parts are written until one waits.
	ended := make(chan error, 1)
	go func() {
		for {
			b.beginWhole(body, nil)
			if _, err := b.write(make([]byte, firstPart)); err != nil {
				ended <- err
				return
			}
		}
	}()
	var held int64
	await(t, "memory for the caller", func() bool { _, held = c.Pool.HeldForCallers(); return held > 0 })
	// The system holds a part as well, within the double of its buffer.
	assert.Assert(t, held > body-firstPart && held <= body+2*testBufferBytes, "%d bytes", held)
	assert.NilError(t, caller.Close())
	assert.Assert(t, <-ended != nil)
	assert.Equal(t, c.Pool.HeldBytes(), int64(0))
}

// behindStream returns the connection of a caller that does not read the rest of a stream, which is
// being written, and the response with a whole body that follows it. Another body of the size has no
// room beside it.
func behindStream(t *testing.T) (c *takeoverCase, conn *callerConn, next *Response) {
	const size = 512 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := smallBufferListener{l}.Accept()
	assert.NilError(t, err)
	c = newTakeoverCase(t, catalog.Idempotent, 3, []scriptStep{plain(http.StatusOK, strings.Repeat("x", size))})
	conn = &callerConn{Conn: accepted, counts: &connCounts{}, backlog: newBacklog(c.Gateway, accepted)}
	t.Cleanup(func() {
		conn.backlog.giveUp(errCallerStalled)
		_ = conn.backlog.awaitDrained()
	})
	next = c.request.execute(t.Context())
	c.Pool.SetMemoryLimit(8 * 2 * c.Pool.HeldBytes())
	c.Pool.CloseIdle(c.placer.targets[0].Address)
	conn.backlog.beginStream(t.Context(), func(error) {})
	// The system goes on to move what it holds to the caller's end for a while.
	for fullSince := time.Now(); time.Since(fullSince) < 300*time.Millisecond; time.Sleep(time.Millisecond) {
		if !conn.backlog.isDraining() {
			_, err := conn.Write(make([]byte, 1<<10))
			assert.NilError(t, err)
			fullSince = time.Now()
		}
	}
	conn.backlog.endResponse()
	return c, conn, next
}

// A whole response that waited for the rest of a stream before it counted as one that is released
// soon. Its caller was not given up, and the bodies of others found no room.
func TestCallerWithAResponseBehindAStreamIsGivenUp(t *testing.T) {
	c, conn, next := behindStream(t)
	conn.backlog.beginWhole(len(next.Body), next.memory)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(next.Body)
		written <- err
	}()
	await(t, "wait for the stream", func() bool {
		conn.backlog.mu.Lock()
		defer conn.backlog.mu.Unlock()
		return conn.backlog.changed != nil
	})
	other := c.request.execute(t.Context())
	assert.Check(t, other.Status == http.StatusOK, "%d %s", other.Status, other.Reason)
	other.memory.Release()
	conn.backlog.giveUp(errCallerStalled)
	assert.Check(t, <-written != nil)
	_ = conn.Close()
	await(t, "release of the memory", func() bool { return c.Pool.HeldBytes() == 0 })
}

// The memory of a whole response was never released if its connection was closed while the rest of
// a stream before it was still held.
func TestCloseReleasesAResponseBehindAStream(t *testing.T) {
	c, conn, next := behindStream(t)
	conn.backlog.beginWhole(len(next.Body), next.memory)
	assert.NilError(t, conn.Close())
	conn.backlog.giveUp(errCallerStalled)
	await(t, "release of the memory", func() bool { return c.Pool.HeldBytes() == 0 })
}

// A caller that reads slowly must not be taken for one that does not read: its system accepts
// nothing for a while, but acknowledges what it has.
func TestCallerStallsOnlyWithoutAnyProgress(t *testing.T) {
	start := time.Unix(1, 0)
	p := newProgress(start, 1000)
	for i := 1; i <= 5; i++ {
		now := start.Add(time.Duration(i) * callerStallTime * 9 / 10)
		assert.Assert(t, !p.hasStalled(now))
		assert.Assert(t, p.observe(now, i%2, 1000-i))
	}
	last := p.at
	assert.Assert(t, !p.observe(last.Add(callerStallTime-1), 0, 995))
	assert.Assert(t, !p.hasStalled(last.Add(callerStallTime-1)))
	assert.Assert(t, p.hasStalled(last.Add(callerStallTime)))
}
