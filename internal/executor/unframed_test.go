package executor

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	plainHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	// unframed ends a header without a length or chunks, chunked one with chunks.
	unframed = "\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
)

// respondRaw returns a handler that answers with bytes and then closes the
// connection or resets it. Requests to resume a stream are not known.
func respondRaw(t *testing.T, response string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		_, err = io.WriteString(conn, response)
		assert.Check(t, err)
		if reset {
			assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
		}
		assert.Check(t, conn.Close())
	}
}

// readAnswer reads an answer and returns what was received and the error that ended
// it, nil for a complete answer.
func readAnswer(ctx context.Context, a *answer.Answer) (body string, err error) {
	reader := a.Follow(0)
	defer reader.Close()
	for {
		chunk, err := reader.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body += string(chunk.Data)
	}
}

// TestResponseThatBrokeOffIsNoWholeAnswer guards against responses that end with
// their connection, were broken off, and were taken for complete or for evidence
// that the target ran the request to its end.
func TestResponseThatBrokeOffIsNoWholeAnswer(t *testing.T) {
	const first, done = "id: 1\ndata: a\n\n", "id: 2\ndata: [DONE]\n\n"
	for _, tc := range []struct {
		name     string
		kind     tables.PoolKind
		response string
		reset    bool
		// complete means that the answer is complete, clears that the request is no
		// longer suspected to crash targets.
		complete, clears bool
	}{
		{name: "stream with its end", kind: tables.KindEngine, response: streamHead + unframed + first + done, complete: true, clears: true},
		{name: "stream ended at its header", kind: tables.KindEngine, response: streamHead + unframed},
		{name: "stream ended inside an event", kind: tables.KindEngine, response: streamHead + unframed + first + "id: 2\ndata: [DONE"},
		{name: "stream ended before a blank line", kind: tables.KindEngine, response: streamHead + unframed + first + strings.TrimSuffix(done, "\n")},
		{name: "stream ended after an event", kind: tables.KindEngine, response: streamHead + unframed + first},
		{name: "stream reset after an event", kind: tables.KindEngine, response: streamHead + unframed + first, reset: true},
		{name: "chunked stream without its end", kind: tables.KindEngine, response: streamHead + chunked + "f\r\n" + first + "\r\n0\r\n\r\n", clears: true},
		{name: "chunked stream cut between chunks", kind: tables.KindEngine, response: streamHead + chunked + "f\r\n" + first + "\r\n"},
		{name: "service's stream", kind: tables.KindService, response: streamHead + unframed + first, complete: true},
		{name: "service's stream ended at its header", kind: tables.KindService, response: streamHead + unframed},
		{name: "service's stream ended inside an event", kind: tables.KindService, response: streamHead + unframed + first + "id: 2\ndat"},
		{name: "service's stream reset after an event", kind: tables.KindService, response: streamHead + unframed + first, reset: true},
		{name: "service's chunked stream", kind: tables.KindService, response: streamHead + chunked + "f\r\n" + first + "\r\n0\r\n\r\n", complete: true, clears: true},
		{name: "body", kind: tables.KindService, response: plainHead + unframed + "body", complete: true},
		{name: "body that was reset", kind: tables.KindService, response: plainHead + unframed + "bo", reset: true},
		{name: "body with a length", kind: tables.KindService, response: plainHead + "Content-Length: 4\r\n\r\nbody", complete: true, clears: true},
		{name: "body shorter than its length", kind: tables.KindService, response: plainHead + "Content-Length: 4\r\n\r\nbo"},
		{name: "chunked body cut between chunks", kind: tables.KindService, response: plainHead + chunked + "2\r\nbo\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			e := newTestExecutor(t, 5*time.Second, respondRaw(t, tc.response, tc.reset))
			pool := &e.Tables().Pools[0]
			pool.Kind = tc.kind
			call := newCall("/x", "")
			call.Prompt.Stream = tc.kind == tables.KindEngine
			fingerprint := quarantine.NewFingerprint(call.Account, call.Method+" "+call.Path, call.Body)
			e.Quarantine.Start(fingerprint, "another", 0).End(quarantine.Broken)
			e.Quarantine.RecordEnded("another")
			assert.Assert(t, e.Quarantine.IsSuspect(fingerprint))

			execution, err := e.Execute(t.Context(), call)
			assert.NilError(t, err)
			body, err := readAnswer(t.Context(), execution.Answer)
			assert.Equal(t, err == nil, tc.complete, "%q, %v", body, err)
			assert.Equal(t, e.Quarantine.IsSuspect(fingerprint), !tc.clears)
		})
	}
}
