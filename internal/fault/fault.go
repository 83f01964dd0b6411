// Package fault annotates errors with the step and the peer at which they
// occurred (Error), and states to callers what is known about the execution
// of a request that failed (Refusal).
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Step names the part of the system in which an error occurred.
type Step string

// The steps of a request and of control operations.
const (
	StepAccept   Step = "accept"
	StepRoute    Step = "route"
	StepWait     Step = "wait"
	StepClaim    Step = "claim"
	StepForward  Step = "forward"
	StepDispatch Step = "dispatch"
	StepStream   Step = "stream"
	StepAnswer   Step = "answer"
	StepApply    Step = "apply"
	StepAdopt    Step = "adopt"
	StepLoad     Step = "load"
	StepAdvance  Step = "advance"
	StepRollback Step = "take_back"
	StepDrain    Step = "drain"
	StepShutdown Step = "shutdown"
	StepPlatform Step = "platform"
	StepPeer     Step = "peer"
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	// Step is where the error occurred.
	Step Step
	// Peer is the address or name of the remote side; empty for local errors.
	Peer string
	// Cause is the underlying error.
	Cause error
}

// Error returns the step, the peer and the cause in one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Cause)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// At wraps cause with the step and peer and a stack trace; it returns nil for
// a nil cause.
func At(step Step, peer string, cause error) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Step: step, Peer: peer, Cause: cause}, 1)
}

// ExecutionState states what is known about the execution of a refused
// request.
type ExecutionState string

// The values of ExecutionState.
const (
	// NotRun means that no byte of the request has reached a target.
	NotRun ExecutionState = "not_run"
	// RanInPart means that a target started the request and did not finish
	// it.
	RanInPart ExecutionState = "ran_in_part"
	// ExecutionUnknown means that neither of the other two can be proved.
	ExecutionUnknown ExecutionState = "unknown"
)

// Refusal is the final response to a request that gets no complete response
// from a target.
type Refusal struct {
	// Execution states whether the request ran.
	Execution ExecutionState
	// Step is where the request failed.
	Step Step
	// Status is the HTTP status code of the response.
	Status int
	// RetryAfter is the delay after which the caller should retry; zero means
	// no advice.
	RetryAfter time.Duration
	// Reason is a short explanation for people.
	Reason string
	// Peer is the name of an instance that may serve the request; empty when
	// none is known.
	Peer string
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused at %s (%s): %s", r.Step, r.Execution, r.Reason)
}

// AsRefusal returns the first Refusal in the chain of err.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
