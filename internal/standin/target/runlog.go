package target

import (
	"slices"
	"sync"
	"time"
)

// RunStatus is the status of a run.
type RunStatus string

// The values of RunStatus.
const (
	// StatusRunning means that the run has not ended.
	StatusRunning RunStatus = "running"
	// StatusComplete means that the run produced its whole output.
	StatusComplete RunStatus = "complete"
	// StatusCancelled means that a client cancelled the run.
	StatusCancelled RunStatus = "cancelled"
	// StatusFailed means that the response was an error.
	StatusFailed RunStatus = "failed"
	// StatusNoEnd means that the stream ended without its end marker.
	StatusNoEnd RunStatus = "no_end"
	// StatusCrashed means that the run was lost when its target crashed or closed.
	StatusCrashed RunStatus = "crashed"
)

// Run records one execution of a request at a target.
type Run struct {
	// Target is the target's name.
	Target string
	// RequestID, Key and Account are the values of the headers X-Request-Id,
	// Idempotency-Key and Hibiscus-Account.
	RequestID, Key, Account string
	// Path is the path of the request; a Service includes the query.
	Path string
	// Version is the version that served the request. Model and User are those
	// of the request body; only an Engine sets them.
	Model, Version, User string
	// StartedAt and EndedAt are times of the target's clock. EndedAt is zero
	// while the request runs.
	StartedAt, EndedAt time.Time
	// PromptTokens is the length of the prompt, and CachedTokens the part of it
	// that was found in the prefix cache.
	PromptTokens, CachedTokens int
	// OutputTokens is the number of generated tokens.
	OutputTokens int
	Status       RunStatus
	// Faulty is set if a version fault affected the run.
	Faulty bool
}

// Refusal records a request that a target refused without running it.
type Refusal struct {
	// ReceivedAt is when the request was received, by the target's clock.
	ReceivedAt time.Time
	// RequestID and Key are the values of the headers X-Request-Id and
	// Idempotency-Key.
	RequestID, Key string
	// StatusCode is the HTTP status code of the response.
	StatusCode int
}

// runLog records what one target ran and refused, as ground truth for checks.
type runLog struct {
	// mu guards the fields below.
	mu       sync.Mutex
	runs     []Run
	refusals []Refusal
}

// recordStart appends a run and returns its index.
func (l *runLog) recordStart(run Run) int {
	run.Status = StatusRunning
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

// recordEnd sets the outcome of a run.
func (l *runLog) recordEnd(index int, status RunStatus, outputTokens int, endedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &l.runs[index]
	run.Status = status
	run.OutputTokens = outputTokens
	run.EndedAt = endedAt
}

func (l *runLog) recordRefusal(refusal Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = append(l.refusals, refusal)
}

// Runs returns a copy of all recorded runs, in the order in which they started.
func (l *runLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Refusals returns a copy of all recorded refusals.
func (l *runLog) Refusals() []Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.refusals)
}

// RunCountsByKey returns the number of runs for each idempotency key of each
// account. Runs without a key are not counted.
func (l *runLog) RunCountsByKey() map[AccountKey]int {
	counts := make(map[AccountKey]int)
	for _, run := range l.Runs() {
		if run.Key != "" {
			counts[AccountKey{Account: run.Account, Key: run.Key}]++
		}
	}
	return counts
}

// AccountKey is an idempotency key within its client account.
type AccountKey struct {
	// Account is the value of the header Hibiscus-Account.
	Account string
	// Key is the value of the header Idempotency-Key.
	Key string
}
