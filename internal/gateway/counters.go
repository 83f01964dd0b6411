package gateway

import "sync/atomic"

// Counters count what became of requests.
type Counters struct {
	Requests, Answered, Refused, Failed, CallerGone   atomic.Uint64
	Sent, Repeated, Resumed, NotReached, NotExecuted  atomic.Uint64
	OverQuota, Denied, TimedOut, Misdirected, Streams atomic.Uint64
}
