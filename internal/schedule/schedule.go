// Package schedule decides when and on which target a request starts, and whether
// it is refused instead.
//
// # How it works
//
// Targets admit requests in order of arrival and have no priorities, so their own
// queues are kept empty: a request starts only on a target that runs fewer
// requests than it has slots. Other requests wait in the Scheduler's queues,
// ordered by priority and then by fair shares of the client accounts; those that can no
// longer be answered within their objectives come last. The counts are exact as long as one
// Scheduler places all requests on a target; package placement ensures that.
//
// A target may state about the requests that it takes (Terms) how many a second it takes
// from all instances together, that it fails if it has to reject too many, that it is
// leaving, or that it wants none from one instance for a time. What is started on it, for
// whatever reason, is spaced accordingly or does not start. A target that takes no request
// now is not a candidate, so that requests which others can take do not wait for it. One
// that has asked for rest gets one request at a time until it has responded to one.
//
// A request is refused if its expected or actual wait is too long for it to be
// answered in time. The refusal (RefusedError) says when to retry.
//
// # Structure
//
// SelectCandidate and maxWait are pure functions of a snapshot. The Scheduler keeps the state behind one mutex and does no I/O.
package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// PriorityCount is the number of priority levels. A priority beyond the last
// level is treated as the last.
const PriorityCount = 16

// Request describes a request to the scheduler.
type Request struct {
	Service string
	// Priority 0 is the highest.
	Priority int
	// PromptTokens and OutputTokens are expected numbers; 0 for services without
	// tokens.
	PromptTokens, OutputTokens int
	// MaxOutputTokens is the limit on the output; 0 if there is none.
	MaxOutputTokens int
	// HeldTokens is the memory counted for a request that another scheduler has placed; 0
	// if unknown.
	HeldTokens int
	// TokensPerEvent is the number of tokens in one event of the response.
	TokensPerEvent int
	// ArrivedAt is when the instance received the request.
	ArrivedAt time.Time
	// RetriedAt is when the request was retried after a target had failed it;
	// zero before the first target. The limit of the wait starts again then.
	RetriedAt time.Time
	// LatencyObjective is the objective for the time from ArrivedAt to the first
	// part of the response; 0 means none.
	LatencyObjective time.Duration
	// EventGapObjective is the objective for the longest pause between events; 0
	// means none.
	EventGapObjective time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// FailureDomain is that of the instance with the request, Instance its address; ""
	// is this one.
	FailureDomain string
	Instance      string
	// Account is the client account; "" if there is none. Weight is its share of what is
	// scarce relative to that of others; 0 counts as 1.
	Account string
	Weight  float64
	// Fingerprint identifies the content of the request. It is the same when the caller
	// retries; 0 if unknown.
	Fingerprint uint64
	// Prefix holds the leading parts of the prompt.
	Prefix []PrefixPart
	// Version restricts the request to targets of one version and ExcludedVersion
	// excludes one; "" means no constraint. A constraint that no target meets is
	// ignored.
	Version, ExcludedVersion string
	// ExcludedTargets lists the targets that have already failed the request.
	ExcludedTargets []catalog.TargetKey
}

// PrefixPart is one of the leading parts of a prompt. Its hash identifies the model, the
// part and all parts before it.
type PrefixPart = routing.PrefixBlock

func (r *Request) priority() int { return queuePriority(r.Priority) }

// queuePriority returns the priority as that of a queue: the operator's may be any number.
func queuePriority(priority int) int { return min(max(priority, 0), PriorityCount-1) }

// HasVersionConstraint reports whether the targets are restricted by version.
func (r *Request) HasVersionConstraint() bool { return r.Version != "" || r.ExcludedVersion != "" }

// AllowsVersion reports whether the request may be sent to targets of a version.
func (r *Request) AllowsVersion(version string) bool {
	return (r.Version == "" || version == r.Version) && (r.ExcludedVersion == "" || version != r.ExcludedVersion)
}

// WithoutTarget returns the request with a further excluded target.
func (r *Request) WithoutTarget(key catalog.TargetKey) *Request {
	next := *r
	next.ExcludedTargets = append(slices.Clone(r.ExcludedTargets), key)
	return &next
}

func (r *Request) excludesTarget(key catalog.TargetKey) bool {
	for _, excluded := range r.ExcludedTargets {
		if excluded == key {
			return true
		}
	}
	return false
}

// RefusedError reports that a request was not started, why, and when to retry.
type RefusedError struct {
	// Reason is a short text for logs and callers.
	Reason string
	// RetryAfter is the time after which the caller should retry; 0 means no
	// advice.
	RetryAfter time.Duration
	// QueuedAhead is the number of requests ahead in the queue, Slots the number
	// of slots of all usable targets, and ExpectedWait the resulting wait.
	QueuedAhead, Slots int
	ExpectedWait       time.Duration
	// Terms describes what the targets state about the requests that they take; "" if
	// they state nothing.
	Terms string

	withdraw func()
}

// Withdraw is called for a refusal that no caller is told, so that it does not count.
func (e *RefusedError) Withdraw() {
	if e.withdraw != nil {
		e.withdraw()
	}
}

// Error implements error.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("%s, with %d ahead at %d places and %d ms of waiting expected",
		e.Reason, e.QueuedAhead, e.Slots, e.ExpectedWait.Milliseconds())
	if e.Terms != "" {
		text += " (" + e.Terms + ")"
	}
	return text
}

// Result is how a started request ended at its target.
type Result int

// The results.
const (
	// Complete means that the whole response was received. It counts as a success
	// whatever its status.
	Complete Result = iota
	// Failed means that the target broke off, timed out or sent an invalid
	// response.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Full means that the target rejected the request for lack of capacity,
	// without running it.
	Full
	// Cancelled means that the request ended for a reason unrelated to the
	// target.
	Cancelled
)

// String returns the result for log lines.
func (r Result) String() string {
	switch r {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Unreachable:
		return "unreachable"
	case Full:
		return "full"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Outcome describes a request that has ended at its target.
type Outcome struct {
	Result Result
	// TotalTime is the time from dispatch to the end; 0 if unknown.
	TotalTime time.Duration
	// Tokens is the number of output tokens received in TokenSpan since the first
	// event; 0 if the target has no output tokens or sent too few. TokenSpan is 0 if unknown.
	Tokens    int
	TokenSpan time.Duration
}
