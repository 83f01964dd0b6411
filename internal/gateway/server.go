package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// maxHeaderBytes bounds a request header; the configured limit may be lower.
	maxHeaderBytes = 17 << 10
	// maxBodyBytes bounds a request body until a configuration is known.
	maxBodyBytes = 16 << 20
	// maxConfiguredBodyBytes bounds the operator's limit on request bodies, and longestBodyShare is the
	// part of the instance's memory that the buffer of one may take: it is allocated at once by the
	// length that a caller states, and the only request is received whatever its size.
	maxConfiguredBodyBytes = 1 << 30
	longestBodyShare       = 0.5
	// maxConnections bounds callers' connections; connectionLimit may be lower.
	maxConnections = 3000
	// maxPooledBody is the size up to which buffers of bodies are reused.
	maxPooledBody = 64 << 10
	// finalResponseTime bounds the writing of the responses to requests that are
	// cancelled at the end of a shutdown.
	finalResponseTime = 100 * time.Millisecond
)

// errStopping is the cause of the cancellation of requests at the end of a
// shutdown.
var errStopping = errors.New("the instance is stopping")

// Server is the HTTP server of a gateway.
type Server struct {
	gateway *Gateway
	server  *fasthttp.Server
	// baseContext is the parent of all request contexts.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc
	// conns counts the open connections. The server's own count is one too low after a
	// shutdown that has timed out.
	conns connCounts
	// callers bounds the callers' memory and connections.
	callers *callers
	// memoryLimit is the instance's memory in bytes; 0 if it is not bounded.
	memoryLimit atomic.Int64
}

// NewServer returns a server for the gateway.
func NewServer(g *Gateway) *Server {
	s := &Server{gateway: g, callers: newCallers(g.Counters, g.Logger)}
	// Long bodies are not kept for reuse, where nothing counts them.
	fasthttp.SetBodySizePoolLimit(maxPooledBody, -1)
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
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
		// Error messages would otherwise quote the header, which holds the API key.
		SecureErrorLogMessage:         true,
		Logger:                        discardLogger{},
		DisableHeaderNamesNormalizing: false,
	}
	return s
}

// discardLogger drops fasthttp's log lines about single connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.server.Serve(&listener{
		Listener: l, timeouts: timeouts{idle: s.idleTimeout, header: s.headerTimeout}, callers: s.callers, maxBody: s.longestBody,
		counts: &s.conns, gateway: s.gateway, smallBuffers: s.limitUnread(l),
	})
}

// limitUnread limits what the system holds unread of callers' connections, and reports whether it
// has.
func (s *Server) limitUnread(l net.Listener) bool {
	system, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err == nil {
		err = limitUnread(raw, receiveBuffer, acceptBacklog)
	}
	if err != nil {
		s.gateway.Logger.Warn("failed to limit receive buffers of callers", eventlog.ErrorField(err))
	}
	return err == nil
}

// SetMemoryLimit bounds the memory for callers' requests by the instance's limit in bytes; 0
// means no bound.
func (s *Server) SetMemoryLimit(bytes int64) {
	s.memoryLimit.Store(bytes)
	s.callers.setMemory(bytes)
}

// longestBody returns the limit on a request body.
func (s *Server) longestBody() int {
	limit := maxBodyBytes
	if c := s.gateway.Catalog.Current(); c != nil && c.Limits().MaxBodyBytes > 0 {
		limit = min(c.Limits().MaxBodyBytes, maxConfiguredBodyBytes)
	}
	if memory := s.memoryLimit.Load(); memory > 0 {
		limit = min(limit, largestBody(int64(longestBodyShare*float64(memory))))
	}
	return limit
}

// Shutdown stops accepting connections, closes idle ones and waits for the
// requests in flight. When the context ends, it cancels them and waits up to
// finalResponseTime for their responses to be written.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.ShutdownWithContext(ctx)
	if err == nil {
		limit := lingerTime
		if deadline, ok := ctx.Deadline(); ok {
			limit = min(limit, time.Until(deadline)+finalResponseTime)
		}
		s.awaitClosed(limit)
		return nil
	}
	s.gateway.stopped.Store(true)
	s.cancelRequests(errStopping)
	s.awaitClosed(finalResponseTime)
	return err
}

// awaitClosed waits until all connections are closed, at most for the given time.
func (s *Server) awaitClosed(limit time.Duration) {
	const checkInterval = 5 * time.Millisecond
	giveUp := time.After(limit)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.OpenConnections() > 0 {
		select {
		case <-giveUp:
			return
		case <-ticker.C:
		}
	}
}

