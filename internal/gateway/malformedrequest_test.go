package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// receivedRequests sends bytes on a caller's connection and returns the requests that are handled,
// with their forwarded fields and bodies, and the statuses of the responses. It waits for the
// expected number of responses, and then whether there are more.
func receivedRequests(t *testing.T, sent string, partSize, expected int) (handled []*Request, statuses []int) {
	t.Helper()
	server := NewServer(New(Options{Catalog: &catalog.Holder{}, Protocol: noopProtocol{}, Counters: &Counters{}, Logger: zap.NewNop(), Clock: realClock()}))
	var mu sync.Mutex
	server.server.Handler = func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		request := server.readRequest(ctx)
		request.Body = append([]byte(nil), request.Body...)
		handled = append(handled, request)
		conn := ctx.Conn().(*callerConn)
		conn.WatchClose(func() {})
		conn.StopWatch()
	}
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := listener.Dial()
	assert.NilError(t, err)
	go func() {
		for at := 0; at < len(sent); at += partSize {
			if _, err := conn.Write([]byte(sent[at:min(at+partSize, len(sent))])); err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		wait := 50 * time.Millisecond
		if len(statuses) < expected {
			wait = 10 * time.Second
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		statuses = append(statuses, response.StatusCode)
	}
	assert.NilError(t, conn.Close())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ctx)
	assert.NilError(t, <-served)
	mu.Lock()
	defer mu.Unlock()
	return handled, statuses
}

// requestsWithLine returns requests with the line at different places.
func requestsWithLine(line string) map[string]string {
	line += "\r\n"
	const head = "POST /x HTTP/1.1\r\n"
	return map[string]string{
		"first":             head + line + "Host: a\r\nContent-Length: 4\r\n\r\nbody",
		"before the length": head + "Host: a\r\n" + line + "Content-Length: 4\r\n\r\nbody",
		"last":              head + "Host: a\r\nContent-Length: 4\r\n" + line + "\r\nbody",
		"without a body":    "GET /x HTTP/1.1\r\nHost: a\r\n" + line + "\r\n",
		"chunked":           head + "Host: a\r\nTransfer-Encoding: chunked\r\n" + line + "\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer":           head + "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n",
		"second request":    "GET /w HTTP/1.1\r\nHost: a\r\n\r\n" + head + "Host: a\r\n" + line + "Content-Length: 4\r\n\r\nbody",
	}
}

// A request whose head may be read differently by others is refused, and its connection closed.
func TestRequestWithAMalformedHeadIsRefused(t *testing.T) {
	failed, cases := 0, 0
	for _, line := range append([]string{"Content-Length : 2\r\nX-B: c", "Host : b", " Host: b", ": b", "no colon", "X(A): b", "X-A\t: b"}, malformedLines...) {
		for place, sent := range requestsWithLine(line) {
			for _, partSize := range []int{len(sent), 7} {
				cases++
				before := 0
				if place == "second request" {
					before = 1
				}
				handled, statuses := receivedRequests(t, sent, partSize, before+1)
				if place == "trailer" && len(handled) == 1 && len(handled[0].Header) == 1 && string(handled[0].Body) == "body" {
					// Trailers are dropped here.
					continue
				}
				if len(handled) != before || len(statuses) != before+1 || statuses[before] != http.StatusBadRequest {
					failed++
					fields := ""
					for _, request := range handled {
						fields += fmt.Sprintf("%q %q; ", request.Header, request.Body)
					}
					t.Errorf("%q, %s, parts of %d: statuses %v, handled %s", line, place, partSize, statuses, fields)
				}
			}
		}
	}
	t.Logf("%d of %d cases failed", failed, cases)
}

// Requests with proper heads, however rare, must not be refused.
func TestRequestWithARareHeadIsHandled(t *testing.T) {
	for _, line := range []string{
		"X-A:b", "X-A: ", "X-A:", "X-A:\t b \t", "x-!#$%&'*+.^_`|~09: b", "X-A: b: c : d", "X-A: \"q, r\"", "X-A: \xe9", "X-A: b\r\nX-A: c",
	} {
		for place, sent := range requestsWithLine(line) {
			for _, partSize := range []int{len(sent), 7} {
				want := 1
				if place == "second request" {
					want = 2
				}
				handled, statuses := receivedRequests(t, sent, partSize, want)
				assert.Assert(t, len(handled) == want && len(statuses) == want, "%q, %s, parts of %d: %d, %v", line, place, partSize, len(handled), statuses)
				if place != "without a body" {
					assert.Equal(t, string(handled[want-1].Body), "body", "%q, %s", line, place)
				}
			}
		}
	}
}

// Others may take the body of such a request for one that is not chunked (RFC 9112, section 6.1).
func TestRequestInHTTP10WithTransferEncodingIsRefused(t *testing.T) {
	const rest = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for head, want := range map[string]int{"POST /x HTTP/1.0\r\n": 0, "POST /HTTP/1.1 HTTP/1.0\r\n": 0, "POST /x HTTP/1.1\r\n": 1} {
		for _, partSize := range []int{len(head + rest), 7} {
			handled, statuses := receivedRequests(t, head+rest, partSize, 1)
			assert.Check(t, len(handled) == want && len(statuses) == 1, "%q, parts of %d: %d, %v", head, partSize, len(handled), statuses)
			if want == 0 {
				assert.Check(t, len(statuses) == 1 && statuses[0] == http.StatusBadRequest, "%q, parts of %d: %v", head, partSize, statuses)
			}
		}
	}
}
