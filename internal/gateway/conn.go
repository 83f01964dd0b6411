package gateway

import (
	"net"
	"sync"
	"time"
)

const (
	// bodyReadTimeout bounds the reading of one body, for which operators state no
	// bound of their own; routes' timeouts are a few seconds.
	bodyReadTimeout = 30 * time.Second
	// timeoutGrace is added to the timeouts of the configuration, so that a caller
	// that keeps to them never meets the close, also when the instance has been
	// held up for a moment.
	timeoutGrace = 2 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout hold before a configuration is
	// known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 30 * time.Second
)

// timeouts bound how long callers may take; they are asked for at each use,
// since they follow the configuration.
type timeouts struct {
	// idle is the time between two requests, header from the first byte of a
	// request to the end of its header.
	idle, header func() time.Duration
}

// listener makes every connection one that can be watched.
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

// callerConn is a caller's connection that notices its end while a request is
// under way, when nothing else reads from it.
type callerConn struct {
	net.Conn
	timeouts timeouts
	// idle is set between requests; only the serving goroutine uses it.
	idle bool
	// closeWatch is the read under way in the background, or nil.
	closeWatch *closeWatch

	// mu guards ahead.
	mu sync.Mutex
	// readAhead is a byte of the next request that the watch has read.
	readAhead []byte
}

// closeWatch is one background read.
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

// WatchClose calls gone once the caller has closed the connection, until Unwatch.
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

// StopWatch ends the watch, so that the next request can be read.
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
