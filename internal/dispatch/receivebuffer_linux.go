package dispatch

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitReceiveBuffer sets the receive buffer of a connection to a target before it is opened. An
// error leaves the system's own.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return nil
}
