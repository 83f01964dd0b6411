// Package node runs one instance of the gateway. It follows the operator's
// configuration, the targets and the other instances, gossips its own state to
// the other instances, and starts and stops the servers.
//
// Node is a running instance, Settings is what it is started with, and
// ControlPlane is the platform's persistent state. An instance persists nothing
// else: its load, quota usage and view of the cluster are sent to the other
// instances in datagrams with absolute values, from which a restarted instance
// recovers its state.
package node

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// Settings are the settings of an instance.
type Settings struct {
	Name          string
	FailureDomain string
	// CallerAddress, ReadinessAddress and PeerAddress are the "ip:port" to
	// listen on; PeerAddress is used for TCP and UDP.
	CallerAddress, ReadinessAddress, PeerAddress string
	// MetricsAddress is the "ip:port" on which metrics are served; "" disables
	// it.
	MetricsAddress string
	// Seeds are the peer addresses of some instances, possibly outdated.
	Seeds []string
	// Deployment identifies the deployment among those that share a network.
	Deployment string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	// Capacity is the CPU share in hundredths of a core; 0 if unknown.
	Capacity int
	// MemoryLimitBytes bounds the memory of the process; 0 means no limit.
	MemoryLimitBytes int64
	// TargetRenewalInterval is the interval at which targets renew their entries.
	TargetRenewalInterval time.Duration
	// ShutdownGrace is the time between the signal to stop and the forced stop.
	ShutdownGrace time.Duration
	// Retries limits retries, over all instances together.
	Retries gateway.RetryLimits
	// QuotaTolerance is by how much accounts may exceed their quotas.
	QuotaTolerance quota.Tolerance
}

// Member is an instance as listed by the control plane.
type Member struct {
	Name    string
	Address string
	// Verdicts are the requests that it knows to crash targets.
	Verdicts []quarantine.Verdict
}

// Declarations are what the operator has declared, as returned by a read or a
// watch.
type Declarations struct {
	// Configuration is nil if it has not changed.
	Configuration *catalog.Configuration
	// RolloutOrders are the rollout orders that have changed, EndedRollouts the
	// statuses of rollouts that have ended.
	RolloutOrders []rollout.Order
	EndedRollouts []rollout.Status
	// Position is the position to continue the watch from.
	Position uint64
}

// ControlPlane is the platform's persistent state. An error means that the call
// returned no new information; calls may be retried.
type ControlPlane interface {
	// ReadDeclarations reads the operator's current declarations.
	ReadDeclarations(ctx context.Context) (Declarations, error)
	// Watch waits for changes of the declarations after a position.
	Watch(ctx context.Context, after uint64) (Declarations, error)
	// Targets reads all targets and the position at which they were read.
	Targets(ctx context.Context) ([]*catalog.Target, uint64, error)
	// Members reads the instances that have announced themselves recently, and the
	// verdicts of all that ever have.
	Members(ctx context.Context) ([]Member, []quarantine.Verdict, error)
	// WriteRolloutStatus writes the status of a rollout, unless its end has been
	// written already. It returns the status that is stored then.
	WriteRolloutStatus(ctx context.Context, status rollout.Status) (rollout.Status, error)
	// Announce lists an instance; it must be called after Members.
	Announce(ctx context.Context, member Member) error
	// DecodeConfiguration decodes a configuration received from another
	// instance.
	DecodeConfiguration(source []byte) (*catalog.Configuration, error)
}
