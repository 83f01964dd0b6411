package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

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
		Handler:                       s.handle,
		ErrorHandler:                  s.unreadable,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                maxHeaderBytes,
		MaxRequestBodySize:            maxBodyBytes,
		Concurrency:                   maxConnections,
		ReduceMemoryUsage:             true,
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
	return s.server.Serve(&listener{Listener: l, idleTimeout: s.idleTimeout})
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
	return c.Limits.IdleTimeout + idleGrace
}

// unreadable answers a request that could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusBadRequest
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		status = http.StatusRequestHeaderFieldsTooLarge
	case net.Error:
		status = http.StatusRequestTimeout
	}
	if err == fasthttp.ErrBodyTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	s.gateway.Logger.Info("request unreadable", zap.Int("status", status), eventlog.Cause(err),
		zap.Stringer("caller", ctx.RemoteAddr()))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// handle takes one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
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
