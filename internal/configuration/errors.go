package configuration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of Store.Apply; test with errors.Is.
var (
	// ErrConflict means that the configuration was not accepted because another
	// one was accepted since the base version; see ConflictError.
	ErrConflict = errors.New("configuration: conflict")
	// ErrUnavailable means that the table service or a majority of the
	// instances cannot be reached, and that nothing was changed.
	ErrUnavailable = errors.New("configuration: unavailable, nothing was changed")
	// ErrOutcomeUnknown means that the configuration may have been accepted, or
	// may still be. Applying the same tables to the same base again determines
	// the outcome.
	ErrOutcomeUnknown = errors.New("configuration: outcome unknown")
)

// Errors of Replica.CheckAdmission; test with errors.Is.
var (
	// ErrStarting means that this instance has not yet determined the accepted
	// version.
	ErrStarting = errors.New("configuration: starting, the version in force is not known yet")
	// ErrMayBeBehind means that a newer version may have been accepted.
	ErrMayBeBehind = errors.New("configuration: may be behind, no new work is taken")
)

// ConflictError reports the version that was accepted instead.
type ConflictError struct {
	// Base is the version that the rejected apply was based on.
	Base uint64
	// Current is the accepted version, or a lower bound of it if it could not
	// be read.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: conflict: current version is %d, the apply was based on version %d", e.Current, e.Base)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
