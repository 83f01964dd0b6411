package node

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// message is a gossip message with the state of one instance. It is encoded by
// position: neither the order nor the number of the fields must change, or instances
// of other versions cannot decode it. New fields go into Additions.
type message struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation int64
	// Capacity is the CPU share in hundredths of a core; Draining is set while
	// the instance shuts down.
	Capacity uint16
	Draining bool
	// RecentlyStarted is set during recentStartWindow after the start.
	RecentlyStarted bool
	// WantsAggregate requests the aggregated quota usage of all other instances.
	WantsAggregate bool
	// IsAggregate is set if Usages is such an aggregate.
	IsAggregate bool
	// IsIntroduction marks a message that carries addresses and no quota usage;
	// it is not answered with an aggregate or an introduction.
	IsIntroduction bool
	// RosterDigest identifies the roster in use. Roster is that roster if the
	// recipient's RosterDigest differs, and nil otherwise.
	RosterDigest uint32
	Roster       *placement.Roster
	// InstanceCount is the number of instances that share the load.
	InstanceCount uint16
	// ConfigVersion is the version in force.
	ConfigVersion uint64
	Usages        []quota.Usage
	// KnownAddresses are addresses of live instances.
	KnownAddresses []string
	// RolloutReports are this instance's counts for rollouts in progress,
	// EndedRollouts the statuses of those that have ended.
	RolloutReports []rollout.Report
	EndedRollouts  []rollout.Status
	// Additions are fields that earlier versions ignore: the era of TargetsPosition, the
	// addresses of the instances that watch the declarations, the age in milliseconds of
	// the last renewal of all announcements, unknownAge if none is known, and the
	// milliseconds from the sender's start to the message. Those of this build follow; see
	// appendAdditions.
	Additions []msgpack.RawMessage
	// TargetsDigest and TargetsPosition describe the known list of targets.
	TargetsDigest   uint32
	TargetsPosition uint64
	// TargetsAgeMs is the age of the last read of that list, by this instance or
	// by another one with the same result; unknownAge if there was none.
	TargetsAgeMs uint32
	// WatchAgeMs is the age of the last response to this instance's own watch of
	// the operator's declarations; unknownAge before the first one and after a
	// failure.
	WatchAgeMs uint32
	// PeerWatchAgeMs is the lowest WatchAgeMs of the live instances that this
	// one knows.
	PeerWatchAgeMs uint32
	// Quarantine is what is known of requests that may have crashed targets. It is
	// sent in messages of its own.
	Quarantine *quarantine.Digest
}

// targetsPosition returns the position of the sender's list of targets. The era is
// 0 if the sender's version does not send it.
func (m *message) targetsPosition() Position {
	position := Position{Version: m.TargetsPosition}
	if m.addition(0, &position.Era) != nil {
		position.Era = 0
	}
	return position
}

// watchers returns the addresses of the instances that watch the declarations; nil if
// the sender does not name any.
func (m *message) watchers() (addresses []string, err error) {
	err = m.addition(1, &addresses)
	return addresses, err
}

// addition decodes an addition. The value stays as it is if there is none.
func (m *message) addition(index int, value any) error {
	if len(m.Additions) <= index {
		return nil
	}
	return msgpack.Unmarshal(m.Additions[index], value)
}

// renewalAgeMs returns the age of the last renewal of all announcements that the sender
// knows of, in milliseconds.
func (m *message) renewalAgeMs() (age uint32, err error) {
	age = unknownAge
	err = m.addition(2, &age)
	return age, err
}

// sentAfter returns the time from the sender's start to the message; 0 if the sender does
// not state it.
func (m *message) sentAfter() time.Duration {
	var ms uint64
	if m.addition(3, &ms) != nil {
		return 0
	}
	return time.Duration(min(ms, maxUptimeMs)) * time.Millisecond
}

// maxUptimeMs bounds the time that a message may state.
const maxUptimeMs = 1 << 40

// setAdditions sets the fields that earlier versions ignore.
func (m *message) setAdditions(era uint64, watchers []string, renewalAgeMs uint32, uptime time.Duration) error {
	m.Additions = nil
	for _, value := range []any{era, watchers, renewalAgeMs, uint64(uptime.Milliseconds())} {
		encoded, err := msgpack.Marshal(value)
		if err != nil {
			return err
		}
		m.Additions = append(m.Additions, encoded)
	}
	return nil
}

// recentStartWindow is how long after its start an instance sets
// RecentlyStarted; it exceeds the time until all instances have received its
// gossip.
const recentStartWindow = 3 * time.Second

// quotaPeer returns the sender as a peer of the quota limiter.
func (m *message) quotaPeer(from string) quota.Peer {
	return quota.Peer{
		Name: from, Incarnation: m.Incarnation, JustStarted: m.RecentlyStarted, Instances: max(1, int(m.InstanceCount)-1),
	}
}

