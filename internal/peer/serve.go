package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

const (
	// acceptPause is the wait after a failed accept.
	acceptPause = 50 * time.Millisecond
	// codeHandler marks errors returned by a call's handler.
	codeHandler = -32000
)

// accept admits connections until the listener is closed.
func (b *NetBus) accept() {
	for {
		conn, err := b.listener.Accept()
		if b.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			b.pause()
			continue
		}
		select {
		case b.handshakes <- struct{}{}:
			if !b.spawn(func() { b.serve(conn) }) {
				_ = conn.Close()
				<-b.handshakes
			}
		default:
			_ = conn.Close()
		}
	}
}

// pause keeps a failing accept, as for want of descriptors, from spinning.
func (b *NetBus) pause() {
	select {
	case <-b.ctx.Done():
	case <-b.clock.After(acceptPause):
	}
}

// serve authenticates one connection and answers its calls until it ends.
func (b *NetBus) serve(conn net.Conn) {
	if !b.track(conn) {
		_ = conn.Close()
		<-b.handshakes
		return
	}
	defer b.untrack(conn)
	from, err := admit(conn, b.secret)
	<-b.handshakes
	if err != nil {
		_ = conn.Close()
		b.logger.Warn("peer refused", zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
		return
	}
	handler := &server{bus: b, from: from, slots: make(chan struct{}, maxServing)}
	stream := jsonrpc2.NewBufferedStream(&timedConn{Conn: conn}, codec{})
	rpc := jsonrpc2.NewConn(b.ctx, stream, handler, jsonrpc2.SetLogger(quiet{}))
	<-rpc.DisconnectNotify()
}

func (b *NetBus) track(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.incoming[conn] = struct{}{}
	return true
}

func (b *NetBus) untrack(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.incoming, conn)
}

// server answers the calls of one connection, up to maxServing at once.
type server struct {
	bus   *NetBus
	from  string
	slots chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (s *server) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.bus.spawn(func() {
		defer func() { <-s.slots }()
		s.answer(ctx, conn, request)
	})
}

func (s *server) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler := s.bus.calls[request.Method]
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
	result, err := handler(ctx, s.from, params)
	if err != nil {
		s.reply(ctx, conn, request, nil, &jsonrpc2.Error{Code: codeHandler, Message: err.Error()})
		return
	}
	s.reply(ctx, conn, request, result, nil)
}

// reply sends the answer; one that cannot be sent is lost with the connection,
// which the caller learns as ErrAnswerLost.
func (s *server) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any, failed *jsonrpc2.Error) {
	if request.Notif {
		return
	}
	if failed == nil {
		if err := conn.Reply(ctx, request.ID, result); err == nil {
			return
		}
		failed = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "the answer cannot be sent"}
	}
	if err := conn.ReplyWithError(ctx, request.ID, failed); err != nil {
		_ = conn.Close()
	}
}
