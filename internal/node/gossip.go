package node

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
)

const (
	// gossipInterval is the interval between messages to each instance.
	gossipInterval = 100 * time.Millisecond
	// aggregatedReportEvery is the number of gossip rounds per message when
	// aggregators are in use.
	aggregatedReportEvery = 2
	// knownAddressesEvery is the number of rounds per message that includes known
	// addresses.
	knownAddressesEvery = 10
	// rolloutReportEvery is the number of rounds per report of a rollout.
	rolloutReportEvery = 2
	// repeatedDigestEvery is the number of rounds per message that repeats what is
	// known of requests that may have crashed several targets.
	repeatedDigestEvery = 10
	// maxKnownAddresses bounds the addresses in one message, so that it fits in
	// one datagram.
	maxKnownAddresses = 8
	// maxUsagesPerMessage bounds the account usages in one message, for the same
	// reason.
	maxUsagesPerMessage = 16
	// laggardPatience is how long an instance that reports to an aggregator may have an
	// older configuration in force before the aggregator tells it of the newer one.
	laggardPatience = 400 * time.Millisecond
	// fetchTimeout bounds a call to another instance.
	fetchTimeout = time.Second
	// fetchCheckInterval is the interval between checks whether other instances
	// have newer data.
	fetchCheckInterval = 100 * time.Millisecond
)

// gossip sends this instance's state to other instances until the context ends.
func (n *Node) gossip(ctx context.Context) {
	ticker := n.clock.NewTicker(gossipInterval)
	defer ticker.Stop()
	for round := 0; ctx.Err() == nil; round++ {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			n.beat()
			n.sendRound(round)
		}
	}
}

// sendRound sends the messages of one gossip round.
func (n *Node) sendRound(round int) {
	t := n.peers.topology()
	if t.aggregated {
		if round%aggregatedReportEvery != 0 {
			return
		}
		round /= aggregatedReportEvery
	}
	n.sendQuarantine(t.recipients, quarantineScope(round))
	m := n.newMessage(round)
	if round%rolloutReportEvery == 0 {
		n.sendRollouts(t.recipients, *m)
	}
	n.sendToRelayClients(t.recipients, round)
	if t.isAggregator {
		n.introduceToUnheard(t.recipients, round)
	}
	m.WantsAggregate = t.aggregated && !t.isAggregator
	usages := n.quota.OwnUsage()
	if !m.WantsAggregate || len(t.recipients) < 2 {
		n.sendUsages(t.recipients, m, usages)
		return
	}
	// Only the preferred aggregator is asked for the aggregate.
	n.sendUsages(t.recipients[:1], m, usages)
	m.WantsAggregate = false
	n.sendUsages(t.recipients[1:], m, usages)
}

// sendAggregate sends the quota usage of all other instances to one that does
// not gossip with all of them.
func (n *Node) sendAggregate(address string) {
	round := n.peers.countAggregate(address)
	n.sendQuarantine([]string{address}, quarantineScope(round))
	m := n.newMessage(round)
	n.addAdditions(m, m.targetsPosition().Era, n.watchers())
	if round%rolloutReportEvery == 0 {
		n.sendRollouts([]string{address}, *m)
	}
	m.IsAggregate = true
	n.sendUsages([]string{address}, m, n.quota.AggregateUsage(address))
}

// quarantineScope returns what is sent in a round about requests that may have
// crashed targets.
func quarantineScope(round int) quarantine.Scope {
	if round%repeatedDigestEvery == 0 {
		return quarantine.Repeated
	}
	return quarantine.Changes
}

// sendQuarantine sends what is known of requests that may have crashed targets,
// if there is anything within the scope.
func (n *Node) sendQuarantine(recipients []string, scope quarantine.Scope) {
	for _, m := range n.quarantineMessages(n.quarantine.Digest(scope)) {
		n.send(recipients, m)
	}
}

// quarantineMessages returns a digest in as many messages as it takes: requests with
// many parts take more room than others.
func (n *Node) quarantineMessages(digest quarantine.Digest) []*message {
	if digest.IsEmpty() {
		return nil
	}
	m := &message{Incarnation: n.incarnation, Quarantine: &digest}
	body, err := encodeMessage(m)
	if err != nil || len(body) <= peer.MaxDatagramBytes || len(digest.Marks)+len(digest.Completions) == 1 {
		// An error is logged where the message is sent.
		return []*message{m}
	}
	first, second := digest.Split()
	return append(n.quarantineMessages(first), n.quarantineMessages(second)...)
}

// sendUsages sends a message with quota usages, split into as many messages as
// needed.
func (n *Node) sendUsages(recipients []string, m *message, usages []quota.Usage) {
	m.Usages = usages[:min(maxUsagesPerMessage, len(usages))]
	n.send(recipients, m)
	for rest := usages[len(m.Usages):]; len(rest) > 0; {
		part := rest[:min(maxUsagesPerMessage, len(rest))]
		rest = rest[len(part):]
		n.send(recipients, m.withUsagesOnly(part))
	}
}

// send sends a message to the addresses.
func (n *Node) send(addresses []string, m *message) {
	bodies, err := encodeMessages(m)
	if err != nil {
		n.logger.Error("cannot encode gossip message", eventlog.ErrorField(err))
		return
	}
	for _, address := range addresses {
		for _, body := range bodies {
			if err := n.bus.Send(address, peer.KindCredit, body); err != nil {
				n.countSendError(address, len(body), err)
			}
		}
	}
}

