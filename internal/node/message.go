package node

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// message is the state of one instance.
type message struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation int64
	// Capacity is the processor share in hundredths of a core; Draining is set
	// while the instance shuts down.
	Capacity uint16
	Draining bool
	// RecentlyStarted is set for some time after the start.
	RecentlyStarted bool
	// WantsAggregate asks for the sum of all others' use of quotas.
	WantsAggregate bool
	// IsAggregate tells that Usages is such a sum.
	IsAggregate bool
	// IsIntroduction tells that the message holds addresses and no use of quotas; it
	// is not answered.
	IsIntroduction bool
	// RosterID tells which list of coordinators is in use; Roster is that list
	// where the other's is another, and nil else.
	RosterID uint32
	Roster   *placement.Roster
	// InstanceCount counts the instances that share the work.
	InstanceCount uint16
	// ConfigVersion is the version in force.
	ConfigVersion uint64
	Usages        []quota.Usage
	// KnownAddresses are addresses of instances.
	KnownAddresses []string
	// RolloutReports are the own counts of orders under way, Ended the orders that
	// have ended.
	RolloutReports []rollout.Report
	EndedRollouts  []rollout.Status
	// Crashes are recent crashes of targets with the requests that ran.
	Crashes []quarantine.Crash
	// TargetsDigest and TargetsPosition describe the known targets.
	TargetsDigest   uint32
	TargetsPosition uint64
	// TargetsAgeMs is the time since the last read of them that this instance
	// made or heard of; noRead if none.
	TargetsAgeMs uint32
	// WatchAgeMs is the time since its own watch of the operator's declarations
	// was last answered; noRead if it does not watch or its watch has failed.
	WatchAgeMs uint32
	// PeerWatchAgeMs is the lowest of those that it hears of.
	PeerWatchAgeMs uint32
}

// recentStartWindow is how long after its start an instance says so: longer than it
// takes to be heard by all.
const recentStartWindow = 3 * time.Second

// quotaPeer describes the sender to the quotas.
func (m *message) quotaPeer(from string) quota.Peer {
	return quota.Peer{
		Name: from, Incarnation: m.Incarnation, Young: m.RecentlyStarted, Stands: max(1, int(m.InstanceCount)-1),
	}
}

// unknownAge stands for the age of a read that was never made.
const unknownAge = 1<<32 - 1

// newMessage returns a message with all but the use of quotas.
func (n *Node) newMessage(round int) *message {
	m := &message{
		Name: n.settings.Name, Incarnation: n.incarnation, Capacity: uint16(n.settings.Capacity),
		Draining: n.draining.Load(), RecentlyStarted: n.clock.Since(n.startedAt) < recentStartWindow, RosterID: n.placement.Roster().ID(), ConfigVersion: n.configuration.Version(),
		InstanceCount: uint16(n.instanceCount.Load()),
	}
	m.TargetsDigest, m.TargetsPosition, m.TargetsAgeMs = n.targetsState()
	m.WatchAgeMs = n.watchAgeMillis(&n.lastWatchNanos)
	m.PeerWatchAgeMs = n.peers.lowestWatchAge()
	m.RolloutReports = n.rollouts.Reports()
	m.Crashes = n.suspects.Share()
	for _, status := range n.rollouts.Statuses() {
		if status.State != rollout.InProgress {
			m.EndedRollouts = append(m.EndedRollouts, status)
		}
	}
	if round%knownAddressesEvery == 0 {
		for _, p := range n.peers.live() {
			m.KnownAddresses = append(m.KnownAddresses, p.address)
		}
		if len(m.KnownAddresses) > maxKnownAddresses {
			rand.Shuffle(len(m.KnownAddresses), func(i, j int) { m.KnownAddresses[i], m.KnownAddresses[j] = m.KnownAddresses[j], m.KnownAddresses[i] })
			m.KnownAddresses = m.KnownAddresses[:maxKnownAddresses]
		}
	}
	return m
}

// encodeMessage writes a message with each number as short as it is.
func encodeMessage(m *message) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	return body.Bytes(), err
}

// targetsState returns what the message says about the targets.
func (n *Node) targetsState() (digest uint32, position uint64, ageMs uint32) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	ageMs = unknownAge
	if !n.targets.readAt.IsZero() {
		ageMs = ageMillis(n.clock.Since(n.targets.readAt))
	}
	return n.targets.digest(), n.targets.position, ageMs
}

func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), unknownAge-1))
}

// watchAgeMillis returns the milliseconds since a moment that is kept as nanoseconds since
// the start; noRead for none.
func (n *Node) watchAgeMillis(sinceStart *atomic.Int64) uint32 {
	nanos := sinceStart.Load()
	if nanos == 0 {
		return unknownAge
	}
	return ageMillis(n.clock.Since(n.startedAt) - time.Duration(nanos))
}
