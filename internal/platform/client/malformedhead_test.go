package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A response with an invalid line in its head must not be taken for the outcome of a request.
func TestResponseWithAMalformedHeadIsAnError(t *testing.T) {
	taken, cases := 0, 0
	for line, valid := range map[string]bool{
		"X-A: b": true, "X-A : b": false, "X A: b": false, " X-A: b": false, "X-A: b\r\n c": false, "Content-Length : 2": false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
				}
				_ = conn.Close()
			}
		}()
		c := New("http://"+listener.Addr().String(), callTimeout)
		for range 2 {
			err := c.PutObject(t.Context(), "a", nil)
			if valid {
				assert.NilError(t, err, "%q", line)
				continue
			}
			cases++
			if err == nil {
				taken++
			}
		}
		c.Close()
		assert.NilError(t, listener.Close())
	}
	t.Logf("%d of %d malformed responses taken", taken, cases)
	assert.Equal(t, taken, 0)
}
