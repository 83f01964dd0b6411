package listen

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// Limited is a net.Listener that bounds its open connections. Beyond that, it closes the one from
// which nothing has been read for the longest time.
type Limited struct {
	net.Listener
	limit   int
	clock   clockwork.Clock
	evicted *atomic.Uint64

	// mu guards conns.
	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// Limit returns a Limited that accepts from l. evicted counts the connections that it closes.
func Limit(l net.Listener, limit int, clock clockwork.Clock, evicted *atomic.Uint64) *Limited {
	return &Limited{Listener: l, limit: limit, clock: clock, evicted: evicted, conns: make(map[*limitedConn]struct{})}
}

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: conn, listener: l}
	c.touch()
	if victim := l.add(c); victim != nil {
		l.evicted.Add(1)
		_ = victim.Conn.Close()
	}
	return c, nil
}

// add adds a connection, and removes and returns the one to close, if any.
func (l *Limited) add(c *limitedConn) (victim *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		for other := range l.conns {
			if victim == nil || other.readAt.Load() < victim.readAt.Load() {
				victim = other
			}
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim
}

// limitedConn is a connection that counts for its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *Limited
	// readAt is the time of the last read of bytes, or of the accept, in nanoseconds.
	readAt atomic.Int64
}

func (c *limitedConn) touch() { c.readAt.Store(c.listener.clock.Now().UnixNano()) }

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
