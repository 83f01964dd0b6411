// Package relay opens connections to targets through other instances.
//
// # How it works
//
// An instance that has lost its path to a target opens a stream to another instance
// (Client), names the target's address, and gets the outcome of that instance's
// attempt to connect (Server). After that, the other instance copies bytes in both
// directions. All else stays with the first instance: the target sees one more
// connection, on which each request arrives at most once.
//
// Bytes from the target are framed, so that the end of the target's connection can be
// told from the end of the instance in between, of which the target is not guilty.
//
// # Load pattern
//
// Some instances, also most of them, lose their paths to targets that others reach.
// Each stream goes through an instance drawn at random from all that are known, so that
// no instance relays for many; instances without a path say so at once and are left out
// for a while, as are those that have lost most of their paths.
//
// # Evidence
//
// Two instances that reach other targets are needed to call a target unreachable. The word
// of an instance counts only if it has reached another target since it began to try: one
// that has just lost its links does not know yet.
package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Errors of Client.Dial and of relayed connections.
var (
	// ErrUnreachable means that other instances do not reach the target either,
	// although they reach other targets.
	ErrUnreachable = errors.New("target cannot be reached from other instances")
	// ErrInconclusive means that no other instance could tell.
	ErrInconclusive = errors.New("no other instance could relay")
	// ErrNoPeers means that no other instance is known.
	ErrNoPeers = errors.New("no other instance is known")
	// ErrBroken means that the instance in between has ended a connection, not the
	// target.
	ErrBroken = errors.New("relaying instance ended the connection")
)

// status is the outcome of an attempt to connect to a target.
type status byte

const (
	statusConnected status = iota + 1
	// statusUnreachable means that the instance reaches other targets.
	statusUnreachable
	// statusNoPath means that it may be the instance's own path that is lost.
	statusNoPath
)

const (
	// maxAddressBytes bounds the address of a target.
	maxAddressBytes = 64
	// frameBytes bounds a frame with bytes of the target, lengthBytes is the length
	// that precedes it.
	frameBytes  = 4096
	lengthBytes = 2
	// endOfStream and resetStream take the place of the length when the target has
	// ended its side in order, or has not.
	endOfStream = 0
	resetStream = 0xFFFF
)

// writeAddress asks for a connection to a target.
func writeAddress(w io.Writer, address string) error {
	if len(address) > maxAddressBytes {
		return errors.Newf("address of %d bytes is too long", len(address))
	}
	_, err := w.Write(append([]byte{byte(len(address))}, address...))
	return err
}

func readAddress(r io.Reader) (string, error) {
	var length [1]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return "", err
	}
	if length[0] > maxAddressBytes {
		return "", errors.Newf("address of %d bytes is too long", length[0])
	}
	address := make([]byte, length[0])
	_, err := io.ReadFull(r, address)
	return string(address), err
}

// Conn is a connection to a target through another instance.
type Conn struct {
	net.Conn
	// Via is the address of the instance in between.
	Via    string
	reader *bufio.Reader
	// left is the number of bytes left of the current frame.
	left int
	// end is the error at the end of the target's bytes.
	end error
}

func newConn(conn net.Conn, via string) *Conn {
	return &Conn{Conn: conn, Via: via, reader: bufio.NewReaderSize(conn, frameBytes+lengthBytes)}
}

// HasBuffered reports whether bytes have been received that were not read.
func (c *Conn) HasBuffered() bool { return c.end != nil || c.left > 0 || c.reader.Buffered() > 0 }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a system connection")
	}
	return raw.SyscallConn()
}

// Read implements io.Reader. A timeout loses nothing.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(buffer[:min(len(buffer), c.left)])
	c.left -= n
	return n, brokenUnlessTimeout(err)
}

func (c *Conn) readLength() error {
	header, err := c.reader.Peek(lengthBytes)
	if err != nil {
		return brokenUnlessTimeout(err)
	}
	length := int(binary.BigEndian.Uint16(header))
	if _, err := c.reader.Discard(lengthBytes); err != nil {
		return brokenUnlessTimeout(err)
	}
	switch {
	case length == endOfStream:
		c.end = io.EOF
	case length == resetStream:
		c.end = &net.OpError{Op: "read", Net: "relay", Err: syscall.ECONNRESET}
	case length > frameBytes:
		c.end = errors.Wrapf(ErrBroken, "frame of %d bytes", length)
	}
	c.left = length
	return c.end
}

// brokenUnlessTimeout marks errors of the connection to the instance in between.
func brokenUnlessTimeout(err error) error {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		return err
	}
	// io.EOF must not be found in the error: it would end a response without a length.
	return errors.Wrap(ErrBroken, err.Error())
}

// copyFromTarget frames the bytes of a target until its connection ends. An orderly end is passed
// on as a reset if awaitWrites reports that the target has not taken all bytes.
func copyFromTarget(to, target net.Conn, awaitWrites func() bool) error {
	buffer := make([]byte, lengthBytes+frameBytes)
	for {
		n, err := target.Read(buffer[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := to.Write(buffer[:lengthBytes+n]); err != nil {
				return err
			}
		}
		if err == nil {
			continue
		}
		mark := uint16(resetStream)
		if errors.Is(err, io.EOF) && awaitWrites() {
			mark = endOfStream
		}
		_, writeErr := to.Write(binary.BigEndian.AppendUint16(nil, mark))
		return writeErr
	}
}
