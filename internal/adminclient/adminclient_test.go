package adminclient

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// An instance in trouble may send without end. The command must fail with little
// memory, and not at its timeout.
func TestResponseWithoutEndIsNotRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := bytes.Repeat([]byte(" "), 1<<20); ; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client, err := New(server.URL, "token")
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	_, _, err = client.do(request)
	assert.ErrorContains(t, err, "response of more than")
}
