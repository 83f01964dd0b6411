package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// A target answered a long upload at once, without a length, sent a part of the body and reset the
// connection; callers must not get that part as a complete answer.
func TestPartOfAnAnswerToAnUploadIsNotPassedOn(t *testing.T) {
	for name, answer := range map[string]string{"answer": unframedOK + "part", "head": unframedOK, "stream": unframedOK + rawEvents(1)} {
		for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming} {
			if (name == "stream") != (kind == catalog.Streaming) {
				continue
			}
			t.Run(name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { _ = listener.Close() })
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer)
							time.Sleep(20 * time.Millisecond)
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}
				}()
				good := []scriptStep{plain(http.StatusOK, "second")}
				if kind == catalog.Streaming {
					good = []scriptStep{chunkedOK + events(2) + lastChunk}
				}
				c := newTakeoverCase(t, kind, 2, nil, good)
				c.placer.targets[0].Address = listener.Addr().String()
				c.request.request.Body = []byte(strings.Repeat("x", 16<<20))
				ctx, cancel := context.WithDeadline(t.Context(), c.request.deadline)
				defer cancel()
				status, body, err := c.sendWith(ctx, cancel)
				assert.NilError(t, err)
				switch kind {
				case catalog.NonIdempotent:
					assert.Equal(t, status, http.StatusBadGateway, "%q", body)
				case catalog.Idempotent:
					assert.Equal(t, body, "second")
				default:
					assert.Assert(t, body == rawEvents(1, 2) || body == rawEvents(2), "%q", body)
				}
			})
		}
	}
}
