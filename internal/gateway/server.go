package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// maxHeaderBytes bounds a request's header; the configuration's own bound
	// may be lower.
	maxHeaderBytes = 17 << 10
	// maxBodyBytes bounds a request's body before a configuration is known.
	maxBodyBytes = 16 << 20
	// maxConnections bounds callers' connections, within the descriptors that
	// an instance may open.
	maxConnections = 3000
)

// Server is the gateway's HTTP side.
type Server struct {
	gateway *Gateway
	server  *fasthttp.Server
	// baseContext is the parent of all requests.
	baseContext    context.Context
	cancelRequests context.CancelFunc
}

// NewServer returns a server for the gateway.
func NewServer(g *Gateway) *Server {
	s := &Server{gateway: g}
	s.baseContext, s.cancelRequests = context.WithCancel(context.Background())
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		HeaderReceived:               s.requestConfig,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		Concurrency:                  maxConnections,
		ReduceMemoryUsage:            true,
		// Errors would quote the header otherwise, with the caller's key.
		SecureErrorLogMessage:         true,
		Logger:                        discardLogger{},
		DisableHeaderNamesNormalizing: false,
	}
	return s
}

// discardLogger drops the library's lines about single connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.server.Serve(&listener{Listener: l, timeouts: timeouts{idle: s.idleTimeout, header: s.headerTimeout}})
}

// Shutdown stops accepting connections, closes unused ones and waits for the
// requests under way; when the context ends first it cuts them.
func (s *Server) Shutdown(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.cancelRequests)()
	return s.server.ShutdownWithContext(ctx)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.server.GetOpenConnectionsCount()) }

func (s *Server) idleTimeout() time.Duration {
	c := s.gateway.Catalog.Current()
	if c == nil || c.Limits.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return c.Limits.IdleTimeout + timeoutGrace
}

func (s *Server) headerTimeout() time.Duration {
	c := s.gateway.Catalog.Current()
	if c == nil || c.Limits.HeaderTimeout == 0 {
		return defaultHeaderTimeout
	}
	return c.Limits.HeaderTimeout + timeoutGrace
}

// requestConfig is called between the header and the body of a request.
func (s *Server) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := fasthttp.RequestConfig{ReadTimeout: bodyReadTimeout}
	if c := s.gateway.Catalog.Current(); c != nil {
		config.MaxRequestBodySize = c.Limits.BodyBytes
	}
	return config
}

// headerExceedsLimit reports whether the header exceeds the configuration's bound.
func (s *Server) headerExceedsLimit(header *fasthttp.RequestHeader) bool {
	c := s.gateway.Catalog.Current()
	return c != nil && c.Limits.HeaderBytes > 0 && len(header.RawHeaders()) > c.Limits.HeaderBytes
}

var errHeaderTooLong = errors.New("the header is longer than the configuration allows")

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := readErrorStatus(err)
	s.gateway.Logger.Info("request unreadable", zap.Int("status", status), eventlog.Cause(err),
		zap.Stringer("caller", ctx.RemoteAddr()))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func readErrorStatus(err error) int {
	var tooLong *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLong), errors.As(err, &tooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// handle takes one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.headerExceedsLimit(&ctx.Request.Header) {
		s.handleReadError(ctx, errHeaderTooLong)
		return
	}
	conn, _ := ctx.Conn().(*callerConn)
	request := s.readRequest(ctx)
	requestCtx, cancel := context.WithCancel(s.baseContext)
	if conn != nil {
		conn.WatchClose(cancel)
	}
	finish := func() {
		cancel()
		if conn != nil {
			conn.StopWatch()
		}
	}
	response := s.gateway.Serve(requestCtx, request)
	if s.gateway.Draining() {
		ctx.SetConnectionClose()
	}
	if response == nil {
		// The caller has gone; nobody reads an answer.
		finish()
		ctx.SetStatusCode(statusCallerGone)
		ctx.SetConnectionClose()
		return
	}
	response.write(ctx, finish)
}

// statusCallerGone fills the place of an answer that nobody reads.
const statusCallerGone = 499

// readRequest copies the request out of the library's buffers.
func (s *Server) readRequest(ctx *fasthttp.RequestCtx) *Request {
	header := &ctx.Request.Header
	request := &Request{
		ReceivedAt: s.gateway.Clock.Now(),
		Method:     string(header.Method()),
		URI:        string(header.RequestURI()),
		Host:       string(header.Host()),
		Body:       append([]byte(nil), ctx.Request.Body()...),
	}
	request.RequestMetadata = s.gateway.Protocol.ParseRequest(func(name string) string {
		return string(header.Peek(name))
	})
	options := connectionOptions(string(header.Peek("Connection")))
	for name, value := range header.All() {
		field := dispatch.Field{Name: string(name), Value: string(value)}
		if !isHopByHop(field.Name) && !options[canonicalName(field.Name)] && s.gateway.Protocol.IsForwarded(field.Name) {
			request.Header = append(request.Header, field)
		}
	}
	return request
}
