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
	// idleLimit is how long an unused connection is kept where the target
	// states no shorter time.
	idleLimit = 8 * time.Second
	// idleMargin is taken off the time that a target states, so that its close
	// does not cross a request.
	idleMargin = time.Second
	// defaultIdle bounds the unused connections to one target while nothing is
	// known of the target's own bound.
	defaultIdle = 8
	// recentUse is how long ago a connection may have been used last to be good
	// for a request that must not meet a close on its way.
	recentUse = time.Second
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
	mu      sync.Mutex
	idle    map[string][]*link
	maxIdle func(address string) int
	opened  uint64
}

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{
		clock: clock, idle: make(map[string][]*link),
		maxIdle: func(string) int { return defaultIdle },
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
	return p.opened
}

// link is one connection to a target.
type link struct {
	conn    net.Conn
	address string
	reader  *bufio.Reader
	// since is when the link was used last, until when it must not be used any
	// more.
	since, until time.Time
	// used is set once a request has been answered on it.
	used bool
}

func (l *link) close() { _ = l.conn.Close() }

// take returns a kept connection that is still open and silent, or a new one.
// With careful set, a kept one must have been used lately.
func (p *Pool) take(ctx context.Context, address string, careful bool) (*link, error) {
	for {
		l := p.pop(address, careful)
		if l == nil {
			break
		}
		if quiet(l.conn) {
			return l, nil
		}
		l.close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &link{conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// pop takes out the connection that was used last.
func (p *Pool) pop(address string, careful bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	now := p.clock.Now()
	if now.After(l.until) || (careful && now.Sub(l.since) > recentUse) {
		return nil
	}
	links[len(links)-1] = nil
	p.idle[address] = links[:len(links)-1]
	return l
}

// put keeps a connection for later requests, for at most the time that the
// target keeps it; 0 means that none was stated.
func (p *Pool) put(l *link, keep time.Duration) {
	limit := idleLimit
	if keep > 0 {
		limit = min(limit, keep-idleMargin)
	}
	if limit <= 0 {
		l.close()
		return
	}
	l.used = true
	l.since = p.clock.Now()
	l.until = l.since.Add(limit)
	p.mu.Lock()
	if len(p.idle[l.address]) >= p.maxIdle(l.address) {
		p.mu.Unlock()
		l.close()
		return
	}
	p.idle[l.address] = append(p.idle[l.address], l)
	p.mu.Unlock()
}

// CloseIdle closes the kept connections to an address, as when another target may
// be given it.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	links := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// CloseExpired closes the connections that have been unused for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var old []*link
	p.mu.Lock()
	for address, links := range p.idle {
		kept := links[:0]
		for _, l := range links {
			if now.Before(l.until) {
				kept = append(kept, l)
			} else {
				old = append(old, l)
			}
		}
		clear(links[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, l := range old {
		l.close()
	}
}

// quiet reports whether the connection is open and nothing has come in on it:
// bytes between two requests belong to no request.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && silent
}
