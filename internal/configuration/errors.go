package configuration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of Store.Apply; test with errors.Is.
var (
	// ErrConflict means that another configuration was accepted since the base
	// version, and that this one was not; see ConflictError.
	ErrConflict = errors.New("configuration: conflict")
	// ErrUnavailable means that nothing was changed.
	ErrUnavailable = errors.New("configuration: unavailable, nothing was changed")
	// ErrOutcomeUnknown means that the configuration may be, or come to be, in
	// force. Applying the same tables to the same base again settles it.
	ErrOutcomeUnknown = errors.New("configuration: outcome unknown")
)

// Errors of Adopter.Admitting; test with errors.Is.
var (
	// ErrStarting means that this instance has not yet learned which version
	// is in force.
	ErrStarting = errors.New("configuration: starting, the version in force is not known yet")
	// ErrMayBeBehind means that a newer version may be in force elsewhere.
	ErrMayBeBehind = errors.New("configuration: may be behind, no new work is taken")
)

// ConflictError carries the version that is in force instead.
type ConflictError struct {
	// Base is the version that the operator edited.
	Base uint64
	// Current is the version in force.
	Current uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: conflict: version %d is in force, not %d", e.Current, e.Base)
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
