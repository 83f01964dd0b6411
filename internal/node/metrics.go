package node

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/process"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// publishMetrics adds the metrics of the components to those of the process.
func (n *Node) publishMetrics(drops DropCounter) {
	n.metrics.RegisterPart("requests", func() any { return n.requestCounters.Snapshot() })
	n.metrics.RegisterPart("schedule", func() any {
		own, _ := n.placement.Snapshot()
		return own
	})
	n.metrics.RegisterPart("coordinated", func() any {
		_, coordinated := n.placement.Snapshot()
		return coordinated
	})
	n.metrics.RegisterPart("quarantine", func() any { return n.quarantine.Counters.Snapshot() })
	n.metrics.RegisterPart("placement", func() any { return n.placement.Counters.Snapshot() })
	n.metrics.RegisterPart("instance", func() any { return n.instanceState() })
	n.metrics.RegisterPart("panics", func() any { return contain.Panics() })
	n.metrics.RegisterPart("process", func() any { return process.ReadUsage() })
	if drops != nil {
		n.metrics.RegisterPart("log_lines_dropped", func() any { return drops.Dropped() })
	}
}

// instanceState is the part of the metrics that describes the instance as a
// whole.
type instanceState struct {
	ConfigVersion uint64 `json:"config"`
	// ConfigBehindMs is how long another instance has been known to have a newer version;
	// 0 if none has.
	ConfigBehindMs      int64  `json:"config_behind_ms"`
	UpdateBytesReceived uint64 `json:"config_update_bytes_received"`
	UpdateBytesSent     uint64 `json:"config_update_bytes_sent"`
	UpdatesReferred     uint64 `json:"config_updates_referred"`
	UpdateFailures      uint64 `json:"config_update_failures"`
	Draining            bool   `json:"draining"`
	// Awaits is what the instance waits for before it is ready; "" if it is. ChecksRefused counts
	// the readiness checks that failed.
	Awaits        string `json:"awaits"`
	ChecksRefused uint64 `json:"readiness_checks_failed"`
	InstanceCount int    `json:"instances"`
	// DependenciesLost are those whose last call failed, DependencyFailures counts the failed calls
	// to all.
	DependenciesLost   []string `json:"dependencies_lost"`
	DependencyFailures uint64   `json:"dependency_failures"`
	// PeerRestarts and PeersEndedAlone count the restarts of other instances that this one has
	// heard, all and those without a shutdown before.
	PeerRestarts    int   `json:"instances_restarted"`
	PeersEndedAlone int   `json:"instances_restarted_without_shutdown"`
	TargetsAgeMs    int64 `json:"targets_age_ms"`
	// TargetsPartial is set while only a part of the list of targets is in use.
	TargetsPartial bool   `json:"targets_partial"`
	WatchAgeMs     uint32 `json:"watch_age_ms"`
	// WatchArrivingMs is for how long the response to the current watch has been arriving.
	WatchArrivingMs       int64  `json:"watch_arriving_ms"`
	CallerConnections     int    `json:"caller_connections"`
	AcceptFailures        uint64 `json:"accept_failures"`
	DatagramReadFailures  uint64 `json:"datagram_read_failures"`
	ChecksEvicted         uint64 `json:"check_connections_evicted"`
	TargetConnectionsMade uint64 `json:"target_connections_made"`
	TargetsSentTooMuch    uint64 `json:"target_responses_too_long"`
	// HeldBytes is the memory held for slow callers and for bodies of targets, SlowCallers the
	// number of callers that some is held for.
	HeldBytes          int64  `json:"held_bytes"`
	SlowCallers        int    `json:"slow_callers"`
	GossipSendErrors   uint64 `json:"gossip_unsent"`
	GossipDecodeErrors uint64 `json:"gossip_unread"`
	StoreEra           uint64 `json:"store_era"`
	StoreReturns       uint64 `json:"store_returns"`
	// EvacuatedDomains and ColdTargets are the current numbers, EvacuationsAgeMs is the age
	// of the last confirmation of the evacuated domains.
	EvacuatedDomains int    `json:"evacuated_domains"`
	EvacuationsAgeMs uint32 `json:"evacuations_age_ms"`
	ColdTargets      int    `json:"cold_targets"`
	HeldEntries      uint64 `json:"held_entries"`
	// PathsLostNow is the number of targets that this instance does not reach itself.
	PathsLostNow     int    `json:"paths_lost_now"`
	PathsLost        uint64 `json:"paths_lost"`
	PathChecks       uint64 `json:"path_checks"`
	ConnsViaPeers    uint64 `json:"connections_via_peers"`
	ConnsForPeers    uint64 `json:"connections_for_peers"`
	ConnsForPeersNow int64  `json:"connections_for_peers_now"`
	ConnsRefused     uint64 `json:"connections_for_peers_refused"`
	LinksFailed      uint64 `json:"own_links_failed"`
	// RequestsNotPassedOn is the number of connections of other instances that were closed
	// since their targets had been evacuated.
	RequestsNotPassedOn uint64 `json:"requests_for_peers_not_passed_on"`
	// RelayPeers is the number of instances through which this one may reach targets.
	RelayPeers int `json:"peers_to_relay"`
	// QuotaGranted, QuotaRefused and QuotaFallbacks count charges that were requested
	// from a grantor.
	QuotaGranted   uint64 `json:"quota_granted"`
	QuotaRefused   uint64 `json:"quota_refused"`
	QuotaFallbacks uint64 `json:"quota_grants_without_response"`
}

