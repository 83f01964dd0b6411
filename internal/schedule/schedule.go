// Package schedule decides when a request starts, on which target, and when it
// is refused instead.
//
// # How it works
//
// Targets admit requests in order of arrival and know no priorities, so their
// own queues are kept empty: a request starts only on a target on which fewer
// requests run than it has slots. Others wait here, by priority and within a
// priority by arrival. The counts are exact as long as one Scheduler places all
// requests on a target; package placement sees to that.
//
// A request is refused when its wait is expected to be, or has become, longer
// than what lets it be answered in good time; the refusal says when to return.
//
// # Input and output
//
// The decisions (Place, waitBound, returnAfter) are pure functions of a
// snapshot; the Scheduler keeps the state behind one mutex and does no input
// or output of its own.
package schedule

import (
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// PriorityCount is the number of priorities kept apart; lower ones than the
// last are treated as the last.
const PriorityCount = 16

// Request is what the scheduler knows of a request.
type Request struct {
	Service string
	// Priority 0 is the highest.
	Priority int
	// PromptTokens and OutputTokens are expected; 0 for plain services.
	PromptTokens, OutputTokens int
	// TokensPerEvent is how many tokens an event of the answer holds.
	TokensPerEvent int
	// ArrivedAt is when the request came in.
	ArrivedAt time.Time
	// RetriedAt is when the request came back from a target that failed it; zero
	// before the first target. Its wait is bounded anew from then.
	RetriedAt time.Time
	// Objective is the time from Arrived to the first part of the answer that
	// counts as good service.
	Objective time.Duration
	// EventGap is the longest pause between events that counts as good service; 0
	// means that none is stated.
	EventGap time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// FailureDomain is the instance's own.
	FailureDomain string
	// Version restricts the targets to one version and ExcludedVersion leaves one
	// out; "" means no bound. A version without targets bounds nothing.
	Version, ExcludedVersion string
	// ExcludedTargets holds targets that have failed the request already.
	ExcludedTargets []catalog.TargetKey
}

func (r *Request) priority() int { return min(max(r.Priority, 0), PriorityCount-1) }

// HasVersionConstraint reports whether the request is bound to some versions.
func (r *Request) HasVersionConstraint() bool { return r.Version != "" || r.ExcludedVersion != "" }

// AllowsVersion reports whether the request may go to targets of a version.
func (r *Request) AllowsVersion(version string) bool {
	return (r.Version == "" || version == r.Version) && (r.ExcludedVersion == "" || version != r.ExcludedVersion)
}

func (r *Request) avoids(key catalog.TargetKey) bool {
	for _, avoided := range r.ExcludedTargets {
		if avoided == key {
			return true
		}
	}
	return false
}

// RefusedError tells that a request was not started and when to return.
type RefusedError struct {
	// Reason is short, for logs and callers.
	Reason string
	// RetryAfter is when the caller should try again; 0 means no advice.
	RetryAfter time.Duration
	// QueuedAhead counts the requests ahead of it, Slots the places of all usable
	// targets; Expected is the wait that follows.
	QueuedAhead, Slots int
	ExpectedWait       time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s, with %d ahead at %d places and %d ms of waiting expected",
		e.Reason, e.QueuedAhead, e.Slots, e.ExpectedWait.Milliseconds())
}

// Result tells how a started request ended at its target.
type Result int

// The results.
const (
	// Complete answers count as success whatever their status.
	Complete Result = iota
	// Failed means that the target broke off, was silent or sent rubbish.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Full means that the target refused for want of room, without running it.
	Full
	// Cancelled says nothing about the target.
	Cancelled
)

// Outcome is what is known when a request has ended at its target.
type Outcome struct {
	Result Result
	// Duration is the time from the dispatch to the end.
	Duration time.Duration
	// Tokens have come in Span since the first; 0 when the target has no output
	// tokens or too few came.
	Tokens    int
	TokenSpan time.Duration
}
