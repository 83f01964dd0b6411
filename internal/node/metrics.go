package node

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// publish adds to the process's metrics what the parts count themselves.
func (n *Node) publish(logs Logs) {
	n.metrics.RegisterPart("requests", func() any { return n.served.Snapshot() })
	n.metrics.RegisterPart("schedule", func() any {
		own, _ := n.placement.Snapshot()
		return own
	})
	n.metrics.RegisterPart("coordinated", func() any {
		_, coordinated := n.placement.Snapshot()
		return coordinated
	})
	n.metrics.RegisterPart("placement", func() any { return n.placement.Counters.Snapshot() })
	n.metrics.RegisterPart("instance", func() any { return n.state() })
	if logs != nil {
		n.metrics.RegisterPart("log_lines_dropped", func() any { return logs.Dropped() })
	}
}

// state is what the metrics say of an instance as a whole.
type state struct {
	Config            uint64 `json:"config"`
	Draining          bool   `json:"draining"`
	Instances         int    `json:"instances"`
	TargetsAgeMs      int64  `json:"targets_age_ms"`
	WatchAgeMs        uint32 `json:"watch_age_ms"`
	CallerConnections int    `json:"caller_connections"`
	TargetConnections uint64 `json:"target_connections_made"`
	GossipUnsent      uint64 `json:"gossip_unsent"`
	GossipUnread      uint64 `json:"gossip_unread"`
}

func (n *Node) state() state {
	beliefs := n.beliefs()
	return state{
		Config: n.holder.Version(), Draining: n.draining.Load(), Instances: beliefs.Instances,
		TargetsAgeMs: beliefs.TargetsAge.Milliseconds(), WatchAgeMs: n.age(&n.ownWatch),
		CallerConnections: n.callers.OpenConnections(), TargetConnections: n.pool.OpenedConns(),
		GossipUnsent: n.counters.GossipUnsent.Load(), GossipUnread: n.counters.GossipUnread.Load(),
	}
}

// beliefs returns how well this instance knows the others and the targets.
func (n *Node) beliefs() gateway.ClusterView {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	beliefs := gateway.ClusterView{Instances: int(n.sharers.Load())}
	if !n.targets.readAt.IsZero() {
		beliefs.TargetsAge = n.clock.Since(n.targets.readAt)
	}
	return beliefs
}

// observe records the times of an answered request.
func (n *Node) observe(priority int, account string, first, whole time.Duration) {
	tier := min(max(priority, 0), tables.TierCount-1)
	n.metrics.Observe(tables.Tier(tier), account, first, whole)
}

// Instances counts the instances that share the work, with this one, as far as
// is known here.
func (n *Node) Instances() int { return n.beliefs().Instances }
