//go:build !linux

package gateway

import "syscall"

// limitUnread does nothing: the system's own receive buffers are kept.
func limitUnread(syscall.RawConn, int, int) error { return nil }

// limitUnsent does nothing: the system's own send buffers are kept.
func limitUnsent(syscall.RawConn, int) {}

func setReceiveBuffer(syscall.RawConn, int) {}
