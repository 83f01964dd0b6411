package peer

import "sync/atomic"

// transferredBytes counts the bytes of all buses of the process; see
// BytesTransferred.
var transferredBytes atomic.Uint64

// datagramReadFailures counts the failed reads of all buses of the process.
var datagramReadFailures atomic.Uint64

// DatagramReadFailures is the number of times that the buses of this process failed to read
// datagrams.
func DatagramReadFailures() uint64 { return datagramReadFailures.Load() }

// BytesTransferred is the number of payload bytes that the buses of this process have
// carried: datagrams where they are sent, calls and their responses where
// the call is made. Headers of UDP, TCP and IP are not included.
func BytesTransferred() uint64 { return transferredBytes.Load() }
