package membership

import (
	"math"
	"time"
)

// Times of the protocol.
const (
	tickInterval   = 100 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// probePeriod is the time between probes; an unanswered one ends with it.
	probePeriod = time.Second
	// ackTimeout is the wait for a direct answer before helpers are asked.
	ackTimeout = 300 * time.Millisecond
	// suspicionMultiplier, times the decimal logarithm of the members (at least
	// one), is how many probe periods a suspect has to refute.
	suspicionMultiplier = 3
	// pauseThreshold is the gap between ticks that counts as a pause.
	pauseThreshold = 1500 * time.Millisecond
	// maxResyncWait bounds how long a paused instance withholds assessment of
	// others while no peer answers its request for the full state.
	maxResyncWait = 5 * time.Second
	// syncInterval is the mean time between comparisons with another member.
	syncInterval = 10 * time.Second
	syncTimeout  = 2 * time.Second
	// fastSyncInterval is the mean time between the first eagerSyncs ones.
	fastSyncInterval = 2 * time.Second
	// joinInterval is the mean time between attempts at addresses that no
	// live member has; joinIntervalAlone applies while there is no other.
	joinInterval      = 5 * time.Second
	joinIntervalAlone = 500 * time.Millisecond
	joinTimeout       = time.Second
	// joinGracePeriod is how long an instance that found nobody goes on to expect
	// others.
	joinGracePeriod = 3 * time.Second
	// listInterval is the least time between reads of the instance list;
	// listReads bounds the reads of all instances together, per second.
	listInterval          = 10 * time.Second
	listIntervalAlone     = 2 * time.Second
	maxListReadsPerSecond = 10
	// listIntervalPerEntry, times the entries of the list, is the least time between
	// reads of it, which are always whole.
	listIntervalPerEntry = 300 * time.Millisecond
	// maxListLag is how long the instance list may lag behind a replacement.
	maxListLag = 30 * time.Second
	// tombstoneRetention is how long dead and departed members are remembered.
	tombstoneRetention = 15 * time.Minute
	// knownDeadPeriod is how long a dead member counts as known; see Reach.
	knownDeadPeriod = 10 * time.Minute
	leaveInterval   = 50 * time.Millisecond
)

// Counts of the protocol.
const (
	indirectProbeFanout = 3
	gossipFanout        = 3
	fastSyncCount       = 3
	leaveFanout         = 8
	leaveRounds         = 2
	// joinAttemptsAlone is how many addresses are tried at once while alone.
	joinAttemptsAlone = 3
	// maxTombstones bounds the dead and departed members remembered.
	maxTombstones = 1024
	// maxRelays bounds the probes done at once on behalf of others.
	maxRelays = 256
	// transmitMultiplier, times the decimal logarithm of the members, is how
	// often each piece of news is sent.
	transmitMultiplier = 4
)

// logMembers returns the decimal logarithm of the members, at least 1.
func logMembers(members int) float64 { return max(1, math.Log10(float64(members+1))) }

func transmitLimit(members int) int { return int(math.Ceil(transmitMultiplier * logMembers(members))) }

func suspicionTimeout(members int) time.Duration {
	return time.Duration(suspicionMultiplier * logMembers(members) * float64(probePeriod))
}
