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

// maxMismatchedResponses bounds the answers to other requests that are skipped on one
// connection before it is given up.
const maxMismatchedResponses = 3

// maxMismatchedBytes bounds the body of an answer that is skipped.
const maxMismatchedBytes = 1 << 20

// Errors of an exchange on a kept connection.
var (
	// ErrResponseMismatch means that only answers to other requests came.
	ErrResponseMismatch = errors.New("the target answered other requests only")
	// ErrStaleConn means that a kept connection ended before any byte of an answer.
	// The request may have run all the same.
	ErrStaleConn = errors.New("the kept connection ended before an answer")
)

// PooledRequest is one request on a connection of a Pool.
type PooledRequest struct {
	// Address is the target's "ip:port".
	Address string
	Method  string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Header []Field
	Body   []byte
	// RequireFreshConn demands a new connection or one used lately, since a connection
	// that is closed meanwhile leaves open whether the request ran.
	RequireFreshConn bool
	// ReadTimeout bounds the wait for the answer's header; 0 leaves it to the
	// context.
	ReadTimeout time.Duration
	// MatchesRequest tells whether an answer belongs to the request.
	MatchesRequest func(http.Header) bool
}

// PooledResponse is a target's answer; Close it.
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
	// bodyComplete is set once the body has been read to its regular end.
	bodyComplete, reusable bool
}

// Send sends the request and returns when the answer's header is there. The
// context cancels the exchange, also while the body is read. Errors carry
// fault.StepDispatch and the target; IsNotSent tells the provable case.
func (p *Pool) Send(ctx context.Context, r *PooledRequest) (*PooledResponse, error) {
	conn, err := p.acquire(ctx, r.Address, r.RequireFreshConn)
	if err != nil {
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	if err := ctx.Err(); err != nil {
		conn.close()
		return nil, fault.At(fault.StepDispatch, r.Address, &NotSentError{err})
	}
	stopCancel := context.AfterFunc(ctx, conn.close)
	response, err := r.roundTrip(conn)
	if err != nil {
		stopCancel()
		conn.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fault.At(fault.StepDispatch, r.Address, err)
	}
	response.pool, response.stopCancel = p, stopCancel
	return response, nil
}

// roundTrip writes the request and reads the answer's header. An answer may come
// although the request could not be written to its end.
func (r *PooledRequest) roundTrip(conn *pooledConn) (*PooledResponse, error) {
	writeErr := r.write(conn)
	if r.ReadTimeout > 0 {
		_ = conn.conn.SetReadDeadline(time.Now().Add(r.ReadTimeout))
	}
	for range maxMismatchedResponses {
		response, err := readHeader(conn.reader, r.Method)
		if err != nil {
			if writeErr != nil {
				err = writeErr
			}
			if conn.reused {
				err = errors.Mark(err, ErrStaleConn)
			}
			return nil, err
		}
		if !r.MatchesRequest(response.Header) {
			if err := discardResponse(response); err != nil {
				return nil, errors.Mark(err, ErrResponseMismatch)
			}
			continue
		}
		return &PooledResponse{
			Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
			conn: conn, body: response.Body, keepAlive: keepAliveTimeout(response.Header),
			reusable: writeErr == nil && !response.Close,
		}, nil
	}
	return nil, ErrResponseMismatch
}

// readHeader reads the header of the next final answer.
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func discardResponse(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("an answer to another request ends with the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		err = errors.New("an answer to another request is too long")
	}
	return err
}

// write sends the request; its framing is the system's own.
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
	// The writer keeps the first error.
	return w.Flush()
}

// keepAliveTimeout reads how long the target keeps an unused connection; 0 when it
// does not say.
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

// Read implements io.Reader for the body. It returns io.EOF only at the body's
// regular end.
func (r *PooledResponse) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, err
}

// SetReadTimeout bounds the wait for the next bytes of the body; 0 sets no bound.
func (r *PooledResponse) SetReadTimeout(timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = r.conn.conn.SetReadDeadline(deadline)
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing came after it; otherwise it is closed, at which the
// target drops what it still runs.
func (r *PooledResponse) Close() {
	if !r.stopCancel() {
		return
	}
	if !r.bodyComplete || !r.reusable || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.SetReadTimeout(0)
	r.pool.release(r.conn, r.keepAlive)
}
