package executor

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// TestSilenceOfATargetEndsNoAnswer guards against answers that end because a target
// sends nothing for a while and then goes on.
func TestSilenceOfATargetEndsNoAnswer(t *testing.T) {
	const silence = 2 * time.Second
	for _, tc := range []struct {
		name, before, after string
		kind                tables.PoolKind
	}{
		{"before the header", "", plainHead + "Content-Length: 4\r\n\r\nbody", tables.KindService},
		{"inside the header", "HTTP/1.1 200 O", "K\r\nContent-Length: 4\r\n\r\nbody", tables.KindService},
		{"inside a body", plainHead + "Content-Length: 4\r\n\r\nbo", "dy", tables.KindService},
		{"inside an unframed body", plainHead + unframed + "bo", "dy", tables.KindService},
		{"before the first event", streamHead + unframed, "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n", tables.KindEngine},
		{"between events", streamHead + unframed + "id: 1\ndata: a\n\n", "id: 2\ndata: [DONE]\n\n", tables.KindEngine},
		{"inside an event", streamHead + unframed + "id: 1\nda", "ta: a\n\nid: 2\ndata: [DONE]\n\n", tables.KindEngine},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			e := newTestExecutor(t, 10*time.Second, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.Check(t, err) {
					return
				}
				_, err = io.WriteString(conn, tc.before)
				assert.Check(t, err)
				time.Sleep(silence)
				_, err = io.WriteString(conn, tc.after)
				assert.Check(t, err)
				assert.Check(t, conn.Close())
			})
			e.Tables().Pools[0].Kind = tc.kind
			call := newCall("/x", "")
			call.Prompt.Stream = tc.kind == tables.KindEngine
			execution, err := e.Execute(t.Context(), call)
			assert.NilError(t, err)
			body, err := readAnswer(t.Context(), execution.Answer)
			assert.NilError(t, err)
			want := "body"
			if tc.kind == tables.KindEngine {
				want = "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n"
			}
			assert.Equal(t, body, want)
			assert.Equal(t, e.serviceCalls.Load(), int64(1))
		})
	}
}
