package gateway

import (
	"net"
	"sync"
	"time"
)

const (
	// bodyReadTimeout bounds the reading of one body; the configuration has no
	// timeout for it. Routes' timeouts are a few seconds.
	bodyReadTimeout = 30 * time.Second
	// timeoutGrace is added to the configured timeouts, so that a caller that
	// keeps to them is not disconnected, even if the instance was stalled for a
	// moment.
	timeoutGrace = 2 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout apply until a configuration is
	// known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 30 * time.Second
)

// timeouts are the timeouts of a caller's connection. They are functions, since
// they follow the configuration.
type timeouts struct {
	// idle is the time between two requests, header the time from the first byte
	// of a request to the end of its header.
	idle, header func() time.Duration
}

// listener wraps accepted connections in callerConn.
type listener struct {
	net.Listener
	timeouts timeouts
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, timeouts: l.timeouts, idle: true}, nil
}

// callerConn is a caller's connection that detects its close while a request is
// being served, when nothing else reads from it.
type callerConn struct {
	net.Conn
	timeouts timeouts
	// idle is set between requests; only the serving goroutine accesses it.
	idle bool
	// closeWatch is the background read in progress, or nil.
	closeWatch *closeWatch

	// mu guards readAhead.
	mu sync.Mutex
	// readAhead holds the byte of the next request that the background read
	// consumed.
	readAhead []byte
}

// closeWatch is one background read that detects the close of a connection.
type closeWatch struct {
	done    chan struct{}
	mu      sync.Mutex
	stopped bool
}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 && len(buffer) > 0 {
		n := copy(buffer, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.mu.Unlock()
		c.idle = false
		_ = c.SetReadDeadline(time.Now().Add(c.timeouts.header()))
		return n, nil
	}
	c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(time.Now().Add(c.timeouts.idle()))
	}
	n, err := c.Conn.Read(buffer)
	if c.idle && n > 0 {
		c.idle = false
		_ = c.SetReadDeadline(time.Now().Add(c.timeouts.header()))
	}
	return n, err
}

// WatchClose calls onClose if the caller closes the connection before
// StopWatch. It detects no close after the first byte of a further request.
func (c *callerConn) WatchClose(onClose func()) {
	w := &closeWatch{done: make(chan struct{})}
	c.closeWatch = w
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		var buffer [1]byte
		n, err := c.Conn.Read(buffer[:])
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, buffer[0])
			c.mu.Unlock()
			return
		}
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if err != nil && !stopped {
			onClose()
		}
	}()
}

// StopWatch stops the background read, so that the next request can be read.
func (c *callerConn) StopWatch() {
	w := c.closeWatch
	if w == nil {
		return
	}
	c.closeWatch = nil
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = c.SetReadDeadline(time.Time{})
	c.idle = true
}
