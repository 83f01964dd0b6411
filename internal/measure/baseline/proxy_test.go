package baseline

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

func TestTakesTargetsInTurnAndTriesTheNext(t *testing.T) {
	first := target.NewService(target.ServiceOptions{})
	second := target.NewService(target.ServiceOptions{})
	assert.NilError(t, first.Start())
	defer first.Close()
	assert.NilError(t, second.Start())
	defer second.Close()
	proxy, err := Start(nil, []string{first.URL(), second.URL()}, 4)
	assert.NilError(t, err)
	defer proxy.Close()
	send := func() {
		response, err := http.Post(proxy.URL()+"/svc", "", strings.NewReader("x"))
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	send()
	send()
	assert.Equal(t, len(first.Runs()), 1)
	assert.Equal(t, len(second.Runs()), 1)

	first.DropResponses(1)
	second.DropResponses(0)
	send()
	send()
	assert.Equal(t, len(first.Runs())+len(second.Runs()), 5, "a lost answer is run again")
}
