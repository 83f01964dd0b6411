package gateway

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns how many bytes the other side of a connection has not acknowledged; 0 if
// that is not known.
func unacknowledged(raw syscall.RawConn) (bytes int) {
	err := raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			bytes = queued
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
