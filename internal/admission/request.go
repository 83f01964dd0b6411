package admission

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// ErrDraining is the result of requests that are queued or submitted while the
// instance shuts down. They have not run and may be passed to another instance.
var ErrDraining = errors.New("admission: instance is draining, request not run")

// Request describes a request to be admitted.
type Request struct {
	Pool, Route, Account string
	Tier                 tables.Tier
	// Weight is the account's relative share within the tier; 0 means 1.
	Weight float64
	// PromptTokens is the length of the prompt. OutputTokens bounds the output; 0
	// means that it is estimated.
	PromptTokens, OutputTokens int
	// PrefixHashes are the hashes of the prompt's prefix blocks, longest prefix last.
	PrefixHashes []uint64
	// FailureDomain is the failure domain that the routing policy may prefer.
	FailureDomain string
	// Deadline is the deadline of the whole request; zero means none.
	Deadline time.Time
	// FirstTokenBy is the objective for the first token; zero means none.
	FirstTokenBy time.Time
	// QueueDeadline is the deadline of the wait for a target; zero means Deadline.
	QueueDeadline time.Time
	// Idempotent reports whether the route is idempotent.
	Idempotent bool
	// WaitThroughDrain keeps the request queued through Drain, since it can run on
	// no other instance.
	WaitThroughDrain bool
	// ExcludedTargets names targets that must not be chosen: those that failed the
	// request before its first byte was sent, and those excluded because the
	// request is suspected of crashing targets. A request with any counts as a
	// retry and is charged to the pool's retry budget.
	ExcludedTargets map[string]bool
}

// OutcomeKind classifies how a request ended.
type OutcomeKind uint8

// Outcome kinds.
const (
	// Complete means that the whole response was received.
	Complete OutcomeKind = iota
	// NotSent means that no byte reached the target, as with a refused connection.
	NotSent
	// Failed means that the target failed the request.
	Failed
	// Overloaded means that the target refused the request due to overload.
	Overloaded
	// Leaving means that the target refused the request because it is leaving.
	Leaving
	// Cancelled means that the caller or a preemption cancelled the request.
	Cancelled
)

// Outcome is the result of a finished request.
type Outcome struct {
	Kind OutcomeKind
	// PromptTokens, CachedTokens and OutputTokens are counted by the target.
	PromptTokens, CachedTokens, OutputTokens int
	// TimeToFirstToken and Duration are measured from the dispatch.
	TimeToFirstToken, Duration time.Duration
}
