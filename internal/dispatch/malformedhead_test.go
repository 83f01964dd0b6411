package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// malformedLines are lines of a head whose name is no token, or that continue the line before.
var malformedLines = []string{
	"X-A : b", "X A: b", " X-A: b", "\tX-A: b", " ", "X-A\t: b", "X\x01A: b", "X\x00: b", "X\x7fA: b", "X-A\x0b: b", "X(A): b", "X\xe9: b",
	": b", "no colon", "Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked", idHeader + " : another", " " + idHeader + ": another",
	"Content Length: 2", "X-A: b\r\n continued", "X-A: b\r\n\tcontinued",
}

// malformedHeads returns responses with the line at each place of the head.
func malformedHeads(line string) map[string]string {
	const status, id = "HTTP/1.1 200 OK\r\n", idHeader + ": expected\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	line += "\r\n"
	return map[string]string{
		"first":                  status + line + id + "Content-Length: 5\r\n\r\nwhole",
		"before the length":      status + id + line + "Content-Length: 5\r\n\r\nwhole",
		"last":                   status + id + "Content-Length: 5\r\n" + line + "\r\nwhole",
		"without a length":       status + id + line + "\r\nwhole",
		"chunked":                status + id + line + chunked + "\r\n",
		"interim":                "HTTP/1.1 103 Hints\r\n" + line + "\r\n" + status + id + "Content-Length: 5\r\n\r\nwhole",
		"after interim":          "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + status + id + line + "Content-Length: 5\r\n\r\nwhole",
		"failure":                "HTTP/1.1 500 Failed\r\n" + id + line + "Content-Length: 5\r\n\r\nwhole",
		"refusal":                "HTTP/1.1 503 Refused\r\n" + id + line + "X-Not-Run: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"response before":        status + line + idHeader + ": other\r\nContent-Length: 2\r\n\r\nxx" + status + id + "Content-Length: 5\r\n\r\nwhole",
		"after another response": responseWithID("other", "xx") + status + id + line + "Content-Length: 5\r\n\r\nwhole",
		"first of a trailer":     status + id + chunked + line + "\r\n",
		"last of a trailer":      status + id + chunked + "X-T: t\r\n" + line + "\r\n",
		"ends without CR":        "HTTP/1.1 200 OK\n" + idHeader + ": expected\n" + line + "Content-Length: 5\n\nwhole",
	}
}

// serveBytes returns the address of a server that answers each request with the response, in parts
// of size bytes, and closes the connection.
func serveBytes(t *testing.T, response string, size int) string {
	return serveOnce(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		for sent := 0; sent < len(response); sent += size {
			if sent > 0 {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(conn, response[sent:min(sent+size, len(response))]); err != nil {
				return
			}
		}
	})
}

// readWith sends a request with one of the two functions and reads the response to its end.
func readWith(ctx context.Context, address string, pooled bool) (string, error) {
	if pooled {
		response, err := NewPool(clockwork.NewRealClock()).Send(ctx, newPooledRequest(address))
		if err != nil {
			return "", err
		}
		defer response.Close()
		body, err := io.ReadAll(response)
		return string(body), err
	}
	response, err := Send(ctx, &Request{Address: address, Method: http.MethodPost, URI: "/", Body: []byte("body")})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// A target sent a head with a blank in the name of a field, or with a line that begins with a
// blank; callers got the line, or a body that was not the target's.
func TestResponseWithAMalformedHeadIsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), endsTimeout)
	defer cancel()
	for _, pooled := range []bool{true, false} {
		taken, cases := 0, 0
		for _, line := range malformedLines {
			for place, response := range malformedHeads(line) {
				if !pooled && (place == "response before" || place == "after another response") {
					// Send reads one response, whose request it does not check.
					continue
				}
				for _, size := range []int{len(response), 20} {
					cases++
					body, err := readWith(ctx, serveBytes(t, response, size), pooled)
					if err == nil {
						taken++
						t.Errorf("pooled %t, %q, %s, parts of %d: body %q", pooled, line, place, size, body)
					} else if !errors.Is(err, ErrInvalidHeader) {
						t.Errorf("pooled %t, %q, %s, parts of %d: %v", pooled, line, place, size, err)
					}
				}
			}
		}
		t.Logf("pooled %t: %d of %d responses taken", pooled, taken, cases)
	}
}

