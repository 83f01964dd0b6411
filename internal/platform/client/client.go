// Package client calls the operator's platform over HTTP/1.1.
//
// Its one hard duty is to say truthfully what is known of a write. Only a
// failure that precedes the first byte (no connection) and an explicit 503
// count as platform.ErrUnavailable. Once a byte of a write may have left, any
// failure is platform.ErrOutcomeUnknown, and the client never sends the
// request a second time by itself; the caller reads back. Reads have no
// effect, so all their failures are platform.ErrUnavailable.
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
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// maxIdleConnTime is how long an unused connection is kept. It is short
	// since a connection that the platform has closed makes the outcome of
	// the next write unknown.
	maxIdleConnTime = 2 * time.Second
	// maxConnections bounds the connections to the platform.
	maxConnections = 64
	// maxResponseBytes bounds the body of one answer.
	maxResponseBytes = 64 << 20
)

// Client implements platform.Platform.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *fasthttp.HostClient
}

var _ platform.Platform = (*Client)(nil)

// dialError marks a failure that precedes the first byte of a request.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// requestError is one of package platform's errors with what led to it.
type requestError struct {
	kind  error
	cause error
}

func (e *requestError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap makes both the kind and the cause visible to errors.Is.
func (e *requestError) Unwrap() []error { return []error{e.kind, e.cause} }

// New returns a client for the platform at baseURL, such as
// "http://10.0.0.1:8080". Each call ends after timeout, or at the deadline of
// its context when that is earlier; it does not watch for cancellation.
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

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// neverRetry switches off the library's own second attempts.
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
	return conn, nil
}

// hostPort returns host:port of a base URL, with the scheme's default port.
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

// httpResponse is a copied answer.
type httpResponse struct {
	status int
	body   []byte
}

// do sends one request. isWrite decides how a failure after the first byte
// is reported.
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

func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(limit) {
		return ctxDeadline
	}
	return limit
}

// classify turns a transport error into one of package platform's.
func classify(err error, isWrite bool) error {
	var dial *dialError
	if !isWrite || errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &requestError{kind: platform.ErrUnavailable, cause: err}
	}
	return &requestError{kind: platform.ErrOutcomeUnknown, cause: err}
}

func (c *Client) wrap(err error) error {
	return fault.At(fault.StepPlatform, c.http.Addr, err)
}

// unexpectedStatus reports an answer outside the protocol. For a write nothing can
// be proved from it.
func (c *Client) unexpectedStatus(r httpResponse, isWrite bool) error {
	kind := platform.ErrUnavailable
	if isWrite {
		kind = platform.ErrOutcomeUnknown
	}
	return c.wrap(&requestError{kind: kind, cause: errors.Newf("unexpected status %d", r.status)})
}

// decode reads a JSON answer; a broken one is no answer.
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
