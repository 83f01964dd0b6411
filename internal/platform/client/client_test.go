package client

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	standin "github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
)

const callTimeout = 10 * time.Second

// startServer starts a stand-in platform and returns it with a client.
func startServer(t *testing.T) (*standin.Server, *Client) {
	t.Helper()
	server, err := standin.New(standin.Options{})
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	t.Cleanup(server.Close)
	c := New(server.URL(), callTimeout)
	t.Cleanup(c.Close)
	return server, c
}

func TestTableOperationsAndConflicts(t *testing.T) {
	_, c := startServer(t)
	escapedKey := platform.Key{Table: "a/b", ID: "x/../y?z=%2F#é"}

	_, err := c.Get(t.Context(), escapedKey)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.NilError(t, c.Commit(t.Context(), []platform.Write{{Key: escapedKey, Value: []byte("1")}}))
	row, err := c.Get(t.Context(), escapedKey)
	assert.NilError(t, err)
	assert.DeepEqual(t, row, platform.Row{Key: escapedKey, Version: 1, Value: []byte("1")})
	rows, err := c.Scan(t.Context(), "a/b", "x/", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []platform.Row{row})

	err = c.Commit(t.Context(), []platform.Write{{Key: escapedKey, Value: []byte("2")}})
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Rows, []platform.Row{row})
}

func TestObjectOperations(t *testing.T) {
	_, c := startServer(t)
	value := []byte{0, 1, 2, 255}

	_, err := c.GetObject(t.Context(), "p/q")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.NilError(t, c.PutObject(t.Context(), "p/q", value))
	got, err := c.GetObject(t.Context(), "p/q")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, value)
	assert.NilError(t, c.DeleteObject(t.Context(), "p/q"))
	assert.NilError(t, c.DeleteObject(t.Context(), "p/q"))
}

func TestUnavailablePlatformWritesNothing(t *testing.T) {
	server, c := startServer(t)
	server.SetDown(true)

	err := c.Commit(t.Context(), []platform.Write{{Key: platform.Key{Table: "t", ID: "a"}}})

	assert.ErrorIs(t, err, platform.ErrUnavailable)
	writes, _ := server.Memory().Counts()
	assert.Equal(t, writes, 0)
}

func TestLostResponseIsUnknownAndNotRetried(t *testing.T) {
	server, c := startServer(t)
	key := platform.Key{Table: "t", ID: "a"}
	assert.NilError(t, c.Commit(t.Context(), []platform.Write{{Key: key}}))
	server.DropResponses(1)

	err := c.Commit(t.Context(), []platform.Write{{Key: key, ExpectedVersion: platform.AnyVersion}})

	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	row, err := server.Memory().Get(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, row.Version, platform.Version(2))
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server, c := startServer(t)
	server.Close()

	err := c.PutObject(t.Context(), "a", nil)

	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, platform.ErrOutcomeUnknown))
}

// closingServer reads one request on each connection and closes it without
// responding; it counts these requests. On the first connection it can
// respond to an earlier request.
type closingServer struct {
	listener     net.Listener
	requestCount atomic.Int64
	background   conc.WaitGroup
}

func (s *closingServer) serve(answerFirst bool) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if answerFirst {
			_, _ = http.ReadRequest(reader)
			_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
			answerFirst = false
		}
		if _, err := http.ReadRequest(reader); err == nil {
			s.requestCount.Add(1)
		}
		_ = conn.Close()
	}
}

// A server that closes the connection after reading a request must receive
// that request once, also on a reused connection, where the HTTP library
// would retry by default.
func TestRequestsAreNeverRetried(t *testing.T) {
	operations := map[string]func(c *Client) error{
		"get":    func(c *Client) error { _, err := c.GetObject(t.Context(), "a"); return err },
		"put":    func(c *Client) error { return c.PutObject(t.Context(), "a", []byte("v")) },
		"delete": func(c *Client) error { return c.DeleteObject(t.Context(), "a") },
		"commit": func(c *Client) error { return c.Commit(t.Context(), nil) },
	}
	for name, operation := range operations {
		for _, reused := range []bool{false, true} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := &closingServer{listener: listener}
			server.background.Go(func() { server.serve(reused) })
			c := New("http://"+listener.Addr().String(), callTimeout)
			if reused {
				assert.NilError(t, c.PutObject(t.Context(), "warm", nil), name)
			}

			err = operation(c)

			assert.Assert(t, err != nil, name)
			if name != "get" {
				assert.ErrorIs(t, err, platform.ErrOutcomeUnknown, name)
			}
			c.Close()
			assert.NilError(t, listener.Close())
			server.background.Wait()
			assert.Equal(t, server.requestCount.Load(), int64(1), "%s, reused connection %v: requests received", name, reused)
		}
	}
}
