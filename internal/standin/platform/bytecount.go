package platform

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes that all its connections transfer.
type countingListener struct {
	net.Listener
	bytesTransferred *atomic.Uint64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytesTransferred: l.bytesTransferred}, nil
}

// countingConn counts the bytes that a connection transfers in both directions.
type countingConn struct {
	net.Conn
	bytesTransferred *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesTransferred.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesTransferred.Add(uint64(n))
	return n, err
}
