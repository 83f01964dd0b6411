package target

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startFastEngine starts an engine whose prefill and decoding take almost no
// time.
func startFastEngine(t *testing.T, modify func(*EngineOptions)) *Engine {
	t.Helper()
	options := EngineOptions{Name: "e1", DecodeTimePerToken: time.Millisecond, PrefillTokensPerSecond: 1e9, Seed: 1}
	if modify != nil {
		modify(&options)
	}
	e := NewEngine(options)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func sendRequest(t *testing.T, method, url, id, body string) (status int, text string, header http.Header, err error) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	// Without GetBody, net/http does not retry a request with an Idempotency-Key
	// by itself.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Idempotency-Key", "key-"+id)
	request.Header.Set("Hibiscus-Account", "acme")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, string(responseBody), response.Header, err
}

func completionRequestJSON(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

// parseStream returns the text of a stream and whether it has an end marker.
func parseStream(t *testing.T, body string) (text string, ended bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			ended = true
		default:
			var c completionBody
			assert.NilError(t, json.Unmarshal([]byte(data), &c))
			text += c.Choices[0].Text
		}
	}
	return text, ended
}

func TestCompletedRequestIsRecorded(t *testing.T) {
	e := startFastEngine(t, nil)

	status, text, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r1", completionRequestJSON("hello you", 3, false))

	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	var c completionBody
	assert.NilError(t, json.Unmarshal([]byte(text), &c))
	assert.Equal(t, c.Choices[0].Text, ExpectedText("hello you", 3))
	run := e.Runs()[0]
	assert.Equal(t, run.Status, StatusComplete)
	assert.Equal(t, run.OutputTokens, 3)
	assert.Equal(t, run.PromptTokens, 3)
	assert.Equal(t, e.RunCountsByKey()[AccountKey{"acme", "key-r1"}], 1)
	status, _, _, err = sendRequest(t, "POST", e.URL()+"/v1/completions", "r1", completionRequestJSON("hello you", 3, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, len(e.Runs()), 1)
}

func TestAbortedStreamCanBeResumed(t *testing.T) {
	e := startFastEngine(t, nil)
	e.AbortStreams(2, 1)

	_, events, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r1", completionRequestJSON("p", 5, true))
	assert.Assert(t, err != nil)
	firstPart, ended := parseStream(t, events)
	assert.Assert(t, !ended)
	_, events, _, err = sendRequest(t, "GET", e.URL()+"/v1/streams/r1?after=2", "", "")

	assert.NilError(t, err)
	secondPart, ended := parseStream(t, events)
	assert.Assert(t, ended)
	assert.Equal(t, firstPart+secondPart, ExpectedText("p", 5))
}

func TestEngineServesAgainAfterCrashAndRestart(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.CrashMarker = "poison" })

	_, _, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r1", completionRequestJSON("poison", 5, false))
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Listening() {
			return poll.Continue("the engine is still listening")
		}
		return poll.Success()
	})
	_, _, _, err = sendRequest(t, "GET", e.URL()+"/load", "", "")
	assert.ErrorContains(t, err, "refused")
	assert.Equal(t, e.Runs()[0].Status, StatusCrashed)

	assert.NilError(t, e.Restart())
	status, _, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r2", completionRequestJSON("fine", 5, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

func TestCancelRunningRequest(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.DecodeTimePerToken = time.Hour })
	response, err := http.Post(e.URL()+"/v1/completions", "", strings.NewReader(completionRequestJSON("p", 5, true)))
	assert.NilError(t, err)
	defer response.Body.Close()

	status, _, _, err := sendRequest(t, "DELETE", e.URL()+"/v1/streams/unnamed-1", "", "")

	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "reading the stream of a cancelled run succeeded, want an error")
	assert.Equal(t, e.Runs()[0].Status, StatusCancelled)
	assert.Equal(t, e.RunningCount(), 0)
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.MaxConcurrentRequests, o.DecodeTimePerToken = 1, time.Hour })
	response, err := http.Post(e.URL()+"/v1/completions", "", strings.NewReader(completionRequestJSON("p", 5, true)))
	assert.NilError(t, err)
	defer response.Body.Close()

	status, _, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r2", completionRequestJSON("p", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusTooManyRequests)
	e.SetLeaving(true)
	status, _, header, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r3", completionRequestJSON("p", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("X-Leaving"), "true")
	assert.Equal(t, len(e.Runs()), 1)
	assert.Equal(t, len(e.Refusals()), 2)
}

