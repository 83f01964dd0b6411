package lease

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	KindLoad   OrderKind = "load"
	KindUnload OrderKind = "unload"
	KindDrain  OrderKind = "drain"
	KindRole   OrderKind = "role"
)

// Order is an instruction to a target. An order whose id the target has already
// received has no further effect.
type Order struct {
	ID           string    `json:"id"`
	FencingToken uint64    `json:"fence"`
	Kind         OrderKind `json:"kind"`
	Version      string    `json:"version,omitempty"`
	Role         string    `json:"role,omitempty"`
}

// TargetState is the state that a target reports.
type TargetState struct {
	// Versions are the loaded versions; the last one is serving.
	Versions []string `json:"versions"`
	// Loading is the version being loaded; empty if none is.
	Loading string `json:"loading"`
	Role    string `json:"role"`
	// FencingToken is the highest fencing token that the target has received.
	FencingToken uint64 `json:"fence"`
}

// DesiredState is the state that an order brings about.
type DesiredState struct {
	Kind    OrderKind
	Version string
	Role    string
}

// satisfiedBy reports whether a target is in the desired state. For a drain
// this cannot be observed.
func (d DesiredState) satisfiedBy(s TargetState) bool {
	switch d.Kind {
	case KindLoad:
		return s.Loading == "" && len(s.Versions) > 0 && s.Versions[len(s.Versions)-1] == d.Version
	case KindUnload:
		return s.Loading != d.Version && !slices.Contains(s.Versions, d.Version)
	case KindRole:
		return s.Role == d.Role
	default:
		return false
	}
}

// inProgress reports whether a target is already loading the desired version.
func (d DesiredState) inProgress(s TargetState) bool {
	return d.Kind == KindLoad && s.Loading == d.Version
}

// Target receives orders. After an error other than a FencedError it is unknown
// whether the order had an effect.
type Target interface {
	// SendOrder sends an order and returns the state after it.
	SendOrder(ctx context.Context, order Order) (TargetState, error)
	// ReadState returns the current state.
	ReadState(ctx context.Context) (TargetState, error)
}

// ErrFenced means that a target has received an order from a later holder.
var ErrFenced = errors.New("lease: order rejected for an outdated fencing token")

// FencedError reports the highest fencing token that the target has received.
type FencedError struct{ FencingToken uint64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("lease: order rejected, the target has received fencing token %d", e.FencingToken)
}

// Is reports whether target is ErrFenced.
func (e *FencedError) Is(target error) bool { return target == ErrFenced }
