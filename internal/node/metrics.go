package node

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// publish adds to the process's metrics what the parts count themselves.
func (n *Node) publish(logs DropCounter) {
	n.metrics.Include("requests", func() any { return n.served.Snapshot() })
	n.metrics.Include("schedule", func() any {
		own, _ := n.placement.Snapshot()
		return own
	})
	n.metrics.Include("coordinated", func() any {
		_, coordinated := n.placement.Snapshot()
		return coordinated
	})
	n.metrics.Include("placement", func() any { return n.placement.Counters.Snapshot() })
	n.metrics.Include("instance", func() any { return n.state() })
	if logs != nil {
		n.metrics.Include("log_lines_dropped", func() any { return logs.Dropped() })
	}
}

// state is what the metrics say of an instance as a whole.
type state struct {
	ConfigVersion         uint64 `json:"config"`
	Draining              bool   `json:"draining"`
	InstanceCount         int    `json:"instances"`
	TargetsAgeMs          int64  `json:"targets_age_ms"`
	WatchAgeMs            uint32 `json:"watch_age_ms"`
	CallerConnections     int    `json:"caller_connections"`
	TargetConnectionsMade uint64 `json:"target_connections_made"`
	GossipSendErrors      uint64 `json:"gossip_unsent"`
	GossipDecodeErrors    uint64 `json:"gossip_unread"`
}

func (n *Node) state() state {
	beliefs := n.beliefs()
	return state{
		ConfigVersion: n.holder.Version(), Draining: n.draining.Load(), InstanceCount: beliefs.Instances,
		TargetsAgeMs: beliefs.TargetsAge.Milliseconds(), WatchAgeMs: n.age(&n.ownWatch),
		CallerConnections: n.callers.Open(), TargetConnectionsMade: n.pool.Opened(),
		GossipSendErrors: n.counters.SendErrors.Load(), GossipDecodeErrors: n.counters.DecodeErrors.Load(),
	}
}

// beliefs returns how well this instance knows the others and the targets.
func (n *Node) beliefs() gateway.Beliefs {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	beliefs := gateway.Beliefs{Instances: int(n.sharers.Load())}
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

// InstanceCount counts the instances that share the work, with this one, as far as
// is known here.
func (n *Node) InstanceCount() int { return n.beliefs().Instances }
