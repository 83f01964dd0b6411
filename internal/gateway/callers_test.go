package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestResponseBeingWrittenIsNotCutForOthers guards against the close of a connection whose caller
// has not received its whole response, because others lack memory or connections.
func TestResponseBeingWrittenIsNotCutForOthers(t *testing.T) {
	const size = 3 * maxStreamBacklog / 4
	for _, tc := range []struct {
		name string
		// compete asks for what the connection holds, and reports whether it has got it.
		compete func(bound *callers, other *callerConn) bool
	}{
		{"memory", func(bound *callers, other *callerConn) bool {
			return bound.reserve(other, maxReceiveMemory, 2*recheckInterval) == nil
		}},
		{"connections", func(bound *callers, other *callerConn) bool { return bound.add(other) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newBacklogCase(t, "")
			bound := newCallers(&Counters{}, zap.NewNop())
			bound.maxConns = 1
			bound.memory = receiveMemory + maxReceiveMemory
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(testBufferBytes))
			minute := fixedTimeout(time.Minute)
			conn, err := (&listener{
				Listener: smallBufferListener{l}, timeouts: timeouts{idle: minute, header: minute}, counts: &connCounts{}, gateway: c.Gateway, callers: bound,
			}).Accept()
			assert.NilError(t, err)
			answered := conn.(*callerConn)
			_, err = bound.reserveFor(answered, 0, maxReceiveMemory, 0, false)
			assert.NilError(t, err)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			answered.backlog.beginStream(ctx, cancel)
			_, err = answered.Write(make([]byte, size))
			assert.NilError(t, err)
			assert.Assert(t, answered.backlog.isDraining())
			idle := make(chan struct{})
			go func() {
				defer close(idle)
				_, _ = answered.Read(make([]byte, 1))
				_ = answered.Close()
			}()
			await(t, "end of the request", func() bool {
				bound.mu.Lock()
				defer bound.mu.Unlock()
				return !answered.charge.progressAt.IsZero() && answered.reading.Load()
			})
			time.Sleep(stallTime)

			_, other := acceptCaller(t, minute, minute)
			assert.Assert(t, !tc.compete(bound, other), "the connection gave way with its response")
			received := make([]byte, size)
			_ = caller.SetReadDeadline(time.Now().Add(backlogTimeout))
			_, err = io.ReadFull(caller, received)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(received, make([]byte, size)))
			await(t, "connection that gives way", func() bool { return tc.compete(bound, other) })
			_ = caller.Close()
			<-idle
		})
	}
}
