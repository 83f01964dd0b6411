// Package placement gives requests of all instances their places on targets,
// through one coordinator for each group of targets.
//
// # How it works
//
// The targets of a service are divided into groups of about groupSize
// (Groups). Every group has one coordinator among the instances, chosen from a
// list that all instances have (Roster). An instance with a request asks the
// coordinator of a group for a place (Client); the coordinator (Server) runs
// the decisions of package schedule on exact counts, since it alone places
// requests on the group's targets: it answers with a target, lets the request
// wait in its queue, refuses it, or names a group that has room.
//
// The instance tells the coordinator how the request fares, and repeats every
// renewPeriod what it runs on the group's targets. What a coordinator has not
// heard of for leaseTime is taken to have ended. An instance that is first asked
// about a group tells all others that it takes the group over, hears from each
// what runs there, and answers after settleTime.
//
// # Load patterns it answers
//
//   - Bursts over many instances: with counts that are some ten or hundred
//     milliseconds old, instances overbook targets, and a request in a target's
//     own queue waits for a whole stream to end.
//   - Targets that fail or come and go: what one instance learns of a target is
//     known at once to all that ask for it.
//
// # Failures
//
// Messages are datagrams; a question is repeated until it is answered, and
// repeating it is harmless. When a coordinator does not answer, the instance
// asks the next one in the roster, which takes the group over for all; when none
// answers it places requests by what it knows itself.
package placement

import "time"

const (
	// firstResendDelay and resendNext are the times after which a question is
	// repeated: a few round trips between failure domains.
	firstResendDelay = 30 * time.Millisecond
	resendInterval   = 60 * time.Millisecond
	// queuedResendInterval is the same for a request that waits; its place comes without
	// being asked for again, but for a lost message.
	queuedResendInterval = 200 * time.Millisecond
	// responseTimeout is how long a coordinator may be silent before the next one is
	// asked: longer than the pauses of a processor whose share is used up.
	responseTimeout = 160 * time.Millisecond
	// maxTimerDelay is by how much a timer may be late before the asker takes itself to
	// have been held up, so that the coordinator's silence says nothing.
	maxTimerDelay = 15 * time.Millisecond
	// unavailablePeriod is how long one that was silent is not asked again.
	unavailablePeriod = 2 * time.Second
	// maxAttempts bounds the coordinators asked for one place.
	maxAttempts = 3
	// renewInterval is the time between two messages about all that runs.
	renewInterval = 400 * time.Millisecond
	// leaseDuration is how long a place is kept that no message has named: three
	// renewals may be lost.
	leaseDuration = 1600 * time.Millisecond
	// queuedLeaseDuration is how long a waiting request is kept that is not asked for
	// again.
	queuedLeaseDuration = 800 * time.Millisecond
	// expiryInterval is the time between looks for leases that have run out.
	expiryInterval = 200 * time.Millisecond
	// takeoverDelay is how long a coordinator that takes a group over waits for word
	// of what runs there: a few round trips between failure domains.
	takeoverDelay = 25 * time.Millisecond
	// probeTimeout is how long the coordinator that others expect may take to say
	// that it answers; probedFor is how long the group is then left to it.
	probeTimeout  = 60 * time.Millisecond
	probeValidity = 500 * time.Millisecond
	// contestWindow is how long after a takeover another one of the same group is
	// taken to have come at the same time.
	contestWindow = 200 * time.Millisecond
	// maxRedirects bounds how often a question is sent on.
	maxRedirects = 4
	// coordinationTimeout is how long after the last question a group counts as taken
	// over.
	coordinationTimeout = 10 * time.Second
	// moveValidity is how long a coordinator sends on those that ask for a group which
	// another has taken over.
	moveValidity = 2 * time.Second
	// redirectQueuedAfter is how long a request waits in one group before it is sent to
	// another that has room: two rounds of messages about the room.
	redirectQueuedAfter = 100 * time.Millisecond
	// minCapacityInterval is the shortest time between messages of a coordinator to the
	// others about the room in its groups, roomPerOther the time for each of the
	// others, so that their number bounds neither links nor processors. They
	// count for roomPeriods.
	minCapacityInterval            = 60 * time.Millisecond
	capacityIntervalPerCoordinator = 8 * time.Millisecond
	capacityValidIntervals         = 4
)

// SendFunc sends a datagram to another instance.
type SendFunc func(address string, body []byte) error