// Heads that are well formed, however rare, must not be refused.
func TestResponseWithARareHeadIsPassedOn(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), endsTimeout)
	defer cancel()
	for _, line := range []string{
		"X-A:b", "X-A: ", "X-A:", "X-A:\t b \t", "x-!#$%&'*+.^_`|~09: b", "X-A: b: c : d", "X-A: \"q, r\"", "X-A: \xe9", "X-A: b\r\nX-A: c", "Date: Mon, 07 Dec 2026 16:00:00 GMT",
	} {
		for place, response := range malformedHeads(line) {
			for _, pooled := range []bool{true, false} {
				if !pooled && (place == "response before" || place == "after another response" || place == "ends without CR") {
					// The codec of Send accepts CR LF only.
					continue
				}
				for _, size := range []int{len(response), 20} {
					body, err := readWith(ctx, serveBytes(t, response, size), pooled)
					assert.Check(t, err == nil && body == "whole", fmt.Sprintf("pooled %t, %q, %s, parts of %d: %q, %v", pooled, line, place, size, body, err))
				}
			}
		}
	}
}

// Control bytes in values are refused by the parsers, in heads; trailers are not passed on.
func TestResponseWithAControlByteInAValueIsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), endsTimeout)
	defer cancel()
	for _, value := range []string{"b\x00", "\x01b", "b\x7fc", "b\rc", "\x0b"} {
		for place, response := range malformedHeads("X-A: " + value) {
			if strings.Contains(place, "trailer") {
				continue
			}
			for _, pooled := range []bool{true, false} {
				if !pooled && (place == "response before" || place == "after another response") {
					continue
				}
				body, err := readWith(ctx, serveBytes(t, response, len(response)), pooled)
				assert.Check(t, err != nil, "pooled %t, %q, %s: %q", pooled, value, place, body)
			}
		}
	}
}

// The bytes of a response that another instance relays are checked like those of a direct one.
func TestRelayedResponseWithAMalformedHeadIsNotPassedOn(t *testing.T) {
	p := newRelayedPool(t)
	for _, line := range []string{"X-A : b", "Content-Length : 2", idHeader + " : another", "X-A: b\r\n continued"} {
		for place, response := range malformedHeads(line) {
			address := serveBytes(t, response, 20)
			body, err := sendAndRead(p, newPooledRequest(address))
			assert.Assert(t, errors.Is(err, ErrInvalidHeader), "%q, %s: %q, %v", line, place, body, err)
			assert.Assert(t, !p.IsPathLost(address, err), "%q, %s: %v", line, place, err)
		}
	}
}

// The sizes of the chunks were taken for a part of the body.
func TestTransferEncodingInHTTP10IsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), endsTimeout)
	defer cancel()
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
			response := version + " 200 OK\r\n" + idHeader + ": expected\r\n" + name + ": chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
			for _, pooled := range []bool{true, false} {
				for _, size := range []int{len(response), 20} {
					body, err := readWith(ctx, serveBytes(t, response, size), pooled)
					assert.Check(t, errors.Is(err, ErrInvalidHeader), "pooled %t, %s, %s, parts of %d: %q, %v", pooled, version, name, size, body, err)
				}
			}
		}
	}
}

// The head after such an interim response was not checked by Send.
func TestMalformedHeadAfterAnInterimStatusWithTwoBlanksIsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), endsTimeout)
	defer cancel()
	response := "HTTP/1.1  103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": expected\r\nX-A : b\r\nContent-Length: 5\r\n\r\nwhole"
	for _, pooled := range []bool{true, false} {
		for _, size := range []int{len(response), 20} {
			body, err := readWith(ctx, serveBytes(t, response, size), pooled)
			assert.Check(t, errors.Is(err, ErrInvalidHeader), "pooled %t, parts of %d: %q, %v", pooled, size, body, err)
		}
	}
}
