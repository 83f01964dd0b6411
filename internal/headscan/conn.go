package headscan

import "net"

// Conn checks the heads of the responses on a client's connection, for clients that write each
// request as a whole before they read its response.
type Conn struct {
	net.Conn
	head Head
}

// Write implements net.Conn. What is read after it is another response.
func (c *Conn) Write(data []byte) (int, error) {
	c.head = Head{}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if valid, invalid := c.head.NextFinal(buffer[:n]); invalid != nil {
		// The parser has a part of the head, so that it reports this error.
		return valid, invalid
	}
	return n, err
}
