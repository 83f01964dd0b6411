package gateway

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// The header holds the API key, so a malformed request must be logged without
// it.
func TestMalformedRequestLogOmitsHeader(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	server := NewServer(New(Options{Catalog: &catalog.Holder{}, Logger: zap.New(core)}))
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	conn, err := listener.Dial()
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET /x HTTP/1.1\r\nAuthorization: Token secret\r\nContent-Length: wrong\r\n\r\n"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, conn.Close())

	assert.Equal(t, logs.Len(), 1)
	for _, field := range logs.All()[0].Context {
		assert.Assert(t, !strings.Contains(field.String, "secret"), field.Key)
		if err, ok := field.Interface.(error); ok {
			assert.Assert(t, !strings.Contains(err.Error(), "secret"), field.Key)
		}
	}
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}

func realClock() clockwork.Clock { return clockwork.NewRealClock() }

// noopProtocol parses no header fields and adds none.
type noopProtocol struct{}

func (noopProtocol) ParseRequest(func(string) string) RequestMetadata { return RequestMetadata{} }
func (noopProtocol) IsForwarded(string) bool                          { return true }
func (noopProtocol) DispatchFields(DispatchMetadata) []dispatch.Field { return nil }
func (noopProtocol) ParseResponse(http.Header) ResponseMetadata       { return ResponseMetadata{} }
