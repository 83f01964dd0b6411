package membership

import (
	"math"
	"time"
)

// Intervals and timeouts of the protocol.
const (
	tickInterval   = 100 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// probePeriod is the time between probes. A probe that is not acknowledged
	// within it has failed.
	probePeriod = time.Second
	// ackTimeout is the wait for a direct acknowledgement before indirect pings
	// are sent.
	ackTimeout = 300 * time.Millisecond
	// suspicionMultiplier, times logMembers, is the number of probe periods
	// that a suspect has to refute.
	suspicionMultiplier = 3
	// pauseThreshold is the gap between ticks above which the process counts as
	// having been paused.
	pauseThreshold = 1500 * time.Millisecond
	// maxResyncWait bounds how long an instance suspends failure detection
	// after a pause while no sync with a peer succeeds.
	maxResyncWait = 5 * time.Second
	// syncInterval is the mean time between syncs with random members.
	syncInterval = 10 * time.Second
	syncTimeout  = 2 * time.Second
	// fastSyncInterval is the mean time between the first fastSyncCount syncs
	// after joining.
	fastSyncInterval = 2 * time.Second
	// joinInterval is the mean time between join attempts at addresses without
	// a live member; joinIntervalAlone applies while no other member is live.
	joinInterval      = 5 * time.Second
	joinIntervalAlone = 500 * time.Millisecond
	joinTimeout       = time.Second
	// joinGracePeriod is how long an instance that has found no other member is
	// not yet considered joined.
	joinGracePeriod = 3 * time.Second
	// listInterval is the minimum mean time between reads of the instance list.
	listInterval      = 10 * time.Second
	listIntervalAlone = 2 * time.Second
	// maxListReadsPerSecond bounds the list reads of all instances together.
	maxListReadsPerSecond = 10
	// listIntervalPerEntry, times the number of entries, is another minimum for
	// the mean time between reads, since the list can only be read as a whole.
	listIntervalPerEntry = 300 * time.Millisecond
	// maxListLag is the maximum delay before the instance list reflects a
	// replacement.
	maxListLag = 30 * time.Second
	// tombstoneRetention is how long dead members and members that left are
	// kept.
	tombstoneRetention = 15 * time.Minute
	// knownDeadPeriod is how long a dead member counts as known; see Reach.
	knownDeadPeriod = 10 * time.Minute
	leaveInterval   = 50 * time.Millisecond
)

// Counts and limits of the protocol.
const (
	indirectProbeFanout = 3
	gossipFanout        = 3
	fastSyncCount       = 3
	leaveFanout         = 8
	leaveRounds         = 2
	// joinAttemptsAlone is how many addresses are tried concurrently while no
	// other member is live.
	joinAttemptsAlone = 3
	// maxTombstones bounds the records of dead members and members that left.
	maxTombstones = 1024
	// maxRelays bounds the indirect probes relayed concurrently for other
	// members.
	maxRelays = 256
	// transmitMultiplier, times logMembers, is how often each update or rumor
	// is transmitted.
	transmitMultiplier = 4
)

// logMembers returns the decimal logarithm of the number of members plus one,
// at least 1.
func logMembers(members int) float64 { return max(1, math.Log10(float64(members+1))) }

func transmitLimit(members int) int { return int(math.Ceil(transmitMultiplier * logMembers(members))) }

func suspicionTimeout(members int) time.Duration {
	return time.Duration(suspicionMultiplier * logMembers(members) * float64(probePeriod))
}
