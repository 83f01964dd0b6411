package peer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// StreamHandler serves a stream that another instance has opened, until it returns.
// The stream is closed then, and when the bus is closed.
type StreamHandler func(from string, conn net.Conn)

// HandleStream sets the handler of streams; it must be called before Start.
func (b *NetBus) HandleStream(handler StreamHandler) { b.streamHandler = handler }

// OpenStream opens an authenticated stream of bytes to another instance. Errors
// carry fault.StepPeer and the address.
func (b *NetBus) OpenStream(ctx context.Context, address string) (net.Conn, error) {
	conn, err := b.dialTCP(ctx, "tcp", address)
	if err != nil {
		return nil, fault.At(fault.StepPeer, address, err)
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = callerHandshake(conn, b.secret, b.address, purposeStream)
	if !stopClosing() {
		err = errors.CombineErrors(ctx.Err(), err)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fault.At(fault.StepPeer, address, err)
	}
	return conn, nil
}

func (b *NetBus) serveStream(from string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if b.streamHandler != nil {
		contain.Run(b.logger, "stream of a peer", func() { b.streamHandler(from, conn) })
	}
}
