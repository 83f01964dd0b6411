package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestRequestsAreReceivedAfterTheMemoryWasLowered guards against connections above a lowered bound
// that leave no memory for requests.
func TestRequestsAreReceivedAfterTheMemoryWasLowered(t *testing.T) {
	const before, after, connections, size = 19 << 20, 4 << 20, 100, 10 << 10
	bound := newCallers(&Counters{}, zap.NewNop())
	bound.setMemory(before)
	minute := fixedTimeout(time.Minute)
	open := func() (caller net.Conn, conn *callerConn) {
		caller, conn = acceptCaller(t, minute, minute)
		conn.callers = bound
		assert.Assert(t, bound.add(conn))
		return caller, conn
	}
	receive := func(caller net.Conn, conn *callerConn) {
		header := fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", size)
		go func() { _, _ = caller.Write(append([]byte(header), make([]byte, size)...)) }()
		_, err := io.ReadFull(conn, make([]byte, len(header)))
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		_, err = io.ReadFull(conn, make([]byte, size))
		assert.NilError(t, err)
	}
	for range connections {
		open()
	}
	caller, served := open()
	receive(caller, served)
	served.WatchClose(func() {})
	defer served.StopWatch()
	caller, next := open()
	bound.setMemory(after)
	receive(caller, next)
	assert.Assert(t, len(bound.conns) <= bound.connectionBound(), "%d connections, %d allowed", len(bound.conns), bound.connectionBound())
	_, kept := bound.conns[served]
	assert.Assert(t, kept, "the connection of a request that is served was closed")
}

// TestConnectionsAboveALoweredBoundAreClosedOnceAnswered lowers the bound while all connections
// serve, whose responses have begun.
func TestConnectionsAboveALoweredBoundAreClosedOnceAnswered(t *testing.T) {
	const before, allowed, connections = 19 << 20, 16, 20
	bound := newCallers(&Counters{}, zap.NewNop())
	bound.setMemory(before)
	minute := fixedTimeout(time.Minute)
	var conns []*callerConn
	for range connections {
		_, conn := acceptCaller(t, minute, minute)
		assert.Assert(t, bound.add(conn))
		bound.serve(conn)
		conns = append(conns, conn)
	}
	memory := float64(allowed*receiveMemory) / connectionMemoryShare / callersShare
	bound.setMemory(int64(memory) + receiveMemory)
	assert.Equal(t, len(bound.conns), connections)
	for i, conn := range conns {
		bound.finish(conn)
		_, kept := bound.conns[conn]
		assert.Equal(t, kept, i >= connections-allowed)
		assert.Equal(t, len(bound.conns), max(allowed, connections-i-1))
	}
}
