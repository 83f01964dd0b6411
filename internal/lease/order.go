package lease

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

// OrderKind tells the orders apart.
type OrderKind string

// The kinds of order.
const (
	KindLoad   OrderKind = "load"
	KindUnload OrderKind = "unload"
	KindDrain  OrderKind = "drain"
	KindRole   OrderKind = "role"
)

// Order is an instruction to a target. One with an id that the target knows
// has no second effect.
type Order struct {
	ID           string    `json:"id"`
	FencingToken uint64    `json:"fence"`
	Kind         OrderKind `json:"kind"`
	Version      string    `json:"version,omitempty"`
	Role         string    `json:"role,omitempty"`
}

// TargetState is what a target tells of itself.
type TargetState struct {
	// Versions are those loaded; the last one serves.
	Versions []string `json:"versions"`
	// Loading is the version being loaded, or empty.
	Loading string `json:"loading"`
	Role    string `json:"role"`
	// FencingToken is the highest fencing number seen.
	FencingToken uint64 `json:"fence"`
}

// DesiredState is the state that an order shall bring about.
type DesiredState struct {
	Kind    OrderKind
	Version string
	Role    string
}

// satisfiedBy tells whether a target is in the wanted state. A drain cannot be seen.
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

// inProgress tells whether a target is about to reach the wanted state.
func (d DesiredState) inProgress(s TargetState) bool {
	return d.Kind == KindLoad && s.Loading == d.Version
}

// Target takes orders. An error other than a FencedError leaves open whether
// the order had an effect.
type Target interface {
	// SendOrder gives an order and returns the state after it.
	SendOrder(ctx context.Context, order Order) (TargetState, error)
	// ReadState reads the state back.
	ReadState(ctx context.Context) (TargetState, error)
}

// ErrFenced means that a target has had orders from a later holder.
var ErrFenced = errors.New("lease: refused for an old fencing number")

// FencedError carries the number that the target has seen.
type FencedError struct{ FencingToken uint64 }

// Error names the number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("lease: the target has seen fencing number %d", e.FencingToken)
}

// Is makes the error match ErrFenced.
func (e *FencedError) Is(target error) bool { return target == ErrFenced }
