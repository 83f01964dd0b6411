package gateway

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The system held some 4 MB of responses for each caller that did not read, which nothing counted.
func TestSystemHoldsLittleForACallerThatDoesNotRead(t *testing.T) {
	const piece, settle, atMost = 16 << 10, 50 * time.Millisecond, 256 << 10
	c := newBacklogCase(t, "")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	NewServer(c.Gateway).limitUnread(l)
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	minute := fixedTimeout(time.Minute)
	conn, err := (&listener{Listener: l, timeouts: timeouts{idle: minute, header: minute}, counts: &connCounts{}, gateway: c.Gateway}).Accept()
	assert.NilError(t, err)
	defer conn.Close()
	raw := conn.(*callerConn).backlog.raw
	// The system goes on to move what it holds to the caller's end, so that more may fit in later.
	for last := time.Now(); time.Since(last) < settle; {
		n, err := writeAtOnce(raw, make([]byte, piece))
		assert.NilError(t, err)
		if n > 0 {
			last = time.Now()
		}
	}
	held := unacknowledged(raw)
	assert.Assert(t, held > 0 && held <= atMost, "%d bytes", held)
}
