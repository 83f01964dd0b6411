package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// stoppingPlacer grants a place at the moment at which the requests in flight are
// cancelled, as the end of one of them does.
type stoppingPlacer struct {
	sequentialPlacer
	stop func()
}

func (p *stoppingPlacer) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	p.stop()
	return p.sequentialPlacer.Acquire(ctx, r)
}

// A place that a cancelled request left at the end of a shutdown went to one that waited
// and had not been cancelled yet: it was sent, cancelled as well, and failed as one that
// may have run.
func TestWaitingRequestIsNotPlacedAtTheEndOfAShutdown(t *testing.T) {
	clock := realClock()
	placer := &stoppingPlacer{sequentialPlacer: sequentialPlacer{targets: []*catalog.Target{{ID: "one"}}}}
	r := &inflightRequest{
		Gateway: New(Options{
			Clock: clock, Rollouts: rollout.New(clock), Placer: placer, Catalog: &catalog.Holder{}, Counters: &Counters{}, Logger: zap.NewNop(),
			Quarantine: quarantine.New(quarantine.Options{Clock: clock}),
		}),
		request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{}, service: &catalog.Service{}, deadline: clock.Now().Add(time.Minute),
	}
	server := NewServer(r.Gateway)
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	// An open connection keeps the shutdown from ending.
	conn, err := listener.Dial()
	assert.NilError(t, err)
	awaitConnections(t, server, 1)
	placer.stop = func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Check(t, server.Shutdown(ended) != nil)
	}
	_, err = r.place(context.Background())
	assert.Assert(t, err != nil, "the request was placed")
	assert.Equal(t, r.placementFailed(context.Background(), err).Status, http.StatusServiceUnavailable)
	assert.DeepEqual(t, placer.results(), []schedule.Result{schedule.Cancelled})
	assert.NilError(t, <-served)
	assert.NilError(t, conn.Close())
	awaitConnections(t, server, 0)
}

// One connection too few was counted once a shutdown had run out of time, so that it did
// not wait for the last response.
func TestOpenConnectionsAreCountedAfterAShutdownThatTimesOut(t *testing.T) {
	server := NewServer(New(Options{Catalog: &catalog.Holder{}, Logger: zap.NewNop()}))
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := listener.Dial()
	assert.NilError(t, err)
	awaitConnections(t, server, 1)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, server.Shutdown(ended) != nil)
	assert.NilError(t, <-served)
	assert.Equal(t, server.OpenConnections(), 1)
	assert.NilError(t, conn.Close())
	awaitConnections(t, server, 0)
}

func awaitConnections(t *testing.T, server *Server, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := server.OpenConnections(); open != want {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	})
}

// The log did not tell whether a request that was cut at the end of a shutdown came in after
// the signal to stop, nor on which kind of connection.
func TestLogTellsWhenRequestsCameInDuringAShutdown(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewFakeClock()
	server := NewServer(New(Options{
		Catalog: &catalog.Holder{}, Logger: zap.New(core), Clock: clock, Counters: &Counters{}, Protocol: noopProtocol{},
		Draining: func() bool { return false }, ClusterView: func() ClusterView { return ClusterView{} },
	}))
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := listener.Dial()
	assert.NilError(t, err)
	unused, err := listener.Dial()
	assert.NilError(t, err)
	awaitConnections(t, server, 2)
	reader := bufio.NewReader(conn)
	send := func() {
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	send()
	server.BeginShutdown(clock.Now().Add(time.Second), clock.Now().Add(time.Minute))
	clock.Advance(2 * time.Second)
	send()
	assert.Equal(t, logs.Len(), 2)
	_, stopping := logs.All()[0].ContextMap()["received_after_signal_ms"]
	assert.Assert(t, !stopping)
	fields := logs.All()[1].ContextMap()
	assert.Equal(t, fields["received_after_signal_ms"], int64(2000))
	assert.Equal(t, fields["connection_request"], int64(2))
	counted := zapcore.NewMapObjectEncoder()
	for _, field := range server.ConnectionFields() {
		field.AddTo(counted)
	}
	assert.Equal(t, counted.Fields["connections"], int64(2))
	assert.Equal(t, counted.Fields["unused"], int64(1))
	assert.Equal(t, counted.Fields["received_while_stopping"], uint64(1))
	assert.NilError(t, conn.Close())
	assert.NilError(t, unused.Close())
	awaitConnections(t, server, 0)
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}
