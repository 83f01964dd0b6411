package dispatch

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// maxMismatchedResponses bounds the responses to other requests that are
// discarded on one connection before the exchange fails.
const maxMismatchedResponses = 3

// maxMismatchedBytes bounds the body of a discarded response.
const maxMismatchedBytes = 1 << 20

// Errors of Pool.Send.
var (
	// ErrResponseMismatch is returned if only responses to other requests arrived.
	ErrResponseMismatch = errors.New("target responded to other requests only")
	// ErrResponseUnidentified is returned for a response that names no request: it may
	// belong to an earlier one on the connection, or come from another kind of server.
	ErrResponseUnidentified = errors.New("response names no request")
	// ErrNoTarget marks such a response to the first request on a connection: what answers
	// there is no target.
	ErrNoTarget = errors.New("no target answers at the address")
	// ErrInvalidStatus is returned for a status that no response has: one outside 200 to 599
	// that is not an interim response either.
	ErrInvalidStatus = errors.New("status is that of no response")
	// ErrStaleConn marks failures on a reused connection before a response header
	// was read. The request may have been executed nevertheless.
	ErrStaleConn = errors.New("reused connection failed before a response header")
)

// PooledRequest is an HTTP request sent on a connection of a Pool.
type PooledRequest struct {
	// Address is the target's "ip:port".
	Address string
	Method  string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Header []Field
	Body   []byte
	// RequireFreshConn requires a new or recently used connection, since after a
	// close by the target it is unknown whether the request was executed.
	RequireFreshConn bool
	// OnPathLost, if set, is called if the path to the target is found lost during the
	// exchange. Unless RequireFreshConn is set, the exchange then ends with
	// ErrPathLost if nothing has been received for a while.
	OnPathLost func()
	// Silence is watched for until PooledResponse.WatchSilence is called.
	Silence SilenceWatch
	// Permit, if set, is called right before the first byte is sent. An error ends the
	// exchange as not sent.
	Permit func() error
	// Match tells to which request a response belongs by its header.
	Match func(http.Header) Match
}

// Match is what a response header tells of the request that it belongs to.
type Match int

const (
	// MatchOwn means that the response belongs to the request.
	MatchOwn Match = iota
	// MatchOther means that it belongs to another request.
	MatchOther
	// MatchUnknown means that the header does not tell.
	MatchUnknown
)

// PooledResponse is the response to a PooledRequest; the caller must close it.
type PooledResponse struct {
	Status int
	Header http.Header
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64

	pool       *Pool
	conn       *pooledConn
	body       io.ReadCloser
	keepAlive  time.Duration
	stopCancel func() bool
	// cancelled is closed once the request is cancelled; nil if it cannot be.
	cancelled <-chan struct{}
	// framed is set if the header determines where the body ends, unsent if the request could
	// not be written completely.
	framed, unsent bool
	// bodyComplete is set once the body has been read to its regular end.
	bodyComplete, reusable bool
	// reserved is the memory reserved for the body, in bytes.
	reserved int64
}

// Send sends the request and returns once the response header has been read.
// The context cancels the request, also while the body is read. Errors carry
// fault.StepDispatch and the target; IsNotSent identifies those that prove that
// nothing was sent.
func (p *Pool) Send(ctx context.Context, r *PooledRequest) (sent *PooledResponse, err error) {
	conn, err := p.acquire(ctx, r.Address, r.RequireFreshConn)
	if err != nil {
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	stopCancel := func() bool { return true }
	// Match and other functions of the request may panic.
	defer func() {
		if sent == nil {
			p.end(conn)
			stopCancel()
			conn.close()
		}
	}()
	if err := ctx.Err(); err != nil {
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
		}
	}
	stopCancel = context.AfterFunc(ctx, conn.close)
	p.begin(conn, r)
	response, err := r.roundTrip(conn)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fault.At(fault.StepDispatch, r.Address, p.countTooLong(conn.explain(err)))
	}
	response.pool, response.stopCancel, response.cancelled = p, stopCancel, ctx.Done()
	return response, nil
}

