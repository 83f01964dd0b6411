package peer

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
)

// codeHandlerError is the jsonrpc2 code of errors returned by a CallHandler.
const codeHandlerError = -32000

// errHandlerPanicked is the response to a call whose handler panicked.
var errHandlerPanicked = errors.New("internal error")

// acceptConnections accepts connections until the bus is closed. Connections above
// maxHandshakes are closed.
func (b *NetBus) acceptConnections() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		select {
		case b.handshakeSlots <- struct{}{}:
			if !b.spawn(func() { b.serveConn(conn) }) {
				_ = conn.Close()
				<-b.handshakeSlots
			}
		default:
			_ = conn.Close()
		}
	}
}

// serveConn authenticates one connection and serves its calls until it is closed.
func (b *NetBus) serveConn(conn net.Conn) {
	if !b.trackIncoming(conn) {
		_ = conn.Close()
		<-b.handshakeSlots
		return
	}
	defer b.untrackIncoming(conn)
	callerAddress, p, err := listenerHandshake(conn, b.secret)
	<-b.handshakeSlots
	if err != nil {
		_ = conn.Close()
		b.logger.Warn("peer refused", zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
		return
	}
	if p == purposeStream {
		b.serveStream(callerAddress, conn)
		return
	}
	handler := &callServer{bus: b, callerAddress: callerAddress, callSlots: make(chan struct{}, maxConcurrentCalls)}
	stream := jsonrpc2.NewBufferedStream(&timedConn{Conn: conn}, messageCodec{})
	rpc := jsonrpc2.NewConn(b.ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
}

func (b *NetBus) trackIncoming(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.incoming[conn] = struct{}{}
	return true
}

func (b *NetBus) untrackIncoming(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.incoming, conn)
}

// callServer serves the calls of one connection, up to maxConcurrentCalls at a time.
type callServer struct {
	bus           *NetBus
	callerAddress string
	callSlots     chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (s *callServer) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	select {
	case s.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.bus.spawn(func() {
		defer func() { <-s.callSlots }()
		s.handleCall(ctx, conn, request)
	})
}

func (s *callServer) handleCall(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler := s.bus.callHandlers[request.Method]
	if handler == nil {
		s.reply(ctx, conn, request, nil, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method,
		})
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := any(nil), errHandlerPanicked
	contain.Run(s.bus.logger, "call of a peer", func() { result, err = handler(ctx, s.callerAddress, params) })
	if err != nil {
		s.reply(ctx, conn, request, nil, &jsonrpc2.Error{Code: codeHandlerError, Message: err.Error()})
		return
	}
	s.reply(ctx, conn, request, result, nil)
}

// reply sends the result or the error of a call. If neither can be sent, the
// connection is closed and the caller gets ErrResponseLost.
func (s *callServer) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any, callErr *jsonrpc2.Error) {
	if request.Notif {
		return
	}
	if callErr == nil {
		if err := conn.Reply(ctx, request.ID, result); err == nil {
			return
		}
		callErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "the answer cannot be sent"}
	}
	if err := conn.ReplyWithError(ctx, request.ID, callErr); err != nil {
		_ = conn.Close()
	}
}
