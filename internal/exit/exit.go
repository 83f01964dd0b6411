// Package exit gives the command line's exit codes.
package exit

import "github.com/cockroachdb/errors"

// Code is a process exit code.
type Code int

// The exit codes.
const (
	// Success means success.
	Success Code = 0
	// Failed means anything that no other code covers.
	Failed Code = 1
	// BadInput means that a file or argument is wrong.
	BadInput Code = 2
	// Conflict means that another configuration came first.
	Conflict Code = 3
	// Unavailable means that the platform or instance did not answer and
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

// Error returns the cause's text.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCode gives err an exit code; nil stays nil.
func WithCode(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Cause: err}
}

// CodeOf returns the exit code for an error.
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
