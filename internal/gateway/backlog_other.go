//go:build !linux

package gateway

import "syscall"

// unacknowledged returns 0: what the other side has acknowledged is not known.
func unacknowledged(syscall.RawConn) int { return 0 }
