package node

import (
	"context"
	"math/bits"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// gossipPeriod is the time between two messages to each instance.
	gossipPeriod = 50 * time.Millisecond
	// changePeriod is the shortest time between two messages about changes.
	changePeriod = 4 * time.Millisecond
	// usageEvery and introduceEvery say in how many messages quota totals and
	// known addresses are included.
	usageEvery     = 2
	introduceEvery = 20
	// gatherEvery says in how many turns an instance reports where reports are
	// gathered.
	gatherEvery = 2
	// maxKnown bounds the addresses, and loadsPerMessage the loads, of one
	// message, so that it fits in one packet.
	maxKnown        = 8
	loadsPerMessage = 45
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
	for turn := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-n.scheduler.News():
			n.sendChanges()
			n.clock.Sleep(changePeriod)
		case <-ticker.Chan():
			n.sendState(turn)
			turn++
			if n.scheduler.Waiting() {
				n.scheduler.Pump()
			}
		}
	}
}

// sendChanges tells at once what others should not miss until the next round.
func (n *Node) sendChanges() {
	changes := n.scheduler.Changes()
	if changes == nil {
		return
	}
	if t := n.peers.topology(); !t.gather {
		n.send(t.to, &message{Incarnation: n.incarnation, Load: *changes})
	}
}

// sendState sends one round of messages.
func (n *Node) sendState(turn int) {
	t := n.peers.topology()
	if t.gather && turn%gatherEvery != 0 {
		return
	}
	m := n.describe(turn)
	m.Load = *n.scheduler.Report(!t.gather && turn%introduceEvery == 0)
	m.WantOthers = t.gather && !t.gathers
	if turn%usageEvery == 0 {
		m.Usages = n.quota.Usages()
	}
	if m.WantOthers && len(t.to) > 1 {
		// Only the preferred one is asked for the sum.
		n.send(t.to[:1], m)
		m.WantOthers = false
		n.send(t.to[1:], m)
		return
	}
	n.send(t.to, m)
}

// gatheredFor answers an instance that does not write to all others.
func (n *Node) gatheredFor(address string) {
	turn := int(n.gatherTurns.Add(1))
	loads := n.scheduler.Gather(address)
	m := n.describe(turn)
	m.Gathered = true
	m.Load = schedule.Report{Loads: loads.Loads, Queues: loads.Queues}
	rest := loads.Loads
	if len(rest) > loadsPerMessage {
		m.Load.Loads, rest = rest[:loadsPerMessage], rest[loadsPerMessage:]
	} else {
		rest = nil
	}
	n.send([]string{address}, m)
	for len(rest) > 0 {
		part := rest[:min(loadsPerMessage, len(rest))]
		rest = rest[len(part):]
		n.send([]string{address}, &message{
			Incarnation: n.incarnation, Gathered: true,
			Load: schedule.Report{Partial: true, Loads: part, Queues: loads.Queues},
		})
	}
	usages := n.quota.Gather(address)
	n.send([]string{address}, &message{
		Incarnation: n.incarnation, Gathered: true, Members: m.Members, Usages: usages,
		Load: schedule.Report{Partial: true, Queues: loads.Queues},
	})
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
	if count := n.counters.GossipUnsent.Add(1); bits.OnesCount64(count) == 1 {
		n.logger.Warn("state not sent", zap.String("to", address), zap.Int("bytes", size),
			zap.Uint64("so_far", count), eventlog.Cause(err))
	}
}

// hear takes another instance's state.
func (n *Node) hear(from string, body []byte) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		n.counters.GossipUnread.Add(1)
		return
	}
	if m.Name != "" {
		if n.peers.heard(from, &m) {
			n.logger.Info("instance heard", zap.String("peer", m.Name), zap.String("address", from),
				zap.Int64("incarnation", m.Incarnation))
		}
		if m.Config > n.holder.Version() {
			select {
			case n.newerDeclared <- struct{}{}:
			default:
			}
		}
		n.suspects.Hear(m.Crashes)
		for _, report := range m.Rollouts {
			n.rollouts.HearReport(from, report)
		}
		for _, status := range m.Ended {
			n.hearStatus(status, from)
		}
		n.peers.introduceAddresses(m.Known)
		n.hearTargets(from, &m)
	}
	if m.Introduces {
		return
	}
	if m.Gathered {
		n.hearGathered(from, &m)
		return
	}
	n.scheduler.Hear(from, &m.Load)
	if len(m.Usages) > 0 {
		n.quota.Hear(from, m.Incarnation, m.Usages)
	}
	switch {
	case m.WantOthers:
		n.gatheredFor(from)
	case m.Name != "" && int(m.Members) < meshLimit && n.peers.topology().gather:
		n.introduce(from)
	}
}

// introduce tells an instance that takes the others for few of more of them,
// until it asks one that gathers.
func (n *Node) introduce(address string) {
	m := n.describe(introduceEvery)
	m.Introduces = true
	n.send([]string{address}, m)
}

// hearGathered takes the sum of the others from the preferred instance that
// gathers.
func (n *Node) hearGathered(from string, m *message) {
	t := n.peers.topology()
	if !t.gather || t.gathers || len(t.to) == 0 || t.to[0] != from {
		return
	}
	if m.Members > 0 {
		n.sharers.Store(int64(m.Members))
	}
	n.scheduler.HearGathered(&m.Load, int(n.sharers.Load()))
	if len(m.Usages) > 0 {
		n.quota.HearGathered(from, m.Incarnation, max(1, int(m.Members)-1), m.Usages)
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
