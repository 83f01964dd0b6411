package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

func TestPlanIsDeterministicForSeed(t *testing.T) {
	sources := []Source{{
		RequestsPerSecond: 100, End: time.Second, Accounts: []string{"a", "b"}, MinTokens: 2, MaxTokens: 200,
		PromptBytesPerOutputToken: 4, IdempotencyKeyRatio: 0.5, DuplicateRatio: 0.5, StreamRatio: 0.5,
	}}
	assert.DeepEqual(t, GeneratePlan(7, sources), GeneratePlan(7, sources))
	assert.Assert(t, len(GeneratePlan(7, sources)) > 0)
	assert.Assert(t, GeneratePlan(7, sources)[0].Prompt != GeneratePlan(8, sources)[0].Prompt)
}

func TestGeneratorVerdicts(t *testing.T) {
	complete := target.ExpectedText("p", 2)
	chunk := func(text string) string { return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text) }
	cases := map[string]struct {
		status  int
		body    string
		stream  bool
		abort   bool
		verdict Verdict
	}{
		"complete":                     {200, fmt.Sprintf(`{"choices":[{"text":%q}]}`, complete), false, false, VerdictComplete},
		"response to another prompt":   {200, fmt.Sprintf(`{"choices":[{"text":%q}]}`, target.ExpectedText("q", 2)), false, false, VerdictWrong},
		"incomplete text":              {200, fmt.Sprintf(`{"choices":[{"text":%q}]}`, complete[:9]), false, false, VerdictWrong},
		"error status":                 {503, `{"run":"not_run"}`, false, false, VerdictRefused},
		"connection lost":              {200, `{"cho`, false, true, VerdictConnectionLost},
		"complete stream":              {200, chunk(complete[:9]) + chunk(complete[9:]) + "data: [DONE]\n\n", true, false, VerdictComplete},
		"stream with incomplete text":  {200, chunk(complete[:9]) + "data: [DONE]\n\n", true, false, VerdictWrong},
		"stream with a repeated event": {200, chunk(complete[:9]) + chunk(complete[:9]), true, false, VerdictWrong},
		"stream without [DONE]":        {200, chunk(complete), true, false, VerdictTruncated},
		"stream with connection lost":  {200, chunk(complete), true, true, VerdictConnectionLost},
		"stream with an error event":   {200, chunk(complete[:9]) + "event: error\ndata: {\"run\":\"ran_in_part\"}\n\n", true, false, VerdictRefused},
		"stream with pings":            {200, ": ping\n\n" + chunk(complete) + "data: [DONE]\n\n", true, false, VerdictComplete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				if c.abort {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			generator := NewGenerator(NewBalancer([]string{server.URL}), time.Minute)
			defer generator.Close()
			outcomes := generator.Send(t.Context(), []*Request{{Path: "/v1/completions", Prompt: "p", MaxTokens: 2, Stream: c.stream}})
			assert.Equal(t, outcomes[0].Final().Verdict, c.verdict)
		})
	}
}

// net/http by itself resends a request with an Idempotency-Key when a reused
// connection breaks, which would add requests that the generator does not count.
// The server must receive one request for each attempt.
func TestEachAttemptIsReceivedOnce(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			_, _ = w.Write([]byte(`{"body":"warm"}`))
			return
		}
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	generator := NewGenerator(NewBalancer([]string{server.URL}), time.Minute)
	defer generator.Close()
	warmUp := generator.Send(t.Context(), []*Request{{Kind: KindService, ID: "warm", Path: "/svc"}})
	assert.Equal(t, warmUp[0].Final().Verdict, VerdictComplete)

	outcomes := generator.Send(t.Context(), []*Request{{Kind: KindService, ID: "x", IdempotencyKey: "k", Path: "/svc", MaxRetries: 1}})

	assert.Equal(t, len(outcomes[0].Attempts), 2)
	assert.Equal(t, received.Load(), int64(2))
}

// A stream whose connection breaks must be resumed by its handle, at the event
// after the last received one.
func TestInterruptedStreamIsResumed(t *testing.T) {
	complete := target.ExpectedText("p", 2)
	event := func(id int, text string) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", id, text)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/v1/requests/h1" && r.Header.Get("Last-Event-ID") == "1" {
			_, _ = w.Write([]byte(event(2, complete[9:]) + "data: [DONE]\n\n"))
			return
		}
		w.Header().Set("Hibiscus-Request", "h1")
		_, _ = w.Write([]byte(event(1, complete[:9])))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	generator := NewGenerator(NewBalancer([]string{server.URL}), time.Minute)
	defer generator.Close()

	request := &Request{Path: "/v1/completions", Prompt: "p", MaxTokens: 2, Stream: true, MaxRetries: 1}
	outcomes := generator.Send(t.Context(), []*Request{request})

	assert.Equal(t, len(outcomes[0].Attempts), 2)
	assert.Equal(t, outcomes[0].Final().Verdict, VerdictComplete)
}
