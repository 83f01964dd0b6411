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
	"cmp"
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
	// LinkBitsPerSecond is the bandwidth of the instance's link; 0 if unknown.
	LinkBitsPerSecond float64
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

// entryExpiry returns the time after which the entry of a target that no longer
// renews it is known to be gone.
func (s *Settings) entryExpiry() time.Duration {
	interval := s.TargetRenewalInterval
	if interval <= 0 {
		interval = defaultRenewalInterval
	}
	return renewalsUntilExpiry*interval + expiryDelay
}

// Member is an instance as listed by the control plane.
type Member struct {
	Name    string
	Address string
	// Verdicts are the requests that it knows to crash targets.
	Verdicts []quarantine.Verdict
	// Age is the time since it was announced; only set by Members.
	Age time.Duration
}

// Declarations are what the operator has declared, as returned by a read or a
// watch.
type Declarations struct {
	// Configuration is nil if it has not changed. ConfigurationError is set if the last
	// one cannot be used.
	Configuration      *catalog.Declaration
	ConfigurationError error
	// RolloutOrders are the rollout orders that have changed, EndedRollouts the
	// statuses of rollouts that have ended.
	RolloutOrders []rollout.Order
	EndedRollouts []rollout.Status
	// Evacuations are the evacuations that have changed, in the order of the changes. A read
	// returns all that are in force.
	Evacuations []EvacuationChange
	// Position is the position to continue the watch from. If it is not in the era
	// that was asked for, the declarations must be read anew.
	Position Position
}

// Position is a state of the platform's store.
type Position struct {
	// Era counts the store's returns from an earlier copy. Each loses what was
	// written since that copy.
	Era uint64
	// Version rises with each change within an era.
	Version uint64
}

// IsZero reports whether nothing has been read yet.
func (p Position) IsZero() bool { return p == Position{} }

// Before reports whether the state precedes the other.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version)) < 0
}

// ControlPlane is the platform's persistent state. An error means that the call
// returned no new information, unless stated otherwise; calls may be retried.
type ControlPlane interface {
	// ReadDeclarations reads the operator's current declarations.
	ReadDeclarations(ctx context.Context) (Declarations, error)
	// Watch waits for changes of the declarations after a position. It calls onProgress
	// while they arrive, which may take long. The error is ErrHistoryExpired if the
	// changes are no longer known.
	Watch(ctx context.Context, after Position, onProgress func()) (Declarations, error)
	// Evacuations reads the evacuated failure domains, and the position at which they
	// were read.
	Evacuations(ctx context.Context) ([]string, Position, error)
	// Targets reads all targets and the position at which they were read. With an error,
	// it returns the targets that it could read, which are those before some ID.
	Targets(ctx context.Context) ([]*catalog.Target, Position, error)
	// Members reads the instances that have announced themselves recently, and the
	// verdicts of all that ever have.
	Members(ctx context.Context) ([]Member, []quarantine.Verdict, error)
	// WriteRolloutStatus writes the status of a rollout, unless its end has been
	// written already. It returns the status that is stored then, and the era in
	// which it is.
	WriteRolloutStatus(ctx context.Context, status rollout.Status) (stored rollout.Status, era uint64, err error)
	// Announce lists an instance; it must be called after Members.
	Announce(ctx context.Context, member Member) error
	// Renew announces other instances, with the verdicts that they have announced; it
	// must be called after Members. It does not replace what an instance has announced
	// since, and removes announcements that expired long ago.
	Renew(ctx context.Context, members []Member) error
	// DecodeConfiguration decodes a configuration as the operator writes it, and
	// EncodeConfiguration encodes it for instances of earlier builds.
	DecodeConfiguration(source []byte) (*catalog.Declaration, error)
	EncodeConfiguration(c *catalog.Configuration) ([]byte, error)
}
