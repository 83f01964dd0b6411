//go:build !linux

package gateway

import "syscall"

// limitBuffers does nothing: the system's own buffers are kept.
func limitBuffers(syscall.RawConn, int, int, int) error { return nil }

func setReceiveBuffer(syscall.RawConn, int) {}
