package node

import (
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/relay"
)

// connectRelay lets this instance reach targets through others, and others through
// this one.
func (n *Node) connectRelay() {
	n.pool.SetRelay(&relay.Client{Open: n.bus.OpenStream, Peers: n.relayPeers, Clock: n.clock, Logger: n.logger}, n.logger)
	n.relay = &relay.Server{
		Paths: n.pool, Allows: n.mayRelayTo, MayBegin: n.mayPassOn, Others: n.otherTargets, Draining: n.draining.Load, Logger: n.logger,
	}
	n.bus.HandleStream(n.relay.Serve)
}

// relayPeers returns the instances that may relay: all that are known, not only those
// that this one hears.
func (n *Node) relayPeers() []string { return n.peers.mayRelay() }

// mayRelayTo reports whether an address is that of a target that takes requests from this
// instance.
func (n *Node) mayRelayTo(address string) bool {
	target := (*n.targetByAddress.Load())[address]
	return target != nil && !n.placement.Blocks(target.Key()) && !n.isEvacuated(target)
}

const (
	// passOnTimeout is how long a request to be passed on waits for the set of evacuated
	// domains after a freeze, passOnPoll the interval between checks meanwhile.
	passOnTimeout = 600 * time.Millisecond
	passOnPoll    = 20 * time.Millisecond
)

// mayPassOn reports whether a request of another instance may be passed on to a target. It
// waits until it is known which domains are evacuated.
func (n *Node) mayPassOn(address string) bool {
	for end := n.clock.Now().Add(passOnTimeout); n.evacuationsLag(); n.clock.Sleep(passOnPoll) {
		if n.clock.Now().After(end) {
			return false
		}
	}
	target := (*n.targetByAddress.Load())[address]
	return target == nil || !n.isEvacuated(target)
}

// otherTargets returns the addresses of up to count targets that take requests, except for
// the one at the address: those that this instance has heard last, as others may have
// ended, and any one.
func (n *Node) otherTargets(address string, count int) []string {
	targets := *n.targetByAddress.Load()
	var others []string
	for _, other := range n.pool.LastHeard(address, count-1) {
		if targets[other] != nil {
			others = append(others, other)
		}
	}
	for other, target := range targets {
		if len(others) == count {
			break
		}
		if other != address && !slices.Contains(others, other) && !n.placement.Blocks(target.Key()) {
			others = append(others, other)
		}
	}
	return others
}

// sendToRelayClients tells the instances that reach targets through this one that it shuts
// down. Those among the recipients of gossip know.
func (n *Node) sendToRelayClients(recipients []string, round int) {
	if !n.draining.Load() {
		return
	}
	clients := slices.DeleteFunc(n.relay.Clients(), func(client string) bool { return slices.Contains(recipients, client) })
	m := n.newMessage(round)
	m.IsIntroduction = true
	n.send(clients, m)
}
