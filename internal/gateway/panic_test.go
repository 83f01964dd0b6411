package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
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
