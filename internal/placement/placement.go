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
	// resendFirst and resendNext are the times after which a question is
	// repeated: a few round trips between failure domains.
	resendFirst = 30 * time.Millisecond
	resendNext  = 60 * time.Millisecond
	// resendQueued is the same for a request that waits; its place comes without
	// being asked for again, but for a lost message.
	resendQueued = 200 * time.Millisecond
	// answerTime is how long a coordinator may be silent before the next one is
	// asked: longer than the pauses of a processor whose share is used up.
	answerTime = 160 * time.Millisecond
	// lateTimer is by how much a timer may be late before the asker takes itself to
	// have been held up, so that the coordinator's silence says nothing.
	lateTimer = 15 * time.Millisecond
	// passOver is how long one that was silent is not asked again.
	passOver = 2 * time.Second
	// maxAsked bounds the coordinators asked for one place.
	maxAsked = 3
	// renewPeriod is the time between two messages about all that runs.
	renewPeriod = 400 * time.Millisecond
	// leaseTime is how long a place is kept that no message has named: three
	// renewals may be lost.
	leaseTime = 1600 * time.Millisecond
	// waitLease is how long a waiting request is kept that is not asked for
	// again.
	waitLease = 800 * time.Millisecond
	// sweepPeriod is the time between looks for leases that have run out.
	sweepPeriod = 200 * time.Millisecond
	// settleTime is how long a coordinator that takes a group over waits for word
	// of what runs there: a few round trips between failure domains.
	settleTime = 25 * time.Millisecond
	// probeTime is how long the coordinator that others expect may take to say
	// that it answers; probedFor is how long the group is then left to it.
	probeTime = 60 * time.Millisecond
	probedFor = 500 * time.Millisecond
	// contestTime is how long after a takeover another one of the same group is
	// taken to have come at the same time.
	contestTime = 200 * time.Millisecond
	// maxHops bounds how often a question is sent on.
	maxHops = 4
	// coordinateFor is how long after the last question a group counts as taken
	// over.
	coordinateFor = 10 * time.Second
	// movedFor is how long a coordinator sends on those that ask for a group which
	// another has taken over.
	movedFor = 2 * time.Second
	// moveAfter is how long a request waits in one group before it is sent to
	// another that has room: two rounds of messages about the room.
	moveAfter = 100 * time.Millisecond
	// roomPeriod is the shortest time between messages of a coordinator to the
	// others about the room in its groups, roomPerOther the time for each of the
	// others, so that their number bounds neither links nor processors. They
	// count for roomPeriods.
	roomPeriod   = 60 * time.Millisecond
	roomPerOther = 8 * time.Millisecond
	roomPeriods  = 4
)

// SendFunc sends a datagram to another instance.
type SendFunc func(address string, body []byte) error