// countSendError counts a message that could not be sent. It logs the first,
// second, fourth, eighth and so on, so that a lasting failure does not flood the
// log.
func (n *Node) countSendError(address string, size int, err error) {
	if count := n.counters.SendErrors.Add(1); bits.OnesCount64(count) == 1 {
		n.logger.Warn("state not sent", zap.String("to", address), zap.Int("bytes", size),
			zap.Uint64("so_far", count), eventlog.ErrorField(err))
	}
}

// handleGossip applies the state received from another instance.
func (n *Node) handleGossip(from string, body []byte) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	if m.Name != "" {
		if r := n.peers.recordMessage(from, &m); r != nil {
			n.logger.Info("instance heard", zap.String("peer", m.Name), zap.String("address", from),
				zap.Int64("incarnation", m.Incarnation), zap.Int64("incarnation_before", r.before), zap.Bool("had_shut_down", r.hadShutDown),
				zap.Duration("silence", r.silence), zap.Int("restarts", r.restarts), zap.Int("restarts_without_shutdown", r.endedAlone))
			n.sendQuarantine([]string{from}, quarantine.Everything)
		}
		if m.Draining {
			n.pool.LeaveRelay(from)
		}
		if m.ConfigVersion > n.configuration.Version() {
			select {
			case n.newerConfiguration <- struct{}{}:
			default:
			}
		}
		for _, report := range m.RolloutReports {
			n.applyRolloutReport(report, from, m.Incarnation)
		}
		for _, status := range m.EndedRollouts {
			n.applyRolloutStatus(status, from)
		}
		n.peers.addAddresses(m.KnownAddresses)
		watchers, err := m.watchers()
		if err == nil {
			n.peers.assignWatchers(watchers)
		} else {
			n.counters.DecodeErrors.Add(1)
		}
		n.handleRenewalAge(&m)
		n.handleEvacuations(from, &m)
		n.handleTraitsVersion(from, &m)
		n.handleCold(from, &m)
		n.handleTargetsState(from, &m)
		if current := n.placement.Roster(); m.RosterDigest != current.Digest() && current.Epoch > 0 {
			n.send([]string{from}, &message{Incarnation: n.incarnation, Roster: current})
		}
	}
	if m.Quarantine != nil {
		n.quarantine.Merge(from, *m.Quarantine)
		return
	}
	if m.Roster != nil {
		n.adoptRoster(m.Roster, from)
		return
	}
	if m.IsIntroduction {
		return
	}
	if m.IsAggregate {
		n.handleAggregate(from, &m)
		return
	}
	if len(m.Usages) > 0 {
		n.quota.ApplyUsage(m.quotaPeer(from), m.Usages)
	}
	switch {
	case m.WantsAggregate:
		n.sendAggregate(from)
	case m.Name != "" && int(m.InstanceCount) <= maxMeshSize && n.peers.topology().aggregated:
		n.sendIntroduction(from)
	case m.Name != "" && n.peers.behindFor(from) >= laggardPatience && n.peers.topology().isAggregator:
		// The aggregator that it hears may lack the newer configuration as well.
		n.sendIntroduction(from)
	}
}

// sendIntroduction sends this instance's state and addresses to an instance that knows too
// few others to use aggregators, does not report to this one, or does not hear of a newer
// configuration, until it does.
func (n *Node) sendIntroduction(address string) {
	m := n.newMessage(knownAddressesEvery)
	m.IsIntroduction = true
	n.send([]string{address}, m)
}

// introduceToUnheard sends introductions to the known instances that do not report to this
// one, although each reports to all aggregators that it knows. They cannot learn of it from
// others if they take one that hears few instances for their preferred aggregator. Each of
// them is sent one every knownAddressesEvery rounds.
func (n *Node) introduceToUnheard(recipients []string, round int) {
	for _, address := range n.peers.unheard() {
		isDue := (xxhash.Sum64String(address)+uint64(round))%knownAddressesEvery == 0
		if isDue && !slices.Contains(recipients, address) {
			n.sendIntroduction(address)
		}
	}
}

// handleAggregate applies the aggregate received from the preferred aggregator;
// aggregates of others are ignored.
func (n *Node) handleAggregate(from string, m *message) {
	t := n.peers.topology()
	if !t.aggregated || t.isAggregator || len(t.recipients) == 0 || t.recipients[0] != from {
		return
	}
	if m.InstanceCount > 0 {
		n.instanceCount.Store(int64(m.InstanceCount))
	}
	if len(m.Usages) > 0 {
		n.quota.ApplyAggregate(m.quotaPeer(from), m.Usages)
	}
}

// handleTargetsState uses another instance's recent read of the targets in place
// of an own one if both gave the same list, and has the list fetched if it
// differs and is not older.
func (n *Node) handleTargetsState(from string, m *message) {
	if m.TargetsAgeMs == unknownAge {
		return
	}
	age := time.Duration(m.TargetsAgeMs)*time.Millisecond + n.peers.transitTime(from)
	if age > targetReadInterval {
		return
	}
	position := m.targetsPosition()
	n.observeEra(position.Era)
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if position.Before(n.targets.position) {
		return
	}
	if m.TargetsDigest == n.targets.digest() {
		if n.targets.confirm(n.clock.Now().Add(-age), position) {
			n.targetsDue = true
		}
		if n.targetsDue {
			n.cold.observe(n.targets.present, n.traits.current(), n.clock.Now())
			n.useTargets()
		}
		n.logHeldEntries()
		return
	}
	select {
	case n.newerTargetsAt <- from:
	default:
	}
}
