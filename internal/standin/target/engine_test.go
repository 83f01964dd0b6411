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

// fast makes an engine that does not slow tests down.
func fast(t *testing.T, change func(*EngineOptions)) *Engine {
	t.Helper()
	options := EngineOptions{Name: "e1", DecodeTimePerToken: time.Millisecond, PrefillTokensPerSecond: 1e9, Seed: 1}
	if change != nil {
		change(&options)
	}
	e := NewEngine(options)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func call(t *testing.T, method, url, id, body string) (status int, text string, header http.Header, err error) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.GetBody = nil // the library sends a keyed request again by itself
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Idempotency-Key", "key-"+id)
	request.Header.Set("Hibiscus-Account", "acme")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), response.Header, err
}

func modelBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

// streamed collects the text of a stream and whether it ended explicitly.
func streamed(t *testing.T, events string) (text string, ended bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(events))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			ended = true
		default:
			var c completion
			assert.NilError(t, json.Unmarshal([]byte(data), &c))
			text += c.Choices[0].Text
		}
	}
	return text, ended
}

func TestWholeAnswerIsLogged(t *testing.T) {
	e := fast(t, nil)

	status, text, _, err := call(t, "POST", e.URL()+"/v1/completions", "r1", modelBody("hello you", 3, false))

	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	var c completion
	assert.NilError(t, json.Unmarshal([]byte(text), &c))
	assert.Equal(t, c.Choices[0].Text, ExpectedText("hello you", 3))
	run := e.Runs()[0]
	assert.Equal(t, run.Status, StatusComplete)
	assert.Equal(t, run.OutputTokens, 3)
	assert.Equal(t, run.PromptTokens, 3)
	assert.Equal(t, e.RunCountsByKey()[AccountKey{"acme", "key-r1"}], 1)
	status, _, _, err = call(t, "POST", e.URL()+"/v1/completions", "r1", modelBody("hello you", 3, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, len(e.Runs()), 1)
}

func TestCutStreamResumes(t *testing.T) {
	e := fast(t, nil)
	e.AbortStreams(2, 1)

	_, events, _, err := call(t, "POST", e.URL()+"/v1/completions", "r1", modelBody("p", 5, true))
	assert.Assert(t, err != nil)
	head, ended := streamed(t, events)
	assert.Assert(t, !ended)
	_, events, _, err = call(t, "GET", e.URL()+"/v1/streams/r1?after=2", "", "")

	assert.NilError(t, err)
	tail, ended := streamed(t, events)
	assert.Assert(t, ended)
	assert.Equal(t, head+tail, ExpectedText("p", 5))
}

func TestCrashLosesRunsAndRestartServes(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.CrashMarker = "poison" })

	_, _, _, err := call(t, "POST", e.URL()+"/v1/completions", "r1", modelBody("poison", 5, false))
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Listening() {
			return poll.Continue("still listening")
		}
		return poll.Success()
	})
	_, _, _, err = call(t, "GET", e.URL()+"/load", "", "")
	assert.ErrorContains(t, err, "refused")
	assert.Equal(t, e.Runs()[0].Status, StatusCrashed)

	assert.NilError(t, e.Restart())
	status, _, _, err := call(t, "POST", e.URL()+"/v1/completions", "r2", modelBody("fine", 5, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

func TestCancel(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.DecodeTimePerToken = time.Hour })
	response, err := http.Post(e.URL()+"/v1/completions", "", strings.NewReader(modelBody("p", 5, true)))
	assert.NilError(t, err)
	defer response.Body.Close()

	status, _, _, err := call(t, "DELETE", e.URL()+"/v1/streams/unnamed-1", "", "")

	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "a cancelled stream breaks")
	assert.Equal(t, e.Runs()[0].Status, StatusCancelled)
	assert.Equal(t, e.RunningCount(), 0)
}

