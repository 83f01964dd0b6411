package dispatch

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

const (
	// maxIdleTime is how long an idle connection is kept if the target announces
	// no shorter timeout.
	maxIdleTime = 8 * time.Second
	// keepAliveMargin is subtracted from the target's timeout, so that a request
	// does not race with the target's close.
	keepAliveMargin = time.Second
	// defaultMaxIdle bounds the idle connections to a target whose own limit is
	// unknown.
	defaultMaxIdle = 8
	// maxFreshIdleTime is the longest idle time of a connection for a request with
	// RequireFreshConn.
	maxFreshIdleTime = time.Second
	// poolDialTimeout bounds the setup of a connection. It covers several round
	// trips between failure domains and the target's own handshake.
	poolDialTimeout = 400 * time.Millisecond
	// readBufferBytes is enough for a response header and a few events.
	readBufferBytes = 4096
	// receiveBuffer is the size in bytes of the receive buffer of a connection to a target. The system
	// may hold that much of a response that is not read on, as its caller does not read; its own
	// buffers grow to many times that.
	receiveBuffer = 64 << 10
)

// Pool keeps idle connections to targets. A connection serves one request at a
// time.
type Pool struct {
	clock clockwork.Clock
	dial  DialFunc
	// relay is nil if there are no other instances to go through.
	relay        Relay
	logger       *zap.Logger
	pathCounters PathCounters
	// tooLong counts the responses that exceeded a bound.
	tooLong atomic.Uint64
	// bufferedBytes is the memory reserved for bodies and held for callers, maxBuffered its
	// bound, in bytes.
	bufferedBytes, maxBuffered atomic.Int64
	// heldMu guards held, the callers that memory is held for, heldForCallers, how much, and releasing,
	// what is released soon: bodies that are being handed over, and memory of callers given up. released
	// is closed when a body that waits may find room; nil if none waits.
	heldMu                    sync.Mutex
	held                      map[*CallerMemory]struct{}
	heldForCallers, releasing int64
	released                  chan struct{}

	// maxIdle is called without mu: it may have to wait for a collection.
	maxIdle func(address string) int

	// mu guards the fields below.
	mu          sync.Mutex
	idle        map[string][]*pooledConn
	openedConns uint64
	// paths are the paths to targets by address, inflight the connections with an
	// exchange.
	paths    map[string]*path
	inflight map[*pooledConn]struct{}
	// leftRelays are the instances that shut down, with the time of the last word.
	leftRelays map[string]time.Time
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	dialer := net.Dialer{KeepAlive: -1, Control: limitReceiveBuffer}
	p := &Pool{
		clock: clock, idle: make(map[string][]*pooledConn), paths: make(map[string]*path), inflight: make(map[*pooledConn]struct{}),
		leftRelays: make(map[string]time.Time),
		logger:     zap.NewNop(),
		maxIdle:    func(string) int { return defaultMaxIdle },
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	p.maxBuffered.Store(maxBufferedBytes)
	return p
}

// SetDial replaces how connections are opened; it must be called before Send.
func (p *Pool) SetDial(dial DialFunc) { p.dial = dial }

// SetMaxIdle sets the function that bounds the idle connections to an address; it must be called before
// Send.
func (p *Pool) SetMaxIdle(maxIdle func(address string) int) { p.maxIdle = maxIdle }

// OpenedConns returns the number of connections opened so far.
func (p *Pool) OpenedConns() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConns
}

// PathCounters returns the counters of paths.
func (p *Pool) PathCounters() *PathCounters { return &p.pathCounters }

// TooLong returns the number of responses so far that exceeded a bound on their
// header or buffered body.
func (p *Pool) TooLong() uint64 { return p.tooLong.Load() }

// countTooLong counts err if it is ErrResponseTooLong, and returns it.
func (p *Pool) countTooLong(err error) error {
	if errors.Is(err, ErrResponseTooLong) {
		p.tooLong.Add(1)
	}
	return err
}

// pooledConn is a connection to a target.
type pooledConn struct {
	conn    net.Conn
	address string
	bounds  boundedReader
	reader  *bufio.Reader
	// openedAt is when the connection was established, lastUsedAt the end of the
	// last request, expiresAt the time after which the connection must not be used.
	openedAt, lastUsedAt, expiresAt time.Time
	// reused is set once the connection has served a request.
	reused  bool
	silence SilenceWatch

	path *path
	// via is the instance that relays the connection; "" if it is direct.
	via string
	// heardNanos is when a byte was last received or the exchange began.
	heardNanos atomic.Int64
	// repeatable and onPathLost belong to the request of the exchange. pathLost is
	// set once it has been ended since the path is lost.
	repeatable bool
	onPathLost func()
	pathLost   atomic.Bool
}

