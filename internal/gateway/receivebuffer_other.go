//go:build !linux

package gateway

import "syscall"

// limitUnread does nothing: the system's own receive buffers are kept.
func limitUnread(syscall.RawConn, int, int) error { return nil }

func setReceiveBuffer(syscall.RawConn, int) {}
