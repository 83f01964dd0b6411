package gateway

import (
	"net"
	"sync"
	"time"
)

const (
	// readTimeout bounds the reading of one whole request.
	readTimeout = 30 * time.Second
	// idleGrace is added to the idle timeout of the configuration, so that a
	// caller that keeps to it never meets the close.
	idleGrace = 2 * time.Second
	// defaultIdleTimeout holds before a configuration is known.
	defaultIdleTimeout = 60 * time.Second
)

// listener makes every connection one that can be watched.
type listener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, idleTimeout: l.idleTimeout, idle: true}, nil
}

// callerConn is a caller's connection that notices its end while a request is
// under way, when nothing else reads from it.
type callerConn struct {
	net.Conn
	idleTimeout func() time.Duration
	// idle is set between requests; only the serving goroutine uses it.
	idle bool
	// watch is the read under way in the background, or nil.
	watch *watch

	// mu guards ahead.
	mu sync.Mutex
	// ahead is a byte of the next request that the watch has read.
	ahead []byte
}

// watch is one background read.
type watch struct {
	done    chan struct{}
	mu      sync.Mutex
	stopped bool
}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 && len(buffer) > 0 {
		n := copy(buffer, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		c.idle = false
		return n, nil
	}
	c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(time.Now().Add(c.idleTimeout()))
	}
	n, err := c.Conn.Read(buffer)
	if c.idle && n > 0 {
		c.idle = false
		_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	}
	return n, err
}

// Watch calls gone once the caller has closed the connection, until Unwatch.
func (c *callerConn) Watch(gone func()) {
	w := &watch{done: make(chan struct{})}
	c.watch = w
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n > 0 {
			c.mu.Lock()
			c.ahead = append(c.ahead, one[0])
			c.mu.Unlock()
			return
		}
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if err != nil && !stopped {
			gone()
		}
	}()
}

// Unwatch ends the watch, so that the next request can be read.
func (c *callerConn) Unwatch() {
	w := c.watch
	if w == nil {
		return
	}
	c.watch = nil
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = c.SetReadDeadline(time.Time{})
	c.idle = true
}
