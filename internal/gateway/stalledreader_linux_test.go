package gateway

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Callers that did not read their responses kept all connections from others for 10 s.
func TestStalledReaderGivesWayToANewConnection(t *testing.T) {
	const responseBytes = 16 << 20
	c := newBacklogCase(t, "")
	bound := newCallers(&Counters{}, zap.NewNop())
	bound.maxConns = 1
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	minute := fixedTimeout(time.Minute)
	accepted, err := (&listener{
		Listener: l, timeouts: timeouts{idle: minute, header: minute}, counts: &connCounts{}, gateway: c.Gateway, callers: bound,
	}).Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	conn := accepted.(*callerConn)
	bound.serve(conn)
	written := make(chan error, 1)
	go func() {
		conn.backlog.beginWhole(responseBytes, nil)
		_, err := conn.Write(make([]byte, responseBytes))
		written <- err
	}()
	await(t, "write that waits", func() bool { return conn.backlog.acceptedAt.Load() != 0 })
	_, other := acceptCaller(t, minute, minute)
	add := func() bool { return bound.add(other) }
	assert.Assert(t, !add(), "the connection gave way at once")
	startedAt := time.Now()
	await(t, "place for another connection", add)
	assert.Assert(t, time.Since(startedAt) < callerStallTime)
	assert.Assert(t, <-written != nil)
	assert.Equal(t, c.Pool.HeldBytes(), int64(0))
}