func TestVersionFaults(t *testing.T) {
	cases := map[string]struct {
		fault          VersionFault
		failedRequests []int // requests, from 1, that fail out of three
	}{
		"always":         {VersionFault{FailureRatio: 1}, []int{1, 2, 3}},
		"after requests": {VersionFault{FailureRatio: 1, AfterRequests: 2}, []int{3}},
		"other path":     {VersionFault{FailureRatio: 1, Path: "/v1/chat/completions"}, nil},
		"other model":    {VersionFault{FailureRatio: 1, Model: "x"}, nil},
		"same model":     {VersionFault{FailureRatio: 1, Model: "m"}, []int{1, 2, 3}},
		"under load":     {VersionFault{FailureRatio: 1, MinRunning: 2}, nil},
		"after time":     {VersionFault{FailureRatio: 1, AfterTime: time.Hour}, nil},
		"no fault":       {VersionFault{}, nil},
		"slowdown only":  {VersionFault{SlowdownFactor: 2}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := startFastEngine(t, func(o *EngineOptions) { o.VersionFaults = map[string]VersionFault{"v2": c.fault} })
			e.SetVersion("v2")
			var failedRequests []int
			for n := 1; n <= 3; n++ {
				status, _, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", fmt.Sprint(n), completionRequestJSON("p", 1, false))
				assert.NilError(t, err)
				if status == http.StatusInternalServerError {
					failedRequests = append(failedRequests, n)
				}
			}
			assert.DeepEqual(t, failedRequests, c.failedRequests)
		})
	}
}

func TestStreamWithoutEndMarker(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.VersionFaults = map[string]VersionFault{"v1": {OmitStreamEnd: true}} })

	_, events, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", "r1", completionRequestJSON("p", 2, true))

	assert.NilError(t, err)
	text, ended := parseStream(t, events)
	assert.Assert(t, !ended)
	assert.Equal(t, text, ExpectedText("p", 2))
	assert.Equal(t, e.Runs()[0].Status, StatusNoEnd)
}

func TestPrefixCacheAndEvents(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.CacheBlocks = 2 })
	shared := strings.Repeat("a", BlockBytes)
	for n, tail := range []string{"x", "y", strings.Repeat("z", 2*BlockBytes)} {
		_, _, _, err := sendRequest(t, "POST", e.URL()+"/v1/completions", fmt.Sprint(n), completionRequestJSON(shared+tail, 1, false))
		assert.NilError(t, err)
	}

	runs := e.Runs()
	assert.DeepEqual(t, []int{runs[0].CachedTokens, runs[1].CachedTokens, runs[2].CachedTokens}, []int{0, 64, 64})
	_, text, _, err := sendRequest(t, "GET", e.URL()+"/cache/events?since=1", "", "")
	assert.NilError(t, err)
	var body cacheEventsBody
	assert.NilError(t, json.Unmarshal([]byte(text), &body))
	ops := make([]string, 0, len(body.Events))
	for _, event := range body.Events {
		ops = append(ops, event.Op)
	}
	assert.DeepEqual(t, ops, []string{"stored", "stored", "evicted"})
	assert.Equal(t, body.Next, uint64(4))
}

func TestOrdersAreFencedAndIdempotent(t *testing.T) {
	e := startFastEngine(t, func(o *EngineOptions) { o.EnforceFencing = true })
	orders := []struct {
		body   string
		status int
	}{
		{`{"id":"1","fence":5,"kind":"load","version":"v2"}`, http.StatusAccepted},
		{`{"id":"1","fence":5,"kind":"load","version":"v2"}`, http.StatusAccepted},
		{`{"id":"2","fence":4,"kind":"unload","version":"v1"}`, http.StatusConflict},
	}
	for _, order := range orders {
		status, _, _, err := sendRequest(t, "POST", e.URL()+"/orders", "", order.body)
		assert.NilError(t, err)
		assert.Equal(t, status, order.status)
	}
	assert.Equal(t, len(e.AppliedOrders()), 1)
	assert.Equal(t, e.Version(), "v2")
}

func TestServiceCountsRunsByKey(t *testing.T) {
	s := NewService(ServiceOptions{Name: "s1"})
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	s.DropResponses(1)

	_, _, _, err := sendRequest(t, "PATCH", s.URL()+"/plans/7?x=1", "r1", "body")
	assert.Assert(t, err != nil)
	_, text, _, err := sendRequest(t, "PATCH", s.URL()+"/plans/7?x=1", "r1", "body")

	assert.NilError(t, err)
	var echo EchoResponse
	assert.NilError(t, json.Unmarshal([]byte(text), &echo))
	assert.DeepEqual(t, echo, EchoResponse{Method: "PATCH", Path: "/plans/7?x=1", Body: "body", Run: 2})
	assert.Equal(t, s.RunCountsByKey()[AccountKey{"acme", "key-r1"}], 2)
}
