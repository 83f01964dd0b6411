package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/placement"
)

const (
	// rosterCheckInterval is the time between looks at the list of coordinators.
	rosterCheckInterval = 100 * time.Millisecond
	// coordinatorTimeout is how long a coordinator may be unheard before another
	// replaces it in the list: several periods of the reports. Until then it is
	// passed over by those that it does not answer.
	coordinatorTimeout = 800 * time.Millisecond
	// rosterStartDelay is how long after its start an instance makes no list: the
	// time in which it hears of the one in use.
	rosterStartDelay = time.Second
)

// maintainRoster keeps the list of coordinators until the context ends. The first
// live instance in the order of addresses makes it; all others take over the
// newest that they hear of.
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

// updateRoster replaces coordinators that are gone, and adapts the list to the
// number of groups of targets.
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
	if next, changed := n.placement.Roster().Next(groupCount, alive); changed {
		n.adoptRoster(next, n.settings.PeerAddress)
	}
}

// adoptRoster puts a newer list in use.
func (n *Node) adoptRoster(r *placement.Roster, source string) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	if !r.Newer(n.placement.Roster()) {
		return
	}
	n.placement.SetRoster(r)
	n.logger.Info("coordinators listed", zap.Uint64("roster", r.Epoch), zap.Strings("coordinators", r.Addresses),
		zap.String("source", source), zap.Int("groups", n.placement.GroupCount()))
}
