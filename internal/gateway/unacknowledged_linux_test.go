package gateway

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestUnacknowledgedResponseKeepsItsConnectionForAWhile guards against the close of a connection for
// others while the system holds a part of its response, and against callers that do not read and
// hold a connection by that.
func TestUnacknowledgedResponseKeepsItsConnectionForAWhile(t *testing.T) {
	const piece, settle = 4 << 10, 50 * time.Millisecond
	c := newBacklogCase(t, "")
	bound := newCallers(&Counters{}, zap.NewNop())
	bound.maxConns = 1
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(testBufferBytes))
	minute := fixedTimeout(time.Minute)
	accepted, err := (&listener{
		Listener: smallBufferListener{l}, timeouts: timeouts{idle: minute, header: minute}, counts: &connCounts{}, gateway: c.Gateway, callers: bound,
	}).Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	answered := accepted.(*callerConn)
	for last := time.Now(); time.Since(last) < settle; {
		n, err := writeAtOnce(answered.backlog.raw, make([]byte, piece))
		assert.NilError(t, err)
		if n > 0 {
			last = time.Now()
		}
	}
	assert.Assert(t, !answered.backlog.isDraining() && unacknowledged(answered.backlog.raw) > 0)
	// give reports whether the connection gives way to another, its request having ended some time ago.
	give := func(ended time.Duration) bool {
		bound.mu.Lock()
		answered.charge.progressAt = time.Now().Add(-ended)
		bound.mu.Unlock()
		_, other := acceptCaller(t, minute, minute)
		return bound.add(other)
	}
	assert.Assert(t, !give(2*stallTime), "the connection gave way with its response")
	assert.Assert(t, unacknowledged(answered.backlog.raw) > 0)
	assert.Assert(t, give(callerStallTime), "a connection whose caller does not read does not give way")
}
