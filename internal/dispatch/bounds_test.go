package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// endlessServer answers each request with a prefix, then repeats a piece until the
// connection is closed.
type endlessServer struct {
	address string
	// sent counts the bytes written.
	sent atomic.Int64
	// closed receives a value when a connection has been closed by the other side.
	closed chan struct{}
}

// startEndlessServer starts an endlessServer. It pauses after each piece, and
// sends the pieces in large writes if the pause is 0.
func startEndlessServer(t *testing.T, prefix, piece string, pause time.Duration) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{address: listener.Addr().String(), closed: make(chan struct{}, 16)}
	if pause == 0 {
		piece = strings.Repeat(piece, 1+(16<<10)/len(piece))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, prefix, piece, pause)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn, prefix, piece string, pause time.Duration) {
	defer func() { s.closed <- struct{}{} }()
	defer conn.Close()
	_, _ = conn.Read(make([]byte, 4096))
	if _, err := io.WriteString(conn, prefix); err != nil {
		return
	}
	for {
		n, err := io.WriteString(conn, piece)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

const (
	// promptly is the time within which an exchange with endless bytes must end.
	promptly = 3 * time.Second
	// maxSocketBytes is what a server can send beyond what is read: the buffers of
	// both sockets.
	maxSocketBytes = 8 << 20
	slowly         = 50 * time.Millisecond
)

// A target that sends without end must not occupy memory or hold a request up to
// its deadline: the exchange with it must fail soon.
func TestEndlessBytesBeforeABodyEndTheExchange(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct {
		prefix, piece string
		pause         time.Duration
	}{
		"status line":                      {"HTTP/1.1 200 ", "x", 0},
		"status line, slowly":              {"HTTP/1.1 200 ", "x", slowly},
		"no line at all":                   {"", "\x00", 0},
		"header name":                      {ok + "X-", "a", 0},
		"header value":                     {ok + "X-A: ", "b", 0},
		"header value, slowly":             {ok + "X-A: ", "b", slowly},
		"header fields":                    {ok, "X-A: b\r\n", 0},
		"header fields, slowly":            {ok, "X-A: b\r\n", slowly},
		"informational responses":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"informational responses, slowly":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n", slowly},
		"body of another response":         {ok + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n", 0},
		"body of another response, slowly": {ok + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n", slowly},
		"other responses":                  {"", responseWithID("other", "x"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessServer(t, tc.prefix, tc.piece, tc.pause)
			ctx, cancel := context.WithTimeout(t.Context(), 4*promptly)
			defer cancel()
			startedAt := time.Now()
			_, err := NewPool(clockwork.NewRealClock()).Send(ctx, newPooledRequest(s.address))
			assert.Assert(t, err != nil)
			assert.Assert(t, !IsNotSent(err))
			assert.Assert(t, ctx.Err() == nil && time.Since(startedAt) < promptly, "after %v: %v", time.Since(startedAt), err)
			<-s.closed
			assert.Assert(t, s.sent.Load() < maxSocketBytes, "%d bytes sent", s.sent.Load())
		})
	}
}

func TestEndlessBytesInABodyEndTheExchange(t *testing.T) {
	const (
		header   = "HTTP/1.1 200 OK\r\nX-Id: expected\r\n"
		chunked  = header + "Transfer-Encoding: chunked\r\n\r\n"
		maxBytes = 1 << 20
		// maxChunkOverhead is the size of a chunk of one byte.
		maxChunkOverhead = 6
	)
	for name, tc := range map[string]struct{ prefix, piece string }{
		"until the connection ends":  {header + "\r\n", "x"},
		"chunks":                     {chunked, "8\r\n01234567\r\n"},
		"chunks of one byte":         {chunked, "1\r\n0\r\n"},
		"chunk size":                 {chunked, "0"},
		"chunk extension":            {chunked + "1;", "x"},
		"trailer":                    {chunked + "1\r\nx\r\n0\r\n", "X-A: b\r\n"},
		"trailer value":              {chunked + "1\r\nx\r\n0\r\nX-A: ", "b"},
		"announced length":           {header + "Content-Length: 9000000000000\r\n\r\n", "x"},
		"announced length, too long": {header + "Content-Length: 1048577\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessServer(t, tc.prefix, tc.piece, 0)
			response, err := NewPool(clockwork.NewRealClock()).Send(t.Context(), newPooledRequest(s.address))
			assert.NilError(t, err)
			startedAt := time.Now()
			_, err = response.ReadBody(maxBytes)
			assert.Assert(t, err != nil && err != io.EOF)
			response.Close()
			assert.Assert(t, time.Since(startedAt) < promptly)
			<-s.closed
			assert.Assert(t, s.sent.Load() < maxChunkOverhead*maxBytes+maxSocketBytes, "%d bytes sent", s.sent.Load())
		})
	}
}

// The rest of a response that is not used is read only to keep the connection,
// which is worth neither many bytes nor much time.
func TestDiscardIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 503 Busy\r\nX-Id: expected\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, pause := range map[string]time.Duration{"fast": 0, "slowly": slowly} {
		t.Run(name, func(t *testing.T) {
			s := startEndlessServer(t, chunked, "8\r\n01234567\r\n", pause)
			response, err := NewPool(clockwork.NewRealClock()).Send(t.Context(), newPooledRequest(s.address))
			assert.NilError(t, err)
			startedAt := time.Now()
			response.Discard()
			assert.Assert(t, time.Since(startedAt) < discardTimeout+time.Second)
			<-s.closed
			assert.Assert(t, s.sent.Load() < maxSocketBytes, "%d bytes sent", s.sent.Load())
		})
	}
}

func TestDiscardKeepsTheConnection(t *testing.T) {
	address, connections := startScriptedServer(t, responseWithID("expected", "one"), responseWithID("expected", "two"))
	p := NewPool(clockwork.NewRealClock())
	for range 2 {
		response, err := p.Send(t.Context(), newPooledRequest(address))
		assert.NilError(t, err)
		response.Discard()
	}
	assert.Equal(t, connections.Load(), int32(1))
}

// Many targets may send long bodies at once. Together they must not occupy more
// than the memory for bodies, and it must be free again afterwards.
func TestBodiesOfAllTargetsShareABound(t *testing.T) {
	const maxBytes = 8 << 20
	s := startEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Id: expected\r\n\r\n", "x", 0)
	short, _ := startScriptedServer(t, responseWithID("expected", "one"))
	p := NewPool(clockwork.NewRealClock())
	p.bufferedBytes.Store(maxBufferedBytes - 1<<20)
	response, err := p.Send(t.Context(), newPooledRequest(s.address))
	assert.NilError(t, err)
	_, err = response.ReadBody(maxBytes)
	assert.ErrorIs(t, err, ErrResponseTooLong)
	assert.Equal(t, p.TooLong(), uint64(1))
	body, err := sendAndRead(p, newPooledRequest(short))
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	response.Close()
	assert.Equal(t, p.bufferedBytes.Load(), int64(maxBufferedBytes-1<<20))
}

// The bodies of all targets together could take a third of the memory of a small instance,
// and as much again while they grew.
func TestMemoryForBodiesFollowsTheInstancesLimit(t *testing.T) {
	const limit, maxBytes = 16 << 20, 8 << 20
	s := startEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Id: expected\r\n\r\n", "x", 0)
	p := NewPool(clockwork.NewRealClock())
	p.SetMemoryLimit(limit)
	response, err := p.Send(t.Context(), newPooledRequest(s.address))
	assert.NilError(t, err)
	body, err := response.ReadBody(maxBytes)
	assert.ErrorIs(t, err, ErrResponseTooLong)
	assert.ErrorContains(t, err, "beside other long ones")
	assert.Equal(t, len(body), 0)
	assert.Assert(t, p.bufferedBytes.Load() <= limit*bodyMemoryShare)
	response.Close()
	p.SetMemoryLimit(1 << 40)
	assert.Equal(t, p.maxBuffered.Load(), int64(maxBufferedBytes))
}

func TestLongResponsesPass(t *testing.T) {
	const maxBytes = 8 << 20
	body := strings.Repeat("0123456789abcdef", maxBytes/16)
	value := strings.Repeat("v", 16<<10)
	for name, framing := range map[string]string{
		"with a length":             "Content-Length: 8388608\r\nConnection: close\r\n\r\n" + body,
		"until the connection ends": "Connection: close\r\n\r\n" + body,
		"in one chunk":              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n800000\r\n" + body + "\r\n0\r\n\r\n",
	} {
		address, _ := startScriptedServer(t, "HTTP/1.1 103 Early Hints\r\nX-V: "+value+"\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: expected\r\nX-V: "+value+"\r\n"+framing)
		p := NewPool(clockwork.NewRealClock())
		response, err := p.Send(t.Context(), newPooledRequest(address))
		assert.NilError(t, err, name)
		assert.Equal(t, response.Header.Get("X-V"), value, name)
		got, err := response.ReadBody(maxBytes)
		assert.NilError(t, err, name)
		assert.Assert(t, string(got) == body, name)
		response.Close()
		assert.Equal(t, p.bufferedBytes.Load(), int64(0), name)
	}
}

// The length announced by a response without a body is no length of its own.
func TestAnnouncedLengthWithoutABodyPasses(t *testing.T) {
	for status, method := range map[string]string{"200 OK": http.MethodHead, "304 Not Modified": http.MethodGet} {
		address, connections := startScriptedServer(t, "HTTP/1.1 "+status+"\r\nX-Id: expected\r\nContent-Length: 9000000000\r\n\r\n",
			responseWithID("expected", ""))
		p := NewPool(clockwork.NewRealClock())
		request := newPooledRequest(address)
		request.Method = method
		for range 2 {
			response, err := p.Send(t.Context(), request)
			assert.NilError(t, err)
			body, err := response.ReadBody(1 << 20)
			assert.NilError(t, err, status)
			assert.Equal(t, len(body), 0)
			response.Close()
		}
		assert.Equal(t, connections.Load(), int32(1), status)
	}
}

// A target may take long before it answers, and between any parts of its answer.
func TestPausesEndNoExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096))
		for _, part := range []string{
			"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\n", "X-Id: expected\r\nContent-Length: 4\r\n\r\n", "bo", "dy",
		} {
			_, _ = io.WriteString(conn, part)
			time.Sleep(headerTimeout + headerTimeout/4)
		}
	}()
	body, err := sendAndRead(NewPool(clockwork.NewRealClock()), newPooledRequest(listener.Addr().String()))
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
}

