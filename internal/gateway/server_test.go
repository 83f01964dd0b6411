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

// A body that was within the limit took as much as the instance's memory, or more: its buffer is
// rounded up, and the only request is always received.
func TestLongestBodyLeavesMemoryForOthers(t *testing.T) {
	const mib = 1 << 20
	for _, test := range []struct{ memory, configured, want int }{
		{16 * mib, 0, 8 * mib},
		{66 * mib, 0, 16 * mib},
		{134 * mib, 100 * mib, 64 * mib},
		{134 * mib, 1 << 40, 64 * mib},
		{134 * mib, 10_000_000, 10_000_000},
		{0, 100 * mib, 100 * mib},
		{1, 100, 1},
	} {
		holder := &catalog.Holder{}
		if test.configured > 0 {
			config, err := catalog.New(1, catalog.Contents{Limits: &catalog.Limits{MaxBodyBytes: test.configured}})
			assert.NilError(t, err)
			holder.Adopt(config)
		}
		server := NewServer(New(Options{Catalog: holder, Counters: &Counters{}, Logger: zap.NewNop(), Clock: realClock()}))
		server.SetMemoryLimit(int64(test.memory))
		assert.Check(t, server.longestBody() == test.want, "%d: %+v", server.longestBody(), test)
	}
}