func (n *Node) instanceState() instanceState {
	view := n.clusterView()
	n.targetsMu.Lock()
	heldEntries, isPartial := n.targets.heldCount, n.targets.isPartial()
	n.targetsMu.Unlock()
	paths := n.pool.PathCounters()
	slowCallers, _ := n.pool.HeldForCallers()
	evacuated, evacuationsAge := n.evacuationsState()
	restarts, endedAlone := n.peers.restartCounts()
	return instanceState{
		Awaits: n.awaitedForReadiness(), ChecksRefused: n.readiness.refusals(),
		PeerRestarts: restarts, PeersEndedAlone: endedAlone,
		DependenciesLost: n.lostDependencies.list(), DependencyFailures: n.lostDependencies.failures.Load(),
		EvacuatedDomains: evacuated, EvacuationsAgeMs: evacuationsAge, ColdTargets: n.cold.count(n.clock.Now()),
		PathsLostNow: n.pool.LostPaths(), PathsLost: paths.Lost.Load(), PathChecks: paths.Checks.Load(), ConnsViaPeers: paths.Relayed.Load(),
		RequestsNotPassedOn: n.relay.NotBegun.Load(), ConnsForPeers: n.relay.Relayed.Load(), ConnsForPeersNow: n.relay.Active(),
		ConnsRefused: n.relay.Refused.Load(), LinksFailed: n.relay.LinksFailed.Load(), RelayPeers: len(n.relayPeers()),
		StoreEra: n.era.current(), StoreReturns: n.era.returns.Load(), HeldEntries: heldEntries,
		ConfigBehindMs: n.behindFor().Milliseconds(), UpdateBytesReceived: n.updateCounters.BytesReceived.Load(), UpdateBytesSent: n.updateCounters.BytesSent.Load(),
		UpdatesReferred: n.updateCounters.Referred.Load(), UpdateFailures: n.updateCounters.Failures.Load(),
		ConfigVersion: n.configuration.Version(), Draining: n.draining.Load(), InstanceCount: view.Instances,
		TargetsAgeMs: view.TargetsAge.Milliseconds(), TargetsPartial: isPartial, WatchAgeMs: n.watchAgeMillis(&n.lastWatchNanos), WatchArrivingMs: n.arrivingFor().Milliseconds(),
		CallerConnections: n.callerServer.OpenConnections(), AcceptFailures: n.acceptFailures.Load(), DatagramReadFailures: peer.DatagramReadFailures(), ChecksEvicted: n.checksEvicted.Load(), TargetConnectionsMade: n.pool.OpenedConns(), TargetsSentTooMuch: n.pool.TooLong(),
		QuotaGranted: n.quotaGate.Granted.Load(), QuotaRefused: n.quotaGate.Refused.Load(), QuotaFallbacks: n.quotaGate.Fallbacks.Load(),
		HeldBytes: n.pool.HeldBytes(), SlowCallers: slowCallers,
		GossipSendErrors: n.counters.SendErrors.Load(), GossipDecodeErrors: n.counters.DecodeErrors.Load(),
	}
}

// clusterView returns the number of instances and the age of the list of
// targets.
func (n *Node) clusterView() gateway.ClusterView {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	view := gateway.ClusterView{Instances: int(n.instanceCount.Load())}
	if !n.targets.readAt.IsZero() {
		view.TargetsAge = n.clock.Since(n.targets.readAt)
	}
	return view
}

// observeLatency records the time to the first event and the total time of an
// answered request.
func (n *Node) observeLatency(priority int, account string, firstEvent, total time.Duration) {
	tier := min(max(priority, 0), tables.TierCount-1)
	n.metrics.Observe(tables.Tier(tier), account, firstEvent, total)
}

// InstanceCount returns the number of instances that share the load, including
// this one, as far as this instance knows.
func (n *Node) InstanceCount() int { return n.clusterView().Instances }