// Kill stops accepting connections and cancels the requests in flight without
// waiting for anything.
func (s *Server) Kill() error {
	s.cancelRequests(nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return s.server.ShutdownWithContext(ctx)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.conns.open.Load()) }

func (s *Server) idleTimeout() time.Duration {
	c := s.gateway.Catalog.Current()
	if c == nil || c.Limits().IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return c.Limits().IdleTimeout + timeoutGrace
}

func (s *Server) headerTimeout() time.Duration {
	c := s.gateway.Catalog.Current()
	if c == nil || c.Limits().HeaderTimeout == 0 {
		return defaultHeaderTimeout
	}
	return c.Limits().HeaderTimeout + timeoutGrace
}

// requestConfig returns the limits on a request body; it is called once the
// header has been read.
func (s *Server) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyReadTimeout, MaxRequestBodySize: s.longestBody()}
}

// headerExceedsLimit reports whether the header exceeds the configured limit.
func (s *Server) headerExceedsLimit(header *fasthttp.RequestHeader) bool {
	c := s.gateway.Catalog.Current()
	return c != nil && c.Limits().MaxHeaderBytes > 0 && len(header.RawHeaders()) > c.Limits().MaxHeaderBytes
}

var errHeaderTooLong = errors.New("request header exceeds the configured limit")

// handleReadError responds to a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := readErrorStatus(err)
	if errors.Is(err, errMemoryShort) {
		// It was counted and logged where it was decided. The request has not run.
		ctx.Response.Reset()
		ctx.SetStatusCode(status)
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetConnectionClose()
		return
	}
	s.gateway.Logger.Info("failed to read request", zap.Int("status", status), eventlog.ErrorField(err),
		zap.Stringer("caller", ctx.RemoteAddr()))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func readErrorStatus(err error) int {
	var tooLong *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, errMemoryShort):
		return http.StatusServiceUnavailable
	case errors.Is(err, errReadPanicked):
		return http.StatusInternalServerError
	case errors.Is(err, errHeaderTooLong), errors.As(err, &tooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.headerExceedsLimit(&ctx.Request.Header) {
		s.handleReadError(ctx, errHeaderTooLong)
		return
	}
	conn, _ := ctx.Conn().(*callerConn)
	requestCtx, cancel := context.WithCancelCause(s.baseContext)
	finish := func() {
		cancel(nil)
		if conn != nil {
			conn.StopWatch()
		}
	}
	if !contain.Run(s.gateway.Logger, "request", func() { s.serveRequest(requestCtx, ctx, conn, cancel, finish) }) {
		// Whether a target has run it is not known: this status promises nothing.
		finish()
		ctx.Response.Reset()
		ctx.SetStatusCode(http.StatusBadGateway)
		ctx.SetConnectionClose()
	}
}

// serveRequest serves one request and writes its response, after which finish is called.
func (s *Server) serveRequest(requestCtx context.Context, ctx *fasthttp.RequestCtx, conn *callerConn, cancel context.CancelCauseFunc, finish func()) {
	request := s.readRequest(ctx)
	if conn != nil {
		request.Delivery = conn.delivery(request.ReceivedAt)
		conn.WatchClose(func() { cancel(nil) })
	}
	response, passedOn := s.gateway.Serve(requestCtx, request), false
	defer response.releaseUnless(&passedOn)
	if s.gateway.Draining() || conn != nil && (!conn.mayReuse() || s.callers.leave(conn)) {
		ctx.SetConnectionClose()
	}
	if response == nil {
		// The caller has disconnected; the response is not read.
		finish()
		ctx.SetStatusCode(statusCallerGone)
		ctx.SetConnectionClose()
		return
	}
	response.write(ctx, conn, cancel, finish)
	passedOn = true
}

// statusCallerGone is the status logged for requests whose caller has
// disconnected.
const statusCallerGone = 499

// readRequest copies the header out of fasthttp's buffers. The body stays in them: it may be
// used until the response has been written.
func (s *Server) readRequest(ctx *fasthttp.RequestCtx) *Request {
	header := &ctx.Request.Header
	request := &Request{
		ReceivedAt: s.gateway.Clock.Now(),
		Method:     string(header.Method()),
		URI:        string(header.RequestURI()),
		Host:       string(header.Host()),
		Body:       ctx.Request.Body(),
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
