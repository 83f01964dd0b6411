package baseline

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

func TestProxyRoundRobinAndRetry(t *testing.T) {
	first := target.NewService(target.ServiceOptions{})
	second := target.NewService(target.ServiceOptions{})
	assert.NilError(t, first.Start())
	defer first.Close()
	assert.NilError(t, second.Start())
	defer second.Close()
	proxy, err := Start(nil, []string{first.URL(), second.URL()}, 4)
	assert.NilError(t, err)
	defer proxy.Close()
	sendRequest := func() {
		response, err := http.Post(proxy.URL()+"/svc", "", strings.NewReader("x"))
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	sendRequest()
	sendRequest()
	assert.Equal(t, len(first.Runs()), 1)
	assert.Equal(t, len(second.Runs()), 1)

	first.DropResponses(1)
	second.DropResponses(0)
	sendRequest()
	sendRequest()
	assert.Equal(t, len(first.Runs())+len(second.Runs()), 5, "a request whose response is lost must run again at the next target")
}