// roundTrip writes the request and reads the response header. A response may
// arrive even if the request could not be written completely.
func (r *PooledRequest) roundTrip(conn *pooledConn) (*PooledResponse, error) {
	writeErr := r.write(conn)
	conn.watchSilence(r.Silence)
	conn.bounds.awaitHeader()
	for range maxMismatchedResponses {
		response, err := conn.readHeader(r.Method)
		if err != nil {
			if writeErr != nil {
				err = writeErr
			}
			if conn.reused && !conn.bounds.received {
				err = errors.Mark(err, ErrStaleConn)
			}
			return nil, err
		}
		match := r.Match(response.Header)
		if match == MatchUnknown {
			err := errors.Wrapf(ErrResponseUnidentified, "status %d", response.StatusCode)
			if !conn.reused {
				err = errors.Mark(err, ErrNoTarget)
			}
			return nil, err
		}
		if match == MatchOther {
			if err := conn.discardMismatched(response); err != nil {
				return nil, errors.Mark(err, ErrResponseMismatch)
			}
			continue
		}
		conn.bounds.headerComplete()
		return &PooledResponse{
			Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
			conn: conn, body: response.Body, keepAlive: keepAliveTimeout(response.Header),
			reusable: writeErr == nil && !response.Close,
			framed:   response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
			unsent:   writeErr != nil,
		}, nil
	}
	return nil, ErrResponseMismatch
}

// readHeader reads the next response header, skipping 1xx responses.
func (c *pooledConn) readHeader(method string) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		if err := c.bounds.scan.beginHead(c.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.bounds.scan.explain(err)
		}
		if isFinalStatus(response.StatusCode) {
			c.bounds.scan.beginBody(c.reader, response.Body != http.NoBody && len(response.TransferEncoding) > 0)
			return response, nil
		}
		if !isInterimStatus(response.StatusCode) {
			return nil, errors.Wrapf(ErrInvalidStatus, "status %03d", response.StatusCode)
		}
		c.bounds.awaitNextHeader(c.reader.Buffered() > 0)
	}
	return nil, errors.Wrapf(ErrResponseTooLong, "more than %d informational responses", maxInformationalResponses)
}

// isFinalStatus reports whether a status is that of a response.
func isFinalStatus(status int) bool {
	const maxStatus = 599
	return status >= http.StatusOK && status <= maxStatus
}

// isInterimStatus reports whether a response with the status may precede the final one. No
// request asks for another protocol, and no other 1xx status is defined.
func isInterimStatus(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// discardMismatched reads a response to another request up to the next header.
func (c *pooledConn) discardMismatched(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("mismatched response is delimited only by the end of the connection")
	}
	headerBytesLeft := c.bounds.left
	c.bounds.left = maxMismatchedBytes
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		err = errors.Wrapf(ErrResponseTooLong, "mismatched response of at least %d bytes", maxMismatchedBytes)
	}
	if err == nil {
		err = c.bounds.scan.err
	}
	c.bounds.left = headerBytesLeft
	c.bounds.awaitNextHeader(c.reader.Buffered() > 0)
	return err
}

// write writes the request; its Content-Length is generated here.
func (r *PooledRequest) write(conn *pooledConn) error {
	w := bufio.NewWriterSize(conn.conn, max(readBufferBytes, min(len(r.Body)+readBufferBytes, 64<<10)))
	for _, part := range []string{r.Method, " ", r.URI, " HTTP/1.1\r\n"} {
		_, _ = w.WriteString(part)
	}
	for _, field := range r.Header {
		_, _ = w.WriteString(field.Name)
		_, _ = w.WriteString(": ")
		_, _ = w.WriteString(field.Value)
		_, _ = w.WriteString("\r\n")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.Body)))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	// bufio.Writer keeps the first error.
	return w.Flush()
}

// keepAliveTimeout returns the target's idle timeout from the Keep-Alive field;
// 0 if not given.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second, time.Nanosecond)
		}
	}
	return 0
}

// IsFramed reports whether the header determines where the body ends. If not, a
// body that was cut off cannot be told from a complete one.
func (r *PooledResponse) IsFramed() bool { return r.framed }

// ConnOpenedAt returns when the connection was established, possibly for an
// earlier request.
func (r *PooledResponse) ConnOpenedAt() time.Time { return r.conn.openedAt }

// Read implements io.Reader for the body. It returns io.EOF only at the regular
// end of the body.
//
// A body that ends with its connection is not complete if the request could not be written: the
// failed write has taken the reset from the socket, so that the read finds an orderly end.
func (r *PooledResponse) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	err = r.conn.bounds.scan.explain(err)
	if err == io.EOF && r.unsent && !r.framed {
		err = errors.Wrap(io.ErrUnexpectedEOF, "response ended with its connection before the request was written")
	}
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, r.conn.explain(err)
}

// WatchSilence replaces the watch for silence, starting now.
func (r *PooledResponse) WatchSilence(w SilenceWatch) { r.conn.watchSilence(w) }

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing followed it. Otherwise it is closed, which makes the target
// cancel the request.
func (r *PooledResponse) Close() {
	r.unreserve()
	r.pool.end(r.conn)
	if !r.stopCancel() {
		return
	}
	if !r.bodyComplete || !r.reusable || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.WatchSilence(SilenceWatch{})
	r.pool.release(r.conn, r.keepAlive)
}
