package configuration

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown means that a configuration may or may not be accepted.
var ErrOutcomeUnknown = errors.New("configuration: outcome unknown")

// ConflictError means that another configuration was accepted first and
// nothing was changed.
type ConflictError struct {
	// Present is the version in force.
	Present uint64
}

// Error names the version in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: conflict: version %d is in force", e.Present)
}