// unknownAge stands for the age of a read or watch that has not taken place.
const unknownAge = 1<<32 - 1

// uptime returns the time since the start that messages state. It counts what the machine was
// suspended: the recipients would take that for a delay of all further messages.
func (n *Node) uptime() time.Duration { return n.bootTime() - n.startedAtBoot }

// newMessage returns a message with this instance's state, without quota usages.
func (n *Node) newMessage(round int) *message {
	m := &message{
		Name: n.settings.Name, Incarnation: n.incarnation, Capacity: uint16(n.settings.Capacity),
		Draining: n.draining.Load(), RecentlyStarted: n.clock.Since(n.startedAt) < recentStartWindow, RosterDigest: n.placement.Roster().Digest(), ConfigVersion: n.configuration.Version(),
		InstanceCount: uint16(n.instanceCount.Load()),
	}
	var position Position
	m.TargetsDigest, position, m.TargetsAgeMs = n.targetsState()
	m.TargetsPosition = position.Version
	n.addAdditions(m, position.Era, nil)
	m.WatchAgeMs = n.watchAgeMillis(&n.lastWatchNanos)
	m.PeerWatchAgeMs = n.peers.lowestWatchAge()
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

// addAdditions sets the fields that earlier versions ignore to this instance's state.
func (n *Node) addAdditions(m *message, era uint64, watchers []string) {
	err := m.setAdditions(era, watchers, n.watchAgeMillis(&n.renewedNanos), n.uptime())
	if err == nil {
		err = n.appendAdditions(m)
	}
	if err != nil {
		n.logger.Error("cannot encode additions to a message", eventlog.ErrorField(err))
	}
}

// encodeMessage encodes a message, with integers as short as their values allow.
func encodeMessage(m *message) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	return body.Bytes(), err
}

// encodeMessages encodes a message, as several if it does not fit in a datagram: names that
// others have chosen are as long as they like. An entry that is too long alone keeps back no
// other one.
func encodeMessages(m *message) ([][]byte, error) {
	body, err := encodeMessage(m)
	if err != nil || len(body) <= peer.MaxDatagramBytes {
		return [][]byte{body}, err
	}
	if len(m.RolloutReports) == 1 && len(m.RolloutReports[0].Records) > 1 {
		return encodeParts(m.RolloutReports[0].Records, func(records []evidence.Record) *message {
			part, report := *m, m.RolloutReports[0]
			report.Records = records
			part.RolloutReports = []rollout.Report{report}
			return &part
		})
	}
	if len(m.EndedRollouts)+len(m.Usages) == 0 {
		return [][]byte{body}, nil
	}
	var bodies [][]byte
	state := *m
	state.EndedRollouts, state.Usages = nil, nil
	if m.Name != "" {
		if body, err = encodeMessage(&state); err != nil {
			return nil, err
		}
		bodies = append(bodies, body)
	}
	ended, err := encodeParts(m.EndedRollouts, func(statuses []rollout.Status) *message {
		part := state
		part.IsIntroduction, part.WantsAggregate, part.IsAggregate = true, false, false
		part.KnownAddresses, part.EndedRollouts = nil, statuses
		return &part
	})
	if err != nil {
		return nil, err
	}
	usages, err := encodeParts(m.Usages, m.withUsagesOnly)
	return append(append(bodies, ended...), usages...), err
}

// encodeParts encodes messages with entries that do not fit in one.
func encodeParts[E any](entries []E, newMessage func([]E) *message) ([][]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	body, err := encodeMessage(newMessage(entries))
	if err != nil || len(body) <= peer.MaxDatagramBytes || len(entries) == 1 {
		return [][]byte{body}, err
	}
	first, err := encodeParts(entries[:len(entries)/2], newMessage)
	if err != nil {
		return nil, err
	}
	second, err := encodeParts(entries[len(entries)/2:], newMessage)
	return append(first, second...), err
}

// withUsagesOnly returns a message that continues the usages of another one.
func (m *message) withUsagesOnly(usages []quota.Usage) *message {
	return &message{
		Incarnation: m.Incarnation, RecentlyStarted: m.RecentlyStarted, IsAggregate: m.IsAggregate, InstanceCount: m.InstanceCount, Usages: usages,
	}
}

// targetsState returns the digest, the position and the age of the list of
// targets.
func (n *Node) targetsState() (digest uint32, position Position, ageMs uint32) {
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

// watchAgeMillis returns the milliseconds since an instant given in nanoseconds
// since startedAt; unknownAge for 0.
func (n *Node) watchAgeMillis(sinceStart *atomic.Int64) uint32 {
	nanos := sinceStart.Load()
	if nanos == 0 {
		return unknownAge
	}
	return ageMillis(n.clock.Since(n.startedAt) - time.Duration(nanos))
}
