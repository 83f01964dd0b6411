// Package placement grants requests of all instances slots on targets, through
// one coordinator for each group of targets.
//
// # How it works
//
// The targets of a service are divided into groups of about targetsPerGroup
// (Groups). Each group has one coordinator, which is determined by a list of
// instances that all instances share (Roster). An instance with a request contacts
// the coordinator of a group for a slot (Client). The coordinator (Server)
// decides with package schedule on exact counts, since it alone places requests
// on the group's targets: it responds with a target, queues the request, refuses
// it, or redirects it to a group with free slots or with a shorter queue for the
// request's priority.
//
// The instance reports the progress of the request to the coordinator and renews
// the leases of all its running requests every renewInterval. A request that has
// not been reported for leaseDuration is taken to have ended. An instance that
// receives a request for a group that it does not coordinate yet announces a
// takeover to all others, receives from each what runs in the group, and responds
// after takeoverDelay. Unless the sender has a newer roster, it first probes the
// expected coordinator, which keeps the group if it responds.
//
// # Load patterns
//
//   - Bursts over many instances: with counts that are tens or hundreds of
//     milliseconds old, instances overbook targets, and a request in a target's
//     own queue waits for a whole stream to end.
//   - More load than slots: the groups' targets differ in speed, so that a group
//     queues requests of high priority while another serves lower ones.
//   - Targets that fail, join or leave: what one instance learns about a target
//     is known immediately to all that request slots on it.
//
// # Failures
//
// Messages are datagrams. A slot request is sent again until there is a response;
// duplicates have no effect. If a coordinator does not respond, the instance asks
// the next one in the roster, which takes over the group for all instances. If
// none responds, it places requests by its own counts.
package placement

import "time"

const (
	// firstResendDelay and resendInterval are the times after which a slot
	// request is sent again: a few round trips between failure domains.
	firstResendDelay = 30 * time.Millisecond
	resendInterval   = 60 * time.Millisecond
	// queuedResendInterval is the same for a queued request. Its grant is sent
	// without a further request, unless a message is lost.
	queuedResendInterval = 200 * time.Millisecond
	// responseTimeout is how long to wait for a coordinator before the next one
	// is tried: longer than the pauses of a processor whose CPU quota is used up.
	responseTimeout = 160 * time.Millisecond
	// maxTimerDelay is the largest delay of a timer that is ignored. After a
	// longer one the instance itself was stalled, and the delay is not counted as
	// time without a response.
	maxTimerDelay = 15 * time.Millisecond
	// unavailablePeriod is how long a coordinator that did not respond, or does
	// not coordinate, is skipped.
	unavailablePeriod = 2 * time.Second
	// maxAttempts limits the groups and coordinators tried for one slot.
	maxAttempts = 3
	// renewInterval is the time between two renewals of all running requests.
	renewInterval = 400 * time.Millisecond
	// leaseDuration is how long a slot is kept without a message about its
	// request: three renewals may be lost.
	leaseDuration = 1600 * time.Millisecond
	// queuedLeaseDuration is how long a queued request is kept without being sent
	// again. A granted one may be missing from renewals for the same time.
	queuedLeaseDuration = 800 * time.Millisecond
	// expiryInterval is the time between checks for expired leases.
	expiryInterval = 200 * time.Millisecond
	// ResumeHold is how long after a pause an instance does not act on the silence of others:
	// two renewals, and time for their way. It is less than leaseDuration.
	ResumeHold = 2*renewInterval + 100*time.Millisecond
	// resumeCheckInterval is the interval between checks whether a takeover that was put off
	// is still due.
	resumeCheckInterval = 100 * time.Millisecond
	// takeoverDelay is how long a coordinator that takes over a group waits for
	// reports of running requests: a few round trips between failure domains.
	takeoverDelay = 25 * time.Millisecond
	// probeTimeout is how long the expected coordinator may take to respond to a
	// probe; after a response the group is left to it for probeValidity.
	probeTimeout  = 60 * time.Millisecond
	probeValidity = 500 * time.Millisecond
	// contestWindow is the time after a takeover during which another takeover of
	// the same group counts as concurrent.
	contestWindow = 200 * time.Millisecond
	// maxRedirects limits how often one request is redirected.
	maxRedirects = 4
	// coordinationTimeout is how long after the last request a group still counts
	// as coordinated by the instance that took it over.
	coordinationTimeout = 10 * time.Second
	// moveValidity is how long a former coordinator redirects requests for a
	// group that another instance has taken over.
	moveValidity = 2 * time.Second
	// redirectQueuedAfter is how long a request is queued in one group before it
	// is redirected to another with free slots.
	redirectQueuedAfter = 100 * time.Millisecond
	// minQueueGain is by how much a request must be expected to wait less in
	// another group's queue to be redirected there, and maxOtherWaitShare the
	// largest share of its wait in its own group: reports are a few intervals old,
	// and a redirected request waits for a further round trip.
	minQueueGain      = 20 * time.Millisecond
	maxOtherWaitShare = 0.8
	// minCapacityInterval is the shortest time between two capacity reports of a
	// coordinator. The interval grows by capacityIntervalPerCoordinator for each
	// coordinator, so that their number overloads neither network nor CPU. A
	// report is valid for capacityValidIntervals.
	minCapacityInterval            = 60 * time.Millisecond
	capacityIntervalPerCoordinator = 8 * time.Millisecond
	capacityValidIntervals         = 4
)

// SendFunc sends a datagram to another instance.
type SendFunc func(address string, body []byte) error
