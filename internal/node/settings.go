// Package node runs one instance of the gateway: it follows the operator's
// configuration and the targets, tells the other instances what it runs, and
// starts and ends the servers.
//
// What must last lies with the control plane (ControlPlane). An instance keeps
// nothing else: its loads, quotas and beliefs are told to the others in
// datagrams of absolute state, from which a restarted one catches up.
package node

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// Settings are what an instance starts from.
type Settings struct {
	Name          string
	FailureDomain string
	// CallerAddress, ReadinessAddress and PeerAddress are the "ip:port" to listen on; PeerAddress is for
	// TCP and UDP.
	CallerAddress, ReadinessAddress, PeerAddress string
	// MetricsAddress is the "ip:port" of the counters; "" for none.
	MetricsAddress string
	// Seeds are the Peers addresses of some instances, possibly outdated.
	Seeds []string
	// Deployment tells deployments apart that share a network.
	Deployment string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	// Capacity is the processor share in hundredths of a core; 0 if not known.
	Capacity int
	// MemoryLimitBytes bounds the process's memory; 0 means no bound.
	MemoryLimitBytes int64
	// ShutdownGrace is the time between the signal to stop and the end by force.
	ShutdownGrace time.Duration
	// Retries bound sending requests again, over all instances.
	Retries gateway.Limits
	// QuotaTolerance is how far accounts may exceed their quotas.
	QuotaTolerance quota.Tolerance
}

// Member is an instance as it announces itself.
type Member struct {
	Name    string
	Address string
}

// Declarations is what a watch of the operator's declarations has brought.
type Declarations struct {
	// Configuration is nil when it has not changed.
	Configuration *catalog.Configuration
	// RolloutOrders are the orders to move services that have changed, with Ended the
	// statuses of those that have ended.
	RolloutOrders []rollout.Order
	EndedRollouts []rollout.Status
	// Position is where to continue.
	Position uint64
}

// ControlPlane is the platform's lasting state. Errors mean that nothing is
// known anew; calls may be repeated.
type ControlPlane interface {
	// ReadDeclarations reads what the operator has declared.
	ReadDeclarations(ctx context.Context) (Declarations, error)
	// Watch waits for changes after a position.
	Watch(ctx context.Context, after uint64) (Declarations, error)
	// Targets reads all targets, with the position of the answer.
	Targets(ctx context.Context) ([]*catalog.Target, uint64, error)
	// Members reads the instances that have announced themselves lately.
	Members(ctx context.Context) ([]Member, error)
	// WriteRolloutStatus writes what has become of an order, unless its end is written
	// already; it returns the status that stands then.
	WriteRolloutStatus(ctx context.Context, status rollout.Status) (rollout.Status, error)
	// Announce lists an instance; call it after Members.
	Announce(ctx context.Context, member Member) error
	// DecodeConfiguration reads a configuration that another instance has passed on.
	DecodeConfiguration(source []byte) (*catalog.Configuration, error)
}
