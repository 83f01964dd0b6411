package peer

import "sync/atomic"

// transferredBytes counts the bytes of all buses of the process; see
// BytesTransferred.
var transferredBytes atomic.Uint64

// BytesTransferred is the number of payload bytes that the buses of this process have
// carried: datagrams where they are sent, calls and their responses where
// the call is made. Headers of UDP, TCP and IP are not included.
func BytesTransferred() uint64 { return transferredBytes.Load() }
