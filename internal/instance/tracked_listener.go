package instance

import (
	"net"
	"sync"
)

// trackedListener is a listener that tracks its open connections, so that Kill can
// reset them.
type trackedListener struct {
	net.Listener

	// mu guards openConns.
	mu        sync.Mutex
	openConns map[net.Conn]struct{}
}

func newTrackedListener(listener net.Listener) *trackedListener {
	return &trackedListener{Listener: listener, openConns: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns[tracked] = struct{}{}
	return tracked, nil
}

// resetAll closes the listener and resets all open connections.
func (l *trackedListener) resetAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.openConns {
		_ = conn.(*trackedConn).SetLinger(0)
		_ = conn.(*trackedConn).TCPConn.Close()
	}
}

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	*net.TCPConn
	listener *trackedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
