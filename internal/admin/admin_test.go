package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/configuration"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// fakeApplier returns a preset error and counts its calls.
type fakeApplier struct {
	err   error
	calls int
}

func (a *fakeApplier) Apply(_ context.Context, base uint64, _ tables.Tables) (uint64, error) {
	a.calls++
	return base + 1, a.err
}

// fakeStatus returns a fixed value for each status request.
type fakeStatus struct{}

func (fakeStatus) Config() any    { return "config" }
func (fakeStatus) Moves() any     { return "moves" }
func (fakeStatus) Targets() any   { return "targets" }
func (fakeStatus) Instances() any { return "instances" }

const token = "a token of sixteen bytes"

// startServer serves the API on loopback and returns its URL.
func startServer(t *testing.T, a *fakeApplier) string {
	t.Helper()
	server := New(Options{Token: []byte(token), Applier: a, Status: fakeStatus{}, CheckReady: func() error { return nil }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var background conc.WaitGroup
	background.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		assert.NilError(t, server.Shutdown(context.Background()))
		background.Wait()
	})
	return "http://" + listener.Addr().String()
}

func sendRequest(t *testing.T, method, url, bearer, ifMatch, body string) (int, ApplyResponse) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var applied ApplyResponse
	_ = json.NewDecoder(response.Body).Decode(&applied)
	return response.StatusCode, applied
}

const validTables = `{"routes": {"name": "r", "text": "{\"routes\": []}"}, "pools": {"name": "p", "text": "{\"pools\": []}"}}`

// Requests without the exact token must neither read status nor reach the
// applier.
func TestRequestsWithoutTheTokenAreRejected(t *testing.T) {
	a := &fakeApplier{}
	url := startServer(t, a)
	for _, bearer := range []string{"", "wrong", token + "x", token[:len(token)-1]} {
		for _, path := range []string{"config", "moves", "targets", "instances"} {
			status, _ := sendRequest(t, http.MethodGet, url+"/admin/v1/"+path, bearer, "", "")
			assert.Equal(t, status, http.StatusUnauthorized)
		}
		status, _ := sendRequest(t, http.MethodGet, url+"/debug/vars", bearer, "", "")
		assert.Equal(t, status, http.StatusUnauthorized)
		status, _ = sendRequest(t, http.MethodPut, url+"/admin/v1/tables", bearer, "0", validTables)
		assert.Equal(t, status, http.StatusUnauthorized)
	}
	assert.Equal(t, a.calls, 0)
	status, _ := sendRequest(t, http.MethodGet, url+"/admin/v1/config", token, "", "")
	assert.Equal(t, status, http.StatusOK)
}

func TestApplyOutcomes(t *testing.T) {
	invalidTables := strings.Replace(validTables, `\"routes\": []`, `\"routs\": []`, 1)
	cases := map[string]struct {
		err     error
		body    string
		ifMatch string
		status  int
		outcome Outcome
		calls   int
	}{
		"accepted":           {nil, validTables, "4", 200, OutcomeAccepted, 1},
		"invalid tables":     {nil, invalidTables, "4", 422, OutcomeInvalid, 0},
		"no If-Match header": {nil, validTables, "", 428, OutcomeInvalid, 0},
		"conflict":           {&configuration.ConflictError{Base: 4, Current: 7}, validTables, "4", 412, OutcomeConflict, 1},
		"unavailable":        {errors.Mark(errors.New("down"), configuration.ErrUnavailable), validTables, "4", 503, OutcomeUnavailable, 1},
		"outcome unknown":    {errors.Mark(errors.New("lost"), configuration.ErrOutcomeUnknown), validTables, "4", 504, OutcomeUnknown, 1},
		"unclassified error": {errors.New("other"), validTables, "4", 500, OutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &fakeApplier{err: c.err}
			status, response := sendRequest(t, http.MethodPut, startServer(t, a)+"/admin/v1/tables", token, c.ifMatch, c.body)
			assert.Equal(t, status, c.status)
			assert.Equal(t, response.Outcome, c.outcome)
			assert.Equal(t, a.calls, c.calls)
		})
	}
}
