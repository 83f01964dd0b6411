package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// TestResponseTellsThatItsConnectionIsClosed guards against the close of a connection above a
// lowered bound behind a response that does not say so: its caller's next request was lost.
func TestResponseTellsThatItsConnectionIsClosed(t *testing.T) {
	const allowed, request = 16, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	server := NewServer(New(Options{
		Protocol: noopProtocol{}, Catalog: &catalog.Holder{}, Logger: zap.NewNop(), Clock: realClock(),
		Draining: func() bool { return false }, IsBehind: func() bool { return false }, Counters: &Counters{},
		ClusterView: func() ClusterView { return ClusterView{} },
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	var callers [allowed + 1]net.Conn
	for i := range callers {
		callers[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer callers[i].Close()
		assert.NilError(t, callers[i].SetDeadline(time.Now().Add(backlogTimeout)))
		_, err = fmt.Fprint(callers[i], request[:1])
		assert.NilError(t, err)
	}
	await(t, "requests", func() bool { return server.conns.byState[connReading].Load() == int64(len(callers)) })
	memory := float64(allowed*receiveMemory) / connectionMemoryShare / callersShare
	server.SetMemoryLimit(int64(memory) + receiveMemory)

	// finish sends the rest of a request, and reports whether the connection is closed behind its response.
	finish := func(caller net.Conn, rest string) bool {
		_, err := fmt.Fprint(caller, rest)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		return response.Close
	}
	assert.Assert(t, finish(callers[0], request[1:]), "the response does not tell that the connection is closed")
	for _, caller := range callers[1:] {
		assert.Assert(t, !finish(caller, request[1:]))
	}
	for _, caller := range callers[1:] {
		assert.Assert(t, !finish(caller, request))
	}
	for _, caller := range callers {
		assert.NilError(t, caller.Close())
	}
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}
