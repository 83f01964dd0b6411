package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the final answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reason says why the gateway answers itself; "" for a target's answer.
	Reason string
	// Stream replaces Body for answers that are passed on as they come; an
	// error other than io.EOF cuts the caller's connection.
	Stream io.ReadCloser
}

// write gives the answer to the HTTP library; end is called when it is over.
func (r *Response) write(ctx *fasthttp.RequestCtx, onDone func()) {
	ctx.SetStatusCode(r.Status)
	for name, values := range r.Header {
		for _, value := range values {
			ctx.Response.Header.Add(name, value)
		}
	}
	if r.Stream == nil {
		onDone()
		ctx.Response.SetBodyRaw(r.Body)
		if ctx.IsHead() {
			ctx.Response.SkipBody = true
		}
		return
	}
	const unknownLength = -1
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&streamBody{r.Stream, onDone}, unknownLength)
}

// streamBody ends the request when the library is done with the body.
type streamBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}

// errorResponse returns an answer of the gateway's own. ReturnAfter is set only where
// the request has not run.
func errorResponse(status int, reason string, retryAfter time.Duration) *Response {
	response := &Response{
		Status: status, Reason: reason, Body: []byte(reason + "\n"),
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
	}
	if retryAfter > 0 {
		const decimals = 3
		response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', decimals, 64))
	}
	return response
}
