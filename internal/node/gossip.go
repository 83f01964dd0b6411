package node

import (
	"context"
	"math/bits"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
)

const (
	// gossipPeriod is the time between two messages to each instance.
	gossipPeriod = 100 * time.Millisecond
	// gatherEvery says in how many turns an instance reports where reports are
	// gathered.
	gatherEvery = 2
	// introduceEvery says in how many turns known addresses are included.
	introduceEvery = 10
	// maxKnown bounds the addresses of one message, so that it fits in one
	// packet.
	maxKnown = 8
	// usagesPerMessage is the same for accounts.
	usagesPerMessage = 16
	// fetchDelay is how long a newer configuration that another instance has
	// may still come from the control plane.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout bounds a call to another instance.
	fetchTimeout = time.Second
	// fetchPeriod is the time between looks for what others know better.
	fetchPeriod = 100 * time.Millisecond
)

// gossip sends the own state to other instances until the context ends.
func (n *Node) gossip(ctx context.Context) {
	ticker := n.clock.NewTicker(gossipPeriod)
	defer ticker.Stop()
	for turn := 0; ctx.Err() == nil; turn++ {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			n.sendState(turn)
		}
	}
}

// sendState sends one round of messages.
func (n *Node) sendState(turn int) {
	t := n.peers.topology()
	if t.gather {
		if turn%gatherEvery != 0 {
			return
		}
		turn /= gatherEvery
	}
	m := n.describe(turn)
	m.WantsAggregate = t.gather && !t.gathers
	usages := n.quota.Usages()
	if !m.WantsAggregate || len(t.to) < 2 {
		n.sendUsages(t.to, m, usages)
		return
	}
	// Only the preferred one is asked for the sum.
	n.sendUsages(t.to[:1], m, usages)
	m.WantsAggregate = false
	n.sendUsages(t.to[1:], m, usages)
}

// gatheredFor answers an instance that does not write to all others.
func (n *Node) gatheredFor(address string) {
	m := n.describe(int(n.gatherTurns.Add(1)))
	m.IsAggregate = true
	n.sendUsages([]string{address}, m, n.quota.Gather(address))
}

// sendUsages sends a message with the use of quotas, in as many parts as it
// takes.
func (n *Node) sendUsages(to []string, m *message, usages []quota.Usage) {
	m.Usages = usages[:min(usagesPerMessage, len(usages))]
	n.send(to, m)
	for rest := usages[len(m.Usages):]; len(rest) > 0; {
		part := rest[:min(usagesPerMessage, len(rest))]
		rest = rest[len(part):]
		n.send(to, &message{
			Incarnation: n.incarnation, RecentlyStarted: m.RecentlyStarted, IsAggregate: m.IsAggregate, InstanceCount: m.InstanceCount, Usages: part,
		})
	}
}

// send sends a message to some instances.
func (n *Node) send(addresses []string, m *message) {
	body, err := encode(m)
	if err != nil {
		n.logger.Error("state could not be encoded", eventlog.Cause(err))
		return
	}
	for _, address := range addresses {
		if err := n.bus.Send(address, peer.KindCredit, body); err != nil {
			n.countUnsent(address, len(body), err)
		}
	}
}

// countUnsent counts messages that could not be sent, and logs ever fewer of
// them.
func (n *Node) countUnsent(address string, size int, err error) {
	if count := n.counters.SendErrors.Add(1); bits.OnesCount64(count) == 1 {
		n.logger.Warn("state not sent", zap.String("to", address), zap.Int("bytes", size),
			zap.Uint64("so_far", count), eventlog.Cause(err))
	}
}

// hear takes another instance's state.
func (n *Node) hear(from string, body []byte) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	if m.Name != "" {
		if n.peers.heard(from, &m) {
			n.logger.Info("instance heard", zap.String("peer", m.Name), zap.String("address", from),
				zap.Int64("incarnation", m.Incarnation))
		}
		if m.ConfigVersion > n.holder.Version() {
			select {
			case n.newerDeclared <- struct{}{}:
			default:
			}
		}
		n.suspects.Hear(m.Crashes)
		for _, report := range m.RolloutReports {
			n.rollouts.HearReport(from, report)
		}
		for _, status := range m.EndedRollouts {
			n.hearStatus(status, from)
		}
		n.peers.introduceAddresses(m.KnownAddresses)
		n.hearTargets(from, &m)
		if own := n.placement.Roster(); m.RosterID != own.ID() && own.Epoch > 0 {
			n.send([]string{from}, &message{Incarnation: n.incarnation, Roster: own})
		}
	}
	if m.Roster != nil {
		n.takeRoster(m.Roster, from)
		return
	}
	if m.IsIntroduction {
		return
	}
	if m.IsAggregate {
		n.hearGathered(from, &m)
		return
	}
	if len(m.Usages) > 0 {
		n.quota.Hear(m.quotaPeer(from), m.Usages)
	}
	switch {
	case m.WantsAggregate:
		n.gatheredFor(from)
	case m.Name != "" && int(m.InstanceCount) < meshLimit && n.peers.topology().gather:
		n.introduce(from)
	}
}

// introduce tells an instance that takes the others for few of more of them,
// until it asks one that gathers.
func (n *Node) introduce(address string) {
	m := n.describe(introduceEvery)
	m.IsIntroduction = true
	n.send([]string{address}, m)
}

// hearGathered takes the sum of the others from the preferred instance that
// gathers.
func (n *Node) hearGathered(from string, m *message) {
	t := n.peers.topology()
	if !t.gather || t.gathers || len(t.to) == 0 || t.to[0] != from {
		return
	}
	if m.InstanceCount > 0 {
		n.sharers.Store(int64(m.InstanceCount))
	}
	if len(m.Usages) > 0 {
		n.quota.HearGathered(m.quotaPeer(from), m.Usages)
	}
}

// hearTargets takes another instance's recent read for an own one where it
// brought the same, and asks for it where it brought something newer.
func (n *Node) hearTargets(from string, m *message) {
	if m.TargetsAgeMs == noRead {
		return
	}
	age := time.Duration(m.TargetsAgeMs) * time.Millisecond
	if age > targetPeriod {
		return
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if m.TargetsPosition < n.targets.position {
		return
	}
	if m.TargetsDigest == n.targets.digest() {
		n.targets.confirm(n.clock.Now().Add(-age), m.TargetsPosition)
		return
	}
	select {
	case n.newerTargets <- from:
	default:
	}
}
