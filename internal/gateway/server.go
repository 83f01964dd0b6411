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
	// base is the parent of all requests.
	base context.Context
	stop context.CancelFunc
}

// NewServer returns a server for the gateway.
func NewServer(g *Gateway) *Server {
	s := &Server{gateway: g}
	s.base, s.stop = context.WithCancel(context.Background())
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.unreadable,
		HeaderReceived:               s.bodyBounds,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		Concurrency:                  maxConnections,
		ReduceMemoryUsage:            true,
		// Errors would quote the header otherwise, with the caller's key.
		SecureErrorLogMessage:         true,
		Logger:                        quietLogger{},
		DisableHeaderNamesNormalizing: false,
	}
	return s
}

// quietLogger drops the library's lines about single connections.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.server.Serve(&listener{Listener: l, timeouts: timeouts{idle: s.idleTimeout, header: s.headerTimeout}})
}

// Shutdown stops accepting connections, closes unused ones and waits for the
// requests under way; when the context ends first it cuts them.
func (s *Server) Shutdown(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.stop)()
	return s.server.ShutdownWithContext(ctx)
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.server.GetOpenConnectionsCount()) }

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

// bodyBounds is called between the header and the body of a request.
func (s *Server) bodyBounds(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	bounds := fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
	if c := s.gateway.Catalog.Current(); c != nil {
		bounds.MaxRequestBodySize = c.Limits.MaxBodyBytes
	}
	return bounds
}

// headerTooLong reports whether the header exceeds the configuration's bound.
func (s *Server) headerTooLong(header *fasthttp.RequestHeader) bool {
	c := s.gateway.Catalog.Current()
	return c != nil && c.Limits.MaxHeaderBytes > 0 && len(header.RawHeaders()) > c.Limits.MaxHeaderBytes
}

var errHeaderTooLong = errors.New("the header is longer than the configuration allows")

// unreadable answers a request that could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status := unreadableStatus(err)
	s.gateway.Logger.Info("request unreadable", zap.Int("status", status), eventlog.ErrorField(err),
		zap.Stringer("caller", ctx.RemoteAddr()))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func unreadableStatus(err error) int {
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
	if s.headerTooLong(&ctx.Request.Header) {
		s.unreadable(ctx, errHeaderTooLong)
		return
	}
	conn, _ := ctx.Conn().(*callerConn)
	call := s.read(ctx)
	running, cancel := context.WithCancel(s.base)
	if conn != nil {
		conn.Watch(cancel)
	}
	end := func() {
		cancel()
		if conn != nil {
			conn.Unwatch()
		}
	}
	answer := s.gateway.Serve(running, call)
	if s.gateway.Draining() {
		ctx.SetConnectionClose()
	}
	if answer == nil {
		// The caller has gone; nobody reads an answer.
		end()
		ctx.SetStatusCode(statusCallerGone)
		ctx.SetConnectionClose()
		return
	}
	answer.write(ctx, end)
}

// statusCallerGone fills the place of an answer that nobody reads.
const statusCallerGone = 499

// read copies the request out of the library's buffers.
func (s *Server) read(ctx *fasthttp.RequestCtx) *Call {
	header := &ctx.Request.Header
	call := &Call{
		Received: s.gateway.Clock.Now(),
		Method:   string(header.Method()),
		URI:      string(header.RequestURI()),
		Host:     string(header.Host()),
		Body:     append([]byte(nil), ctx.Request.Body()...),
	}
	call.Declared = s.gateway.Protocol.ReadCaller(func(name string) string {
		return string(header.Peek(name))
	})
	named := connectionFields(string(header.Peek("Connection")))
	for name, value := range header.All() {
		field := dispatch.Field{Name: string(name), Value: string(value)}
		if !hopByHop(field.Name) && !named[canonical(field.Name)] && s.gateway.Protocol.Forwarded(field.Name) {
			call.Header = append(call.Header, field)
		}
	}
	return call
}
