package gateway

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnread makes the connections of a listener begin with a receive buffer for the given bytes,
// and bounds those that wait to be accepted.
func limitUnread(raw syscall.RawConn, bytes, backlog int) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err == nil {
			err = unix.Listen(int(fd), backlog)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// limitUnsent bounds what the system takes of a response and cannot send yet, up to the rest of a
// segment; 0 leaves it at the system's own bound. What is on its way does not count, so that callers
// that read get their responses as fast as without it.
func limitUnsent(raw syscall.RawConn, bytes int) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}

// setReceiveBuffer sets the receive buffer of a connection. The kernel keeps the window at what it
// was when the connection began unless its bound is set as well.
func setReceiveBuffer(raw syscall.RawConn, bytes int) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		// The kernel doubles the size of the buffer for its own use.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, 2*bytes)
	})
}
