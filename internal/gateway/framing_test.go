package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// FuzzCallerFraming sends arbitrary bytes on a caller's connection. The server
// must return a sequence of complete responses, none of them a success, since
// no configuration is known.
func FuzzCallerFraming(f *testing.F) {
	for _, seed := range []string{
		"GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET /y HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /z HTTP/1.1\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody5",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"GET /x HTTP/1.1\nHost: a\n\n", "\r\n\r\nGET / HTTP/1.0\r\n\r\n", "\x00\xff", "GET  / HTTP/9.9\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		if len(sent) == 0 {
			// The in-memory connection delivers an empty write as an empty read, which
			// no network connection does.
			return
		}
		server := NewServer(New(Options{
			Catalog: &catalog.Holder{}, Protocol: noopProtocol{}, Counters: &Counters{}, Logger: zap.NewNop(),
			Clock: realClock(), Draining: func() bool { return false }, ClusterView: func() ClusterView { return ClusterView{} },
		}))
		listener := fasthttputil.NewInmemoryListener()
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn, err := listener.Dial()
		assert.NilError(t, err)
		_, err = conn.Write(sent)
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		for {
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(idleReadTimeout)))
			if _, err := reader.Peek(1); err != nil {
				break
			}
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(responseReadTimeout)))
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, "after %q", sent)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err, "after %q", sent)
			assert.Assert(t, response.StatusCode >= http.StatusBadRequest || response.StatusCode < http.StatusOK)
		}
		assert.NilError(t, conn.Close())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		assert.NilError(t, <-served)
	})
}

const (
	// idleReadTimeout is the time without a further response after which the
	// connection counts as idle.
	idleReadTimeout = 100 * time.Millisecond
	// responseReadTimeout bounds reading the rest of a response.
	responseReadTimeout = 20 * time.Second
)
