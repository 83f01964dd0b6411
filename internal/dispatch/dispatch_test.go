package dispatch

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestARequestThatMayHaveLeftIsNotSentAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()

	_, err = Send(t.Context(), &Request{Address: listener.Addr().String(), ID: "r", Method: "GET", URI: "/"})

	assert.Assert(t, err != nil)
	assert.Assert(t, !IsNotSent(err))
	assert.Equal(t, accepted.Load(), int32(1))
}

func TestARefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())

	_, err = Send(t.Context(), &Request{Address: address, ID: "r", Method: "POST", URI: "/"})

	assert.Assert(t, IsNotSent(err))
	assert.ErrorContains(t, err, "dispatch at "+address)
}

func TestSendKeepsMethodHeaderAndBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Echo", r.Method+" "+r.URL.String()+" "+r.Header.Get("x-one")+" "+r.Header.Get(HeaderRequestID))
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
	}))
	defer server.Close()

	response, err := Send(t.Context(), &Request{
		Address: server.Listener.Addr().String(), ID: "id7", Method: "PATCH", URI: "/a?b=c",
		Header: []Field{{"X-One", "1"}}, Body: []byte("hello"),
	})
	assert.NilError(t, err)
	defer response.Close()

	assert.Equal(t, response.Status, http.StatusTeapot)
	assert.Equal(t, response.Get("X-Echo"), "PATCH /a?b=c 1 id7")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "hello")
}
