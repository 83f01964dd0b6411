// Package dispatch sends requests to targets, each at most once.
//
// Every request has a connection of its own. Before the connection stands, a
// failure proves that nothing was sent; from the first write on, the request
// may have run and is never sent again. A pooled connection would leave the
// two cases apart only by luck, and a connection of its own can be closed to
// cancel the request at any moment. The price is one round trip a request.
package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// HeaderRequestID names a run at a target.
const HeaderRequestID = "X-Request-Id"

// HeaderLeaving is set on refusals of a target that leaves.
const HeaderLeaving = "X-Leaving"

// DialTimeout bounds the connection to a target.
const DialTimeout = 2 * time.Second

// Field is one header field.
type Field struct{ Name, Value string }

// Request is what is sent to a target.
type Request struct {
	// Target is the target's "ip:port".
	Target string
	// ID names the run at the target; unique to one dispatch.
	ID     string
	Method string
	// URI is the path with the query.
	URI    string
	Header []Field
	Body   []byte
}

// Response is a target's answer; Close it.
type Response struct {
	Status int
	Header []Field
	// ContentLength is the announced length of the body, or -1.
	ContentLength int
	// Body reads the answer as it arrives.
	Body io.Reader

	conn       net.Conn
	raw        *fasthttp.Response
	stopCancel func() bool
}

// Close ends the exchange and the connection.
func (r *Response) Close() {
	r.stopCancel()
	_ = r.conn.Close()
	_ = r.raw.CloseBodyStream()
}

// Get returns a header field, or "".
func (r *Response) Get(name string) string {
	return string(r.raw.Header.Peek(name))
}

// NotSentError means that no byte of the request has left.
type NotSentError struct{ Cause error }

// Error names the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IsNotSent tells whether err proves that nothing was sent.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// Send sends the request and returns when the answer's header is there. The
// context cancels the exchange, also while the body is read. Errors carry
// fault.StepDispatch and the target; IsNotSent tells the provable case.
func Send(ctx context.Context, r *Request) (*Response, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.Target)
	if err != nil {
		return nil, fault.At(fault.StepDispatch, r.Target, &NotSentError{err})
	}
	if err := ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, fault.At(fault.StepDispatch, r.Target, &NotSentError{err})
	}
	response, err := roundTrip(ctx, conn, r)
	if err != nil {
		_ = conn.Close()
		return nil, fault.At(fault.StepDispatch, r.Target, err)
	}
	return response, nil
}

func roundTrip(ctx context.Context, conn net.Conn, r *Request) (*Response, error) {
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := writeRequest(conn, r); err != nil {
		stopCancel()
		return nil, err
	}
	raw := &fasthttp.Response{StreamBody: true}
	if r.Method == fasthttp.MethodHead {
		raw.SkipBody = true
	}
	if err := raw.ReadLimitBody(bufio.NewReader(conn), 0); err != nil {
		stopCancel()
		return nil, err
	}
	response := &Response{
		Status: raw.StatusCode(), ContentLength: raw.Header.ContentLength(),
		conn: conn, raw: raw, stopCancel: stopCancel,
	}
	response.Body = raw.BodyStream()
	if response.Body == nil {
		response.Body = eofReader{}
	}
	for name, value := range raw.Header.All() {
		response.Header = append(response.Header, Field{string(name), string(value)})
	}
	return response, nil
}

func writeRequest(conn net.Conn, r *Request) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URI)
	request.Header.SetHost(r.Target)
	for _, field := range r.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(HeaderRequestID, r.ID)
	request.Header.SetConnectionClose()
	request.SetBodyRaw(r.Body)
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// Resume asks an engine for the events of a run after the given one.
func Resume(ctx context.Context, target, id string, after uint64) (*Response, error) {
	uri := "/v1/streams/" + id + "?after=" + strconv.FormatUint(after, 10)
	return Send(ctx, &Request{Target: target, ID: id, Method: fasthttp.MethodGet, URI: uri})
}

// Cancel ends a run at an engine. A run that the engine does not know is no
// error.
func Cancel(ctx context.Context, target, id string) error {
	response, err := Send(ctx, &Request{
		Target: target, ID: id, Method: fasthttp.MethodDelete, URI: "/v1/streams/" + id,
	})
	if err != nil {
		return err
	}
	response.Close()
	return nil
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }
