package admission

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// ErrDraining is the result of requests that wait while the instance shuts
// down. They have not run and may be passed to another instance.
var ErrDraining = errors.New("admission: draining")

// Request asks for a place on a target.
type Request struct {
	Pool, Route, Account string
	Tier                 tables.Tier
	// Weight is the account's share within the tier relative to others; 0
	// means 1.
	Weight float64
	// PromptTokens is the length of the prompt; OutputTokens bounds the
	// answer, 0 leaves it to estimation.
	PromptTokens, OutputTokens int
	// PrefixHashes are hashes of the prompt's prefix blocks, longest last.
	PrefixHashes []uint64
	// FailureDomain is the caller's.
	FailureDomain string
	// Deadline ends the whole request; zero means none.
	Deadline time.Time
	// FirstTokenBy is the goal for the first token; zero means none.
	FirstTokenBy time.Time
	// QueueDeadline ends the wait for a target; zero means the deadline.
	QueueDeadline time.Time
	// Idempotent is the route's.
	Idempotent bool
	// WaitThroughDrain lets the request wait on through Drain, since it can run nowhere else.
	WaitThroughDrain bool
	// ExcludedTargets names targets that failed the request before its first byte left;
	// a request with any is a retry and needs the pool's retry budget.
	ExcludedTargets map[string]bool
}

// OutcomeKind tells how a request ended.
type OutcomeKind uint8

// The ends of a request.
const (
	// Complete means that the whole answer came.
	Complete OutcomeKind = iota
	// NotSent means that no byte reached the target, as a refused connection.
	NotSent
	// Failed means that the target failed the request.
	Failed
	// Overloaded means that the target refused it for overload.
	Overloaded
	// Leaving means that the target refused it since it leaves.
	Leaving
	// Cancelled means that the caller or a preemption ended it.
	Cancelled
)

// Outcome is what is known when a request has ended.
type Outcome struct {
	Kind OutcomeKind
	// PromptTokens, CachedTokens and OutputTokens are the target's counts.
	PromptTokens, CachedTokens, OutputTokens int
	// FirstToken and Duration are measured from the dispatch.
	FirstToken, Duration time.Duration
}
