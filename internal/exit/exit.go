// Package exit defines the exit codes of the command line and attaches them
// to errors (Error).
package exit

import "github.com/cockroachdb/errors"

// Code is a process exit code.
type Code int

// The exit codes of all commands.
const (
	Success Code = 0
	// Failed means an error that no other code describes.
	Failed Code = 1
	// BadInput means that a file or argument is invalid.
	BadInput Code = 2
	// Conflict means that another configuration was accepted first.
	Conflict Code = 3
	// Unavailable means that the platform or instance did not respond and
	// nothing was changed.
	Unavailable Code = 4
	// OutcomeUnknown means that a change may or may not have taken effect.
	OutcomeUnknown Code = 5
)

// Error is an error with an exit code.
type Error struct {
	Code  Code
	Cause error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCode attaches an exit code to err; it returns nil for a nil err.
func WithCode(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Cause: err}
}

// CodeOf returns the exit code for an error: Success for nil and Failed for
// an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return Success
	}
	var exitError *Error
	if errors.As(err, &exitError) {
		return exitError.Code
	}
	return Failed
}