// SilenceWatch reports that a target has not sent what it is waited for. It never
// ends the exchange: a sound target may pause, and go on by itself.
type SilenceWatch struct {
	// After is the time from the start of the watch after which OnSilence is called,
	// and then again after each further such time; 0 means never.
	After time.Duration
	// OnSilence is called by the goroutine that reads the response, and delays it.
	OnSilence func()
}

func (c *pooledConn) watchSilence(w SilenceWatch) {
	c.silence = w
	c.setSilenceDeadline()
}

// setSilenceDeadline sets the time until which reads wait.
func (c *pooledConn) setSilenceDeadline() {
	var deadline time.Time
	if c.silence.After > 0 {
		deadline = time.Now().Add(c.silence.After)
	}
	// It fails on closed connections only, of which the next read tells.
	_ = c.conn.SetReadDeadline(deadline)
}

// Read implements io.Reader. It waits through silences.
func (c *pooledConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.conn.Read(buffer)
		if n > 0 {
			c.heard(time.Now())
		} else if err != nil && c.pathLost.Load() {
			return 0, errors.Mark(err, ErrPathLost)
		}
		if n > 0 || err == nil || c.silence.After == 0 || !isTimeout(err) {
			return n, err
		}
		c.silence.OnSilence()
		c.setSilenceDeadline()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (c *pooledConn) close() { _ = c.conn.Close() }

// heard records that the target has sent something.
func (c *pooledConn) heard(now time.Time) {
	c.heardNanos.Store(now.UnixNano())
	if c.via == "" {
		c.path.heardNanos.Store(now.UnixNano())
	}
}

func (c *pooledConn) heardAt() time.Time { return time.Unix(0, c.heardNanos.Load()) }

// acquire returns an idle connection that is still open and has no pending
// data, or a new one. With requireFresh, an idle one must have been used
// recently.
func (p *Pool) acquire(ctx context.Context, address string, requireFresh bool) (*pooledConn, error) {
	for {
		pooled := p.popIdle(address, requireFresh)
		if pooled == nil {
			break
		}
		if usable(pooled.conn) {
			return pooled, nil
		}
		pooled.close()
	}
	return p.connect(ctx, address)
}

// newConn returns a connection without an exchange.
func (p *Pool) newConn(conn net.Conn, state *path, via string) *pooledConn {
	p.mu.Lock()
	p.openedConns++
	p.mu.Unlock()
	pooled := &pooledConn{conn: conn, address: state.address, openedAt: p.clock.Now(), path: state, via: via}
	pooled.bounds.source = pooled
	pooled.reader = bufio.NewReaderSize(&pooled.bounds, readBufferBytes)
	return pooled
}

// begin registers the exchange of a request on a connection, end ends that.
func (p *Pool) begin(conn *pooledConn, r *PooledRequest) {
	conn.heardNanos.Store(time.Now().UnixNano())
	conn.repeatable, conn.onPathLost = !r.RequireFreshConn, r.OnPathLost
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.path.usedAt = p.clock.Now()
	p.inflight[conn] = struct{}{}
}

func (p *Pool) end(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inflight, conn)
}

// popIdle removes and returns the most recently used connection, or nil if it
// has expired or is not fresh enough.
func (p *Pool) popIdle(address string, requireFresh bool) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	now := p.clock.Now()
	if now.After(conn.expiresAt) || (requireFresh && now.Sub(conn.lastUsedAt) > maxFreshIdleTime) {
		return nil
	}
	conns[len(conns)-1] = nil
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

// release keeps a connection for later requests, for at most the target's idle
// timeout keepAlive; 0 means that none is known.
func (p *Pool) release(conn *pooledConn, keepAlive time.Duration) {
	idleTime := maxIdleTime
	if keepAlive > 0 {
		idleTime = min(idleTime, keepAlive-keepAliveMargin)
	}
	if idleTime <= 0 {
		conn.close()
		return
	}
	conn.reused = true
	conn.lastUsedAt = p.clock.Now()
	conn.expiresAt = conn.lastUsedAt.Add(idleTime)
	if !p.keepIdle(conn) {
		conn.close()
	}
}

// keepIdle keeps an idle connection, and reports whether there is room for it.
func (p *Pool) keepIdle(conn *pooledConn) bool {
	limit := p.maxIdle(conn.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[conn.address]) >= limit || p.hasLeftRelay(conn) {
		return false
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	return true
}

// CloseIdle closes the idle connections to an address, for example because the
// address may be reassigned to another target.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var expired []*pooledConn
	p.mu.Lock()
	for address, conns := range p.idle {
		remaining := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.expiresAt) {
				remaining = append(remaining, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		clear(conns[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
	p.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// usable reports whether the connection is open and has no pending data. Data
// received between two requests belongs to no request.
func usable(conn net.Conn) bool {
	if buffered, ok := conn.(interface{ HasBuffered() bool }); ok && buffered.HasBuffered() {
		return false
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && empty
}
