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

// TestCompleteRequestKeepsItsConnection guards against the close of a connection for a new one
// between the last byte of a request that came in slowly and its handling: it ran without an answer.
func TestCompleteRequestKeepsItsConnection(t *testing.T) {
	const size = 100
	for _, tc := range []struct{ name, header, rest string }{
		{"header", "GET / HTTP/1.1\r\n", "\r\n"},
		{"body", fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", size), string(make([]byte, size))},
		{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bound := newCallers(&Counters{}, zap.NewNop())
			bound.maxConns = 1
			minute := fixedTimeout(time.Minute)
			open := func() (net.Conn, *callerConn) {
				caller, conn := acceptCaller(t, minute, minute)
				conn.callers = bound
				return caller, conn
			}
			caller, conn := open()
			assert.Assert(t, bound.add(conn))
			receive := func(data string) {
				_, err := caller.Write([]byte(data))
				assert.NilError(t, err)
				_, err = io.ReadFull(conn, make([]byte, len(data)))
				assert.NilError(t, err)
			}
			receive(tc.header)
			if tc.name != "header" {
				_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
			}
			bound.mu.Lock()
			conn.charge.progressAt = time.Now().Add(-stallTime)
			bound.mu.Unlock()
			receive(tc.rest)
			_, other := open()
			assert.Assert(t, !bound.add(other), "the connection of a complete request was closed")
		})
	}
}
