package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// Limits of calls.
const (
	dialTimeout = 2 * time.Second
	// writeTimeout closes a connection whose peer has stopped reading.
	writeTimeout = 2 * time.Second
	// callTimeout is the timeout of calls whose context has no deadline.
	callTimeout = 30 * time.Second
	// silenceTimeout is how long calls that timed out or were cancelled must have
	// waited, one or several in a row and with no byte read from their connection,
	// before later calls use a new connection.
	silenceTimeout = 2 * time.Second
	// maxMessageBytes bounds one message.
	maxMessageBytes = 16 << 20
	// maxConcurrentCalls bounds the concurrent calls of one incoming connection; no
	// further message is read from it meanwhile.
	maxConcurrentCalls = 256
)

// ErrResponseLost means that the connection was lost before the response; the call
// may have been executed.
var ErrResponseLost = errors.New("peer: connection lost before the response")

// messageCodec prefixes each JSON message with its length in four bytes,
// big-endian.
type messageCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (messageCodec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > maxMessageBytes {
		return errors.Newf("peer: message of %d bytes is too long", len(body))
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (messageCodec) ReadObject(r *bufio.Reader, v any) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return errors.Newf("peer: message of %d bytes is too long", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// timedConn sets a deadline for each write and records the time of the last read.
type timedConn struct {
	net.Conn
	lastReadNanos atomic.Int64
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	transferredBytes.Add(uint64(n))
	return n, err
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReadNanos.Store(time.Now().UnixNano())
		transferredBytes.Add(uint64(n))
	}
	return n, err
}

// link is the outgoing connection to one peer. The first call that needs it dials;
// concurrent calls wait for the same attempt.
type link struct {
	dialOnce      sync.Once
	lastUsedNanos atomic.Int64
	// silentSinceNanos is the start of the first of the calls that ended without a byte
	// read since; 0 before the first one.
	silentSinceNanos atomic.Int64
	// ready is closed once conn, rpc and err are set.
	ready chan struct{}
	conn  *timedConn
	rpc   *jsonrpc2.Conn
	err   error
}

func (l *link) idleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.lastUsedNanos.Load()))
}

// silentFor returns how long nothing has been read while calls waited, given when the
// last of them started, which has ended without a response.
func (l *link) silentFor(started time.Time) time.Duration {
	lastRead, since := l.conn.lastReadNanos.Load(), l.silentSinceNanos.Load()
	if since == 0 || lastRead >= since {
		since = started.UnixNano()
		l.silentSinceNanos.Store(since)
	}
	if lastRead >= since {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

func (l *link) close() {
	select {
	case <-l.ready:
		if l.rpc != nil {
			_ = l.rpc.Close()
		}
	default:
	}
}

// isBroken reports whether the link can be used for no further call.
func (l *link) isBroken() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return true
	}
	select {
	case <-l.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Call implements Bus. ErrUnreachable means that the call was not sent. After any
// other error the call may have been executed, unless the error was returned by
// the peer.
func (b *NetBus) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	l, err := b.openLink(ctx, address)
	if err != nil {
		return fault.At(fault.StepPeer, address, errors.WithSecondaryError(ErrUnreachable, err))
	}
	started := time.Now()
	err = l.rpc.Call(ctx, method, params, result)
	l.lastUsedNanos.Store(b.clock.Now().UnixNano())
	if ctx.Err() != nil && l.silentFor(started) > silenceTimeout {
		b.dropLink(address, l)
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = ErrResponseLost
	}
	return fault.At(fault.StepPeer, address, err)
}

// openLink returns a usable link to the peer and dials if there is none.
func (b *NetBus) openLink(ctx context.Context, address string) (*link, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return nil, net.ErrClosed
	}
	l := b.links[address]
	if l == nil || l.isBroken() {
		l = &link{ready: make(chan struct{})}
		l.lastUsedNanos.Store(b.clock.Now().UnixNano())
		b.links[address] = l
	}
	b.mu.Unlock()
	l.dialOnce.Do(func() {
		if !b.spawn(func() { b.dial(l, address) }) {
			l.err = net.ErrClosed
			close(l.ready)
		}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ready:
		return l, l.err
	}
}

func (b *NetBus) dial(l *link, address string) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(b.ctx, dialTimeout)
	defer cancel()
	conn, err := b.dialTCP(ctx, "tcp", address)
	if err != nil {
		l.err = err
		return
	}
	// A suspended peer accepts connections but sends nothing.
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = callerHandshake(conn, b.secret, b.address, purposeCalls)
	if !stopClosing() {
		err = errors.CombineErrors(ctx.Err(), err)
	}
	if err != nil {
		_ = conn.Close()
		l.err = err
		b.logger.Warn("peer handshake failed", zap.String("peer", address), zap.Error(err))
		return
	}
	l.conn = &timedConn{Conn: conn}
	l.rpc = jsonrpc2.NewConn(b.ctx, jsonrpc2.NewBufferedStream(l.conn, messageCodec{}), rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
}

func (b *NetBus) dropLink(address string, l *link) {
	b.mu.Lock()
	if b.links[address] == l {
		delete(b.links, address)
	}
	b.mu.Unlock()
	l.close()
}

// rejectCalls closes the connection on any call: a listener does not call its
// caller on the caller's connection.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}

// discardLogger discards the log lines of the library; the bus logs failed
// handshakes itself.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
