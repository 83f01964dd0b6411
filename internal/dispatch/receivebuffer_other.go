//go:build !linux

package dispatch

import "syscall"

// limitReceiveBuffer does nothing: the system's own receive buffer is kept.
func limitReceiveBuffer(string, string, syscall.RawConn) error { return nil }
