package gateway

import "sync/atomic"

// Counters count requests by outcome.
type Counters struct {
	Received, Answered, RefusedNotRun, Failed, CallerGone                   atomic.Uint64
	SentToTargets, Retried, StreamsResumed, TargetsUnreachable, NotExecuted atomic.Uint64
	OverQuota, Denied, TimedOut, Misdirected, Streams                       atomic.Uint64
	// TargetsSilent counts attempts at targets that sent nothing for too long,
	// StreamsCut the streams that ended before their end although the caller and its
	// deadline allowed more.
	TargetsSilent, StreamsCut atomic.Uint64
	// PathsLost counts attempts that ended because of the path to their target.
	PathsLost atomic.Uint64
	// ReceivedWhileStopping counts the requests that were received after the signal to
	// stop, CancelledWhileStopping those that were cancelled at the end of the shutdown.
	ReceivedWhileStopping, CancelledWhileStopping atomic.Uint64
	// RefusedTooLate counts those that were not begun since the shutdown might have cut them.
	RefusedTooLate atomic.Uint64
	// CallersGivenUp counts the responses that ended since their caller did not read them, or
	// too slowly while memory was short.
	CallersGivenUp atomic.Uint64
	// RefusedForMemory counts requests refused since memory for them was short, StalledRefused
	// those that gave way to others, HeaderLinesExceeded headers with too many lines,
	// ConnectionsRefused and ConnectionsEvicted connections closed since there were too many.
	RefusedForMemory, StalledRefused, HeaderLinesExceeded, ConnectionsRefused, ConnectionsEvicted atomic.Uint64
	// EvacuatedNotSent counts grants that were not used since their targets had been
	// evacuated, HeldForEvacuations the requests that waited until it was known which
	// domains are.
	EvacuatedNotSent, HeldForEvacuations atomic.Uint64
}

// Snapshot returns the counters by metric name.
func (c *Counters) Snapshot() map[string]uint64 {
	return map[string]uint64{
		"received": c.Received.Load(), "answered": c.Answered.Load(), "refused_not_run": c.RefusedNotRun.Load(),
		"failed": c.Failed.Load(), "caller_gone": c.CallerGone.Load(), "sent_to_targets": c.SentToTargets.Load(),
		"repeated": c.Retried.Load(), "streams": c.Streams.Load(), "streams_resumed": c.StreamsResumed.Load(),
		"targets_not_reached": c.TargetsUnreachable.Load(), "not_executed": c.NotExecuted.Load(),
		"misdirected": c.Misdirected.Load(), "over_quota": c.OverQuota.Load(), "denied": c.Denied.Load(),
		"timed_out": c.TimedOut.Load(), "targets_silent": c.TargetsSilent.Load(), "streams_cut": c.StreamsCut.Load(),
		"paths_lost": c.PathsLost.Load(), "received_while_stopping": c.ReceivedWhileStopping.Load(), "refused_as_too_late": c.RefusedTooLate.Load(), "cancelled_while_stopping": c.CancelledWhileStopping.Load(),
		"evacuated_not_sent": c.EvacuatedNotSent.Load(), "held_for_evacuations": c.HeldForEvacuations.Load(), "callers_given_up": c.CallersGivenUp.Load(),
		"refused_for_memory": c.RefusedForMemory.Load(), "stalled_refused": c.StalledRefused.Load(), "header_lines_exceeded": c.HeaderLinesExceeded.Load(),
		"connections_refused": c.ConnectionsRefused.Load(), "connections_evicted": c.ConnectionsEvicted.Load(),
	}
}
