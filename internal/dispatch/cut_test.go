package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// startCutServer returns the address of a server that sends the beginning of the response to
// each request, one byte more each time, and closes the connection.
func startCutServer(t *testing.T, response string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for sent := 0; ; sent++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, response[:min(sent, len(response))])
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Report of another operator: a target stopped in the middle of a response's head and
// closed, and callers got a success with an empty or short body, framed as whole.
func TestResponseThatBreaksOffAnywhereIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": expected\r\nContent-Type: text/plain\r\n"
	for name, response := range map[string]string{
		"with a length":           head + "Content-Length: 5\r\n\r\nwhole",
		"in chunks":               head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"in chunks, with trailer": head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nwhole\r\n0\r\nX-T: t\r\n\r\n",
	} {
		p := NewPool(clockwork.NewRealClock())
		address := startCutServer(t, response)
		for sent := range len(response) {
			body, err := sendAndRead(p, newPooledRequest(address))
			assert.Assert(t, err != nil, "%s: whole after %q with body %q", name, response[:sent], body)
		}
		body, err := sendAndRead(p, newPooledRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	}
	// Without a framing the body ends with the connection, but the head must be whole.
	p := NewPool(clockwork.NewRealClock())
	address := startCutServer(t, head+"\r\n")
	for sent := range len(head) + 2 {
		_, err := sendAndRead(p, newPooledRequest(address))
		assert.Assert(t, err != nil, "a head after %d bytes", sent)
	}
}
