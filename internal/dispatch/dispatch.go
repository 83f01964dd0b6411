// Package dispatch sends HTTP requests to targets, each request at most once
// per call.
//
// Send opens a connection for each Request. A failure before the connection is
// established proves that nothing was sent; from the first write on, the
// request may have been executed and is never sent again. With a reused
// connection, the two cases cannot be told apart reliably. A dedicated
// connection can also be closed at any time to cancel the request. The cost is
// one round trip per request.
//
// Pool.Send reuses connections for each PooledRequest. A request that must not
// race with the close of an idle connection sets RequireFreshConn.
package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// HeaderRequestID is the header field with the ID of an execution at a target.
const HeaderRequestID = "X-Request-Id"

// HeaderLeaving is set on refusals by a target that is leaving.
const HeaderLeaving = "X-Leaving"

// DialTimeout bounds the connection setup of Send.
const DialTimeout = 2 * time.Second

// Field is a header field.
type Field struct{ Name, Value string }

// Request is an HTTP request to a target.
type Request struct {
	// Address is the target's "ip:port".
	Address string
	// ID identifies the execution at the target; it is unique per dispatch.
	ID     string
	Method string
	// URI is the path with the query string.
	URI    string
	Header []Field
	Body   []byte
}

// Response is a target's response; the caller must close it.
type Response struct {
	Status int
	Header []Field
	// ContentLength is the announced length of the body; negative if unknown.
	ContentLength int
	// Body is read as it arrives.
	Body io.Reader

	conn       net.Conn
	raw        *fasthttp.Response
	stopCancel func() bool
}

// Close cancels the request if it is unfinished and closes the connection.
func (r *Response) Close() {
	r.stopCancel()
	_ = r.conn.Close()
	_ = r.raw.CloseBodyStream()
}

// IsFramed reports whether the header determines where the body ends. If not, a
// body that was cut off cannot be told from a complete one.
func (r *Response) IsFramed() bool {
	const identity = -2
	return r.ContentLength != identity || r.raw.BodyStream() == nil
}

// Get returns the value of a header field, or "".
func (r *Response) Get(name string) string {
	return string(r.raw.Header.Peek(name))
}

// NotSentError reports that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IsNotSent reports whether err proves that nothing was sent.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// IsRefused reports whether err proves that no process listens at the target's
// address.
func IsRefused(err error) bool { return IsNotSent(err) && errors.Is(err, syscall.ECONNREFUSED) }

// Send sends the request and returns once the response header has been read.
// The context cancels the request, also while the body is read. Errors carry
// fault.StepDispatch and the target; IsNotSent identifies those that prove that
// nothing was sent.
func Send(ctx context.Context, r *Request) (*Response, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	if err := ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	response, err := roundTrip(ctx, conn, r)
	if err != nil {
		_ = conn.Close()
		return nil, fault.At(fault.StepDispatch, r.Address, err)
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
	bounds := &boundedReader{source: conn}
	bounds.awaitHeader()
	bounds.scan.skipsInterim = true
	// The codec reads a header of at most the reader's size.
	reader := bufio.NewReader(bounds)
	err := checkFirstStatus(reader)
	if err == nil {
		err = raw.ReadLimitBody(reader, 0)
	}
	if err == nil && !isFinalStatus(raw.StatusCode()) {
		err = errors.Wrapf(ErrInvalidStatus, "status %d", raw.StatusCode())
	}
	if err != nil {
		stopCancel()
		return nil, bounds.scan.explain(err)
	}
	bounds.headerComplete()
	response := &Response{
		Status: raw.StatusCode(), ContentLength: raw.Header.ContentLength(),
		conn: conn, raw: raw, stopCancel: stopCancel,
	}
	response.Body = emptyBody{}
	if body := raw.BodyStream(); body != nil {
		const chunked = -1
		bounds.scan.beginBody(reader, response.ContentLength == chunked)
		response.Body = scannedBody{body, &bounds.scan}
	}
	for name, value := range raw.Header.All() {
		response.Header = append(response.Header, Field{string(name), string(value)})
	}
	return response, nil
}

// checkFirstStatus returns ErrInvalidStatus for a status that the codec would take for 200, or
// for that of an interim response. Other malformed status lines are left to the codec.
func checkFirstStatus(reader *bufio.Reader) error {
	const prefix, statusEnd = "HTTP/1.1 ", 12
	line, err := reader.Peek(statusEnd)
	if err != nil {
		return err
	}
	status, err := strconv.Atoi(string(line[len(prefix):]))
	if err == nil && !isFinalStatus(status) && !isInterimStatus(status) {
		return errors.Wrapf(ErrInvalidStatus, "status %03d", status)
	}
	return nil
}

func writeRequest(conn net.Conn, r *Request) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URI)
	request.Header.SetHost(r.Address)
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

// Resume requests from an engine the events of a stream that follow event
// number after.
func Resume(ctx context.Context, address, id string, after uint64) (*Response, error) {
	uri := "/v1/streams/" + id + "?after=" + strconv.FormatUint(after, 10)
	return Send(ctx, &Request{Address: address, ID: id, Method: fasthttp.MethodGet, URI: uri})
}

// Cancel cancels an execution at an engine. An ID that the engine does not know
// is not an error.
func Cancel(ctx context.Context, address, id string) error {
	response, err := Send(ctx, &Request{
		Address: address, ID: id, Method: fasthttp.MethodDelete, URI: "/v1/streams/" + id,
	})
	if err != nil {
		return err
	}
	response.Close()
	return nil
}

// scannedBody is the body of a scanned response. Its end is an error if the scan found one.
type scannedBody struct {
	io.Reader
	scan *responseScan
}

// Read implements io.Reader.
func (b scannedBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	return n, b.scan.explain(err)
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
