// Package client implements platform.Platform over HTTP/1.1.
//
// Its errors state what is known about a write. Only a failure before the
// first byte was sent (no connection) and a response with status 503 are
// platform.ErrUnavailable. Once a byte of a write may have been sent, any
// failure is platform.ErrOutcomeUnknown, and the client never retries the
// request; the caller has to read the row back. Reads have no effect, so all
// their failures are platform.ErrUnavailable.
package client

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/headscan"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// maxIdleConnTime is how long an unused connection is kept open. It is
	// short because writing to a connection that the platform has closed
	// makes the outcome of the write unknown.
	maxIdleConnTime = 2 * time.Second
	// maxConnections limits the connections to the platform.
	maxConnections = 64
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// Client implements platform.Platform.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *fasthttp.HostClient
}

var _ platform.Platform = (*Client)(nil)

// dialError is a failure to connect, before any byte of a request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// requestError combines an error of package platform (kind) with its cause.
type requestError struct {
	kind  error
	cause error
}

func (e *requestError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap makes both the kind and the cause visible to errors.Is.
func (e *requestError) Unwrap() []error { return []error{e.kind, e.cause} }

// New returns a client for the platform at baseURL, such as
// "http://10.0.0.1:8080". A request ends after timeout, or at the deadline of
// its context if that is earlier; cancellation of the context does not end
// it.
func New(baseURL string, timeout time.Duration) *Client {
	base := strings.TrimSuffix(baseURL, "/")
	c := &Client{baseURL: base, timeout: timeout}
	c.http = &fasthttp.HostClient{
		Addr:                      hostPort(base),
		IsTLS:                     strings.HasPrefix(base, "https://"),
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       maxIdleConnTime,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		DialTimeout:               c.dial,
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// neverRetry disables the retries of the fasthttp library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > c.timeout {
		timeout = c.timeout
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	if c.http.IsTLS {
		// What is read here is encrypted.
		return conn, nil
	}
	return &headscan.Conn{Conn: conn}, nil
}

// hostPort returns the host and port of a base URL, with the default port of
// its scheme.
func hostPort(baseURL string) string {
	u, err := url.Parse(baseURL)
	if err != nil {
		return baseURL
	}
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// httpResponse is a copy of a response, which remains valid after the library
// reuses its buffers.
type httpResponse struct {
	status int
	body   []byte
}

// do sends one request. isWrite selects the error for a failure after the
// first byte was sent.
func (c *Client) do(ctx context.Context, method, path string, body []byte, isWrite bool) (httpResponse, error) {
	if ctx.Err() != nil {
		return httpResponse{}, c.wrap(platform.ErrUnavailable)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + path)
	request.URI().DisablePathNormalizing = true
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := c.http.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return httpResponse{}, c.wrap(classify(err, isWrite))
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return httpResponse{}, c.wrap(platform.ErrUnavailable)
	}
	return httpResponse{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}, nil
}

// deadline returns the deadline of the context or the client's timeout,
// whichever is earlier.
func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(limit) {
		return ctxDeadline
	}
	return limit
}

// classify converts a transport error to an error of package platform.
func classify(err error, isWrite bool) error {
	var dial *dialError
	if !isWrite || errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &requestError{kind: platform.ErrUnavailable, cause: err}
	}
	return &requestError{kind: platform.ErrOutcomeUnknown, cause: err}
}

// wrap adds the step and the address of the platform to an error.
func (c *Client) wrap(err error) error {
	return fault.At(fault.StepPlatform, c.http.Addr, err)
}

// unexpectedStatus returns the error for a status outside of the protocol.
// For a write the outcome is unknown.
func (c *Client) unexpectedStatus(r httpResponse, isWrite bool) error {
	kind := platform.ErrUnavailable
	if isWrite {
		kind = platform.ErrOutcomeUnknown
	}
	return c.wrap(&requestError{kind: kind, cause: errors.Newf("unexpected status %d", r.status)})
}

// decode decodes a JSON response; a malformed body is
// platform.ErrUnavailable.
func (c *Client) decode(r httpResponse, into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return c.wrap(&requestError{kind: platform.ErrUnavailable, cause: err})
	}
	return nil
}

func tablePath(table string) string { return "/tables/" + url.PathEscape(table) }

func scanPath(table, prefix string, limit int) string {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	return tablePath(table) + "?" + query.Encode()
}

func objectPath(name string) string { return "/objects/" + url.PathEscape(name) }