// A reused connection on which the target has answered with garbage has not
// failed before the answer.
func TestGarbageOnAReusedConnectionIsNoStaleConnection(t *testing.T) {
	address, _ := startScriptedServer(t, responseWithID("expected", "one"), "nonsense\r\nConnection: close\r\n\r\n")
	p := NewPool(clockwork.NewRealClock())
	_, err := sendAndRead(p, newPooledRequest(address))
	assert.NilError(t, err)
	_, err = sendAndRead(p, newPooledRequest(address))
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, ErrStaleConn), "%v", err)
}

func TestEndlessBytesEndASendOnItsOwnConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct {
		prefix, piece string
		pause         time.Duration
	}{
		"status line":             {"HTTP/1.1 200 ", "x", 0},
		"status line, slowly":     {"HTTP/1.1 200 ", "x", slowly},
		"header fields":           {ok, "X-A: b\r\n", 0},
		"header fields, slowly":   {ok, "X-A: b\r\n", slowly},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessServer(t, tc.prefix, tc.piece, tc.pause)
			ctx, cancel := context.WithTimeout(t.Context(), 4*promptly)
			defer cancel()
			_, err := Send(ctx, &Request{Address: s.address, ID: "r", Method: http.MethodGet, URI: "/"})
			assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
			<-s.closed
			assert.Assert(t, s.sent.Load() < maxSocketBytes, "%d bytes sent", s.sent.Load())
		})
	}
}
