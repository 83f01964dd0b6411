package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// malformedLines are lines of a head whose name is no token, or that continue the line before.
var malformedLines = []string{
	"X-A : b", "X A: b", " X-A: b", "\tX-A: b", "X\x01A: b", "Content-Length : 2", "Transfer-Encoding : chunked", "Id : 2", "Signed : 2",
	"X-A: b\r\n continued", "Id\t: 2", "Id: 1\r\n 2",
}

// withLine returns a response with the line before one of the fields, or at the end of the head.
func withLine(response, before, line string) string {
	return strings.Replace(response, "\r\n"+before, "\r\n"+line+"\r\n"+before, 1)
}

// malformedResponses returns the responses in which the line is at different places of a head that
// begins with Signed or Rejected.
func malformedResponses(response, line string) []string {
	first, rest, _ := strings.Cut(response, "\r\n")
	responses := []string{
		first + "\r\n" + line + "\r\n" + rest, withLine(response, "\r\n", line), "HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\n" + response,
	}
	if strings.Contains(response, "\r\nContent-Length") {
		responses = append(responses, withLine(response, "Content-Length", line))
	}
	if strings.HasSuffix(response, lastChunk) {
		responses = append(responses, strings.TrimSuffix(response, "\r\n")+line+"\r\n\r\n")
	}
	return responses
}

// Callers got responses in whose head a name held a blank, with that line or with a body that was
// not the target's. They are failures of the target, also when a stream is resumed.
func TestMalformedHeadIsAFailureOfTheTarget(t *testing.T) {
	failed, cases := 0, 0
	check := func(what, line, bad string, kind catalog.Kind, wantStatus int, wantBody string, scripts ...[]scriptStep) {
		t.Run(what, func(t *testing.T) {
			cases++
			status, body, err := newTakeoverCase(t, kind, len(scripts), scripts...).send()
			if err != nil || status != wantStatus || wantBody != "" && body != wantBody {
				failed++
				t.Errorf("%q in %q: %d %q, %v", line, bad, status, body, err)
			}
		})
	}
	second := []scriptStep{plain(http.StatusOK, "second")}
	cut, rest := []scriptStep{chunkedOK + events(1)}, []scriptStep{chunkedOK + events(2, 3) + lastChunk}
	for _, line := range malformedLines {
		// The events differ, so that a body that is passed on is seen.
		for _, bad := range malformedResponses(chunkedOK+events(1, 2)+lastChunk, line) {
			if strings.HasSuffix(bad, "0\r\n"+line+"\r\n\r\n") {
				check("trailer of a stream", line, bad, catalog.Streaming, http.StatusOK, rawEvents(1, 2, 3), []scriptStep{bad}, []scriptStep{chunkedOK + events(3) + lastChunk})
				continue
			}
			check("stream", line, bad, catalog.Streaming, http.StatusOK, rawEvents(1, 2, 3), []scriptStep{bad}, []scriptStep{chunkedOK + events(1, 2, 3) + lastChunk})
			check("resumed stream", line, bad, catalog.Streaming, http.StatusOK, rawEvents(1, 2, 3), cut, []scriptStep{strings.Replace(bad, events(1, 2), events(2), 1)}, rest)
		}
		for _, bad := range malformedResponses(unframedOK+rawEvents(1, 2), line) {
			check("stream without a length", line, bad, catalog.Streaming, http.StatusOK, rawEvents(1, 2, 3), []scriptStep{bad}, []scriptStep{chunkedOK + events(1, 2, 3) + lastChunk})
		}
		for _, good := range []string{
			plain(http.StatusOK, "answer"), plain(http.StatusNotFound, "answer"), plain(http.StatusInternalServerError, "answer"),
			strings.Replace(plain(http.StatusServiceUnavailable, ""), "Signed", "Rejected", 1),
			chunkedOK + "6\r\nanswer\r\n" + lastChunk, unframedOK + "answer",
		} {
			for _, bad := range malformedResponses(good, line) {
				check("once", line, bad, catalog.NonIdempotent, http.StatusBadGateway, "", []scriptStep{bad})
				check("repeated", line, bad, catalog.Idempotent, http.StatusOK, "second", []scriptStep{bad}, second)
			}
		}
	}
	t.Logf("%d of %d cases failed", failed, cases)
}

// Three malformed responses marked the request as one that crashes targets, and a sound target did
// not get it.
func TestMalformedHeadsAreNoCrashes(t *testing.T) {
	good := plain(http.StatusOK, "answer")
	for name, bad := range map[string]string{
		"line":    withLine(good, "Content-Length", "X-A : b"),
		"trailer": chunkedOK + "6\r\nanswer\r\n0\r\nX-A : b\r\n\r\n",
		"status":  strings.Replace(good, "200", "000", 1),
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, catalog.Idempotent, 4, []scriptStep{bad}, []scriptStep{bad}, []scriptStep{bad}, []scriptStep{plain(http.StatusOK, "good")})
			status, body, err := c.send()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK, "%q", body)
			assert.Equal(t, body, "good")
		})
	}
}

// Callers got the sizes of the chunks as a part of the body.
func TestTransferEncodingInHTTP10IsNotPassedOn(t *testing.T) {
	bad := "HTTP/1.0 200 OK\r\nSigned: 1\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"
	c := newTakeoverCase(t, catalog.Idempotent, 2, []scriptStep{bad}, []scriptStep{plain(http.StatusOK, "good")})
	status, body, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "%q", body)
	assert.Equal(t, body, "good")
}
