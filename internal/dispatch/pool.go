package dispatch

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxIdleTime is how long an unused connection is kept where the target
	// states no shorter time.
	maxIdleTime = 8 * time.Second
	// keepAliveMargin is taken off the time that a target states, so that its close
	// does not cross a request.
	keepAliveMargin = time.Second
	// defaultMaxIdle bounds the unused connections to one target while nothing is
	// known of the target's own bound.
	defaultMaxIdle = 8
	// maxFreshIdleTime is how long ago a connection may have been used last to be good
	// for a request that must not meet a close on its way.
	maxFreshIdleTime = time.Second
	// poolDialTimeout bounds a new connection: several round trips between
	// failure domains and a target's own handshake.
	poolDialTimeout = 400 * time.Millisecond
	// readBufferBytes holds a response's header and a few events.
	readBufferBytes = 4096
)

// Pool keeps connections to targets between requests. A connection serves one
// request at a time.
type Pool struct {
	clock  clockwork.Clock
	dialer net.Dialer

	// mu guards the fields below.
	mu          sync.Mutex
	idle        map[string][]*pooledConn
	maxIdle     func(address string) int
	openedConns uint64
}

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{
		clock: clock, idle: make(map[string][]*pooledConn),
		maxIdle: func(string) int { return defaultMaxIdle },
		dialer:  net.Dialer{Timeout: poolDialTimeout, KeepAlive: -1},
	}
}

// SetMaxIdle sets how many unused connections to an address are kept.
func (p *Pool) SetMaxIdle(bound func(address string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = bound
}

// OpenedConns is the number of connections made so far.
func (p *Pool) OpenedConns() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConns
}

// pooledConn is one connection to a target.
type pooledConn struct {
	conn    net.Conn
	address string
	reader  *bufio.Reader
	// lastUsedAt is when the link was used last, expiresAt when it must not be used any
	// more.
	lastUsedAt, expiresAt time.Time
	// reused is set once a request has been answered on it.
	reused bool
}

func (c *pooledConn) close() { _ = c.conn.Close() }

// acquire returns a kept connection that is still open and silent, or a new one.
// With careful set, a kept one must have been used lately.
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
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.openedConns++
	p.mu.Unlock()
	return &pooledConn{conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// popIdle takes out the connection that was used last.
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

// release keeps a connection for later requests, for at most the time that the
// target keeps it; 0 means that none was stated.
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
	p.mu.Lock()
	if len(p.idle[conn.address]) >= p.maxIdle(conn.address) {
		p.mu.Unlock()
		conn.close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	p.mu.Unlock()
}

// CloseIdle closes the kept connections to an address, as when another target may
// be given it.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// CloseExpired closes the connections that have been unused for too long.
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

// usable reports whether the connection is open and nothing has come in on it:
// bytes between two requests belong to no request.
func usable(conn net.Conn) bool {
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