func TestRefusesWithoutRunning(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.MaxConcurrentRequests, o.DecodeTimePerToken = 1, time.Hour })
	response, err := http.Post(e.URL()+"/v1/completions", "", strings.NewReader(modelBody("p", 5, true)))
	assert.NilError(t, err)
	defer response.Body.Close()

	status, _, _, err := call(t, "POST", e.URL()+"/v1/completions", "r2", modelBody("p", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusTooManyRequests)
	e.SetLeaving(true)
	status, _, header, err := call(t, "POST", e.URL()+"/v1/completions", "r3", modelBody("p", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("X-Leaving"), "true")
	assert.Equal(t, len(e.Runs()), 1)
	assert.Equal(t, len(e.Refusals()), 2)
}

func TestBadVersions(t *testing.T) {
	cases := map[string]struct {
		bad    VersionFault
		failed []int // requests, from 1, that fail out of three
	}{
		"at once":        {VersionFault{FailureRatio: 1}, []int{1, 2, 3}},
		"late":           {VersionFault{FailureRatio: 1, AfterRequests: 2}, []int{3}},
		"other path":     {VersionFault{FailureRatio: 1, Path: "/v1/chat/completions"}, nil},
		"other model":    {VersionFault{FailureRatio: 1, Model: "x"}, nil},
		"this model":     {VersionFault{FailureRatio: 1, Model: "m"}, []int{1, 2, 3}},
		"under load":     {VersionFault{FailureRatio: 1, MinRunning: 2}, nil},
		"after a time":   {VersionFault{FailureRatio: 1, AfterTime: time.Hour}, nil},
		"other version":  {VersionFault{}, nil},
		"only slow down": {VersionFault{SlowdownFactor: 2}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := fast(t, func(o *EngineOptions) { o.VersionFaults = map[string]VersionFault{"v2": c.bad} })
			e.SetVersion("v2")
			var failed []int
			for n := 1; n <= 3; n++ {
				status, _, _, err := call(t, "POST", e.URL()+"/v1/completions", fmt.Sprint(n), modelBody("p", 1, false))
				assert.NilError(t, err)
				if status == http.StatusInternalServerError {
					failed = append(failed, n)
				}
			}
			assert.DeepEqual(t, failed, c.failed)
		})
	}
}

func TestStreamWithoutEnd(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.VersionFaults = map[string]VersionFault{"v1": {OmitStreamEnd: true}} })

	_, events, _, err := call(t, "POST", e.URL()+"/v1/completions", "r1", modelBody("p", 2, true))

	assert.NilError(t, err)
	text, ended := streamed(t, events)
	assert.Assert(t, !ended)
	assert.Equal(t, text, ExpectedText("p", 2))
	assert.Equal(t, e.Runs()[0].Status, StatusNoEnd)
}

func TestPrefixCacheAndEvents(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.CacheBlocks = 2 })
	shared := strings.Repeat("a", BlockBytes)
	for n, tail := range []string{"x", "y", strings.Repeat("z", 2*BlockBytes)} {
		_, _, _, err := call(t, "POST", e.URL()+"/v1/completions", fmt.Sprint(n), modelBody(shared+tail, 1, false))
		assert.NilError(t, err)
	}

	log := e.Runs()
	assert.DeepEqual(t, []int{log[0].CachedTokens, log[1].CachedTokens, log[2].CachedTokens}, []int{0, 64, 64})
	_, text, _, err := call(t, "GET", e.URL()+"/cache/events?since=1", "", "")
	assert.NilError(t, err)
	var body eventsBody
	assert.NilError(t, json.Unmarshal([]byte(text), &body))
	ops := make([]string, 0, len(body.Events))
	for _, event := range body.Events {
		ops = append(ops, event.Op)
	}
	assert.DeepEqual(t, ops, []string{"stored", "stored", "evicted"})
	assert.Equal(t, body.Next, uint64(4))
}

func TestOrdersAreFencedAndIdempotent(t *testing.T) {
	e := fast(t, func(o *EngineOptions) { o.EnforceFencing = true })
	orders := []struct {
		body   string
		status int
	}{
		{`{"id":"1","fence":5,"kind":"load","version":"v2"}`, http.StatusAccepted},
		{`{"id":"1","fence":5,"kind":"load","version":"v2"}`, http.StatusAccepted},
		{`{"id":"2","fence":4,"kind":"unload","version":"v1"}`, http.StatusConflict},
	}
	for _, order := range orders {
		status, _, _, err := call(t, "POST", e.URL()+"/orders", "", order.body)
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

	_, _, _, err := call(t, "PATCH", s.URL()+"/plans/7?x=1", "r1", "body")
	assert.Assert(t, err != nil)
	_, text, _, err := call(t, "PATCH", s.URL()+"/plans/7?x=1", "r1", "body")

	assert.NilError(t, err)
	var echo EchoResponse
	assert.NilError(t, json.Unmarshal([]byte(text), &echo))
	assert.DeepEqual(t, echo, EchoResponse{Method: "PATCH", Path: "/plans/7?x=1", Body: "body", Run: 2})
	assert.Equal(t, s.RunCountsByKey()[AccountKey{"acme", "key-r1"}], 2)
}
