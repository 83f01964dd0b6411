package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/placement"
)

const (
	// rosterCheckInterval is the interval between checks of the roster of
	// coordinators.
	rosterCheckInterval = 100 * time.Millisecond
	// coordinatorTimeout is how long after its last message a coordinator is
	// replaced in the roster: several gossip intervals. Until then, instances
	// that get no response from it use the next coordinator.
	coordinatorTimeout = 800 * time.Millisecond
	// rosterStartDelay is how long after its start an instance makes no roster,
	// so that it first receives the one in use.
	rosterStartDelay = time.Second
)

// maintainRoster keeps the roster of coordinators up to date until the context
// ends. The first live instance in address order makes it; all others adopt the
// newest that they receive.
func (n *Node) maintainRoster(ctx context.Context) {
	for ctx.Err() == nil {
		if n.rank() == 0 && !n.draining.Load() && n.clock.Since(n.startedAt) >= rosterStartDelay {
			n.updateRoster()
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(rosterCheckInterval):
		}
	}
}

// updateRoster replaces coordinators that are draining or timed out, and adapts
// the roster to the number of target groups. After a pause of this instance, it waits for
// messages of the others: those that it has are too old.
func (n *Node) updateRoster() {
	groupCount := n.placement.GroupCount()
	if groupCount == 0 {
		return
	}
	alive := []placement.Instance{{Address: n.settings.PeerAddress, Capacity: n.settings.Capacity}}
	for _, p := range n.peers.live() {
		if !p.draining && n.clock.Since(p.lastMessageAt) < coordinatorTimeout {
			alive = append(alive, placement.Instance{Address: p.address, Capacity: p.capacity})
		}
	}
	// The check follows the count: a pause in between makes others look silent as well.
	if next, changed := n.placement.Roster().Next(groupCount, alive); changed && !n.isResuming() {
		n.adoptRoster(next, n.settings.PeerAddress)
	}
}

// adoptRoster puts a roster in use if it is newer.
func (n *Node) adoptRoster(r *placement.Roster, source string) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	if !r.Supersedes(n.placement.Roster()) {
		return
	}
	n.placement.SetRoster(r)
	n.logger.Info("coordinators listed", zap.Uint64("roster", r.Epoch), zap.Strings("coordinators", r.Addresses),
		zap.String("source", source), zap.Int("groups", n.placement.GroupCount()))
}
