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

// maxStrays bounds the answers to other requests that are skipped on one
// connection before it is given up.
const maxStrays = 3

// strayBytes bounds the body of an answer that is skipped.
const strayBytes = 1 << 20

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

	pool *Pool
	link *link
	body io.ReadCloser
	keep time.Duration
	stop func() bool
	// whole is set once the body has been read to its regular end.
	whole, reusable bool
}

// Send sends the request and returns when the answer's header is there. The
// context cancels the exchange, also while the body is read. Errors carry
// fault.StepDispatch and the target; IsNotSent tells the provable case.
func (p *Pool) Send(ctx context.Context, x *PooledRequest) (*PooledResponse, error) {
	l, err := p.take(ctx, x.Address, x.RequireFreshConn)
	if err != nil {
		return nil, fault.At(fault.StepDispatch, x.Address, &NotSentError{err})
	}
	if err := ctx.Err(); err != nil {
		l.close()
		return nil, fault.At(fault.StepDispatch, x.Address, &NotSentError{err})
	}
	stop := context.AfterFunc(ctx, l.close)
	reply, err := x.run(l)
	if err != nil {
		stop()
		l.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fault.At(fault.StepDispatch, x.Address, err)
	}
	reply.pool, reply.stop = p, stop
	return reply, nil
}

// run writes the request and reads the answer's header. An answer may come
// although the request could not be written to its end.
func (x *PooledRequest) run(l *link) (*PooledResponse, error) {
	writeErr := x.write(l)
	if x.ReadTimeout > 0 {
		_ = l.conn.SetReadDeadline(time.Now().Add(x.ReadTimeout))
	}
	for range maxStrays {
		response, err := readHead(l.reader, x.Method)
		if err != nil {
			if writeErr != nil {
				err = writeErr
			}
			if l.used {
				err = errors.Mark(err, ErrStaleConn)
			}
			return nil, err
		}
		if !x.MatchesRequest(response.Header) {
			if err := skip(response); err != nil {
				return nil, errors.Mark(err, ErrResponseMismatch)
			}
			continue
		}
		return &PooledResponse{
			Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
			link: l, body: response.Body, keep: keepTime(response.Header),
			reusable: writeErr == nil && !response.Close,
		}, nil
	}
	return nil, ErrResponseMismatch
}

// readHead reads the header of the next final answer.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
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

func skip(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("an answer to another request ends with the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes))
	if err == nil && n == strayBytes {
		err = errors.New("an answer to another request is too long")
	}
	return err
}

// write sends the request; its framing is the system's own.
func (x *PooledRequest) write(l *link) error {
	w := bufio.NewWriterSize(l.conn, max(readBufferBytes, min(len(x.Body)+readBufferBytes, 64<<10)))
	for _, part := range []string{x.Method, " ", x.URI, " HTTP/1.1\r\n"} {
		_, _ = w.WriteString(part)
	}
	for _, field := range x.Header {
		_, _ = w.WriteString(field.Name)
		_, _ = w.WriteString(": ")
		_, _ = w.WriteString(field.Value)
		_, _ = w.WriteString("\r\n")
	}
	if len(x.Body) > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(x.Body)))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(x.Body)
	// The writer keeps the first error.
	return w.Flush()
}

// keepTime reads how long the target keeps an unused connection; 0 when it
// does not say.
func keepTime(header http.Header) time.Duration {
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
		r.whole = true
	}
	return n, err
}

// SetReadTimeout bounds the wait for the next bytes of the body; 0 sets no bound.
func (r *PooledResponse) SetReadTimeout(wait time.Duration) {
	var until time.Time
	if wait > 0 {
		until = time.Now().Add(wait)
	}
	_ = r.link.conn.SetReadDeadline(until)
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing came after it; otherwise it is closed, at which the
// target drops what it still runs.
func (r *PooledResponse) Close() {
	if !r.stop() {
		return
	}
	if !r.whole || !r.reusable || r.link.reader.Buffered() > 0 {
		r.link.close()
		return
	}
	r.SetReadTimeout(0)
	r.pool.put(r.link, r.keep)
}
