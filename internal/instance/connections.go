package instance

import (
	"net"
	"sync"
)

// connections is a listener that knows its open connections, so that a crash
// can be brought about in tests.
type connections struct {
	net.Listener

	// mu guards open.
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func trackConnections(listener net.Listener) *connections {
	return &connections{Listener: listener, open: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (c *connections) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = struct{}{}
	return tracked, nil
}

// abort resets all connections and closes the listener.
func (c *connections) abort() {
	_ = c.Listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.(*trackedConn).SetLinger(0)
		_ = conn.(*trackedConn).TCPConn.Close()
	}
}

// trackedConn tells its listener when it is closed.
type trackedConn struct {
	*net.TCPConn
	owner *connections
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.open, t)
	t.owner.mu.Unlock()
	return t.TCPConn.Close()
}
