package target

import (
	"slices"
	"sync"
	"time"
)

// RunStatus tells how a run ended.
type RunStatus string

// The values of End.
const (
	// StatusRunning marks a run that has not ended.
	StatusRunning RunStatus = "running"
	// StatusComplete marks a run that produced everything.
	StatusComplete RunStatus = "complete"
	// StatusCancelled marks a run that a caller cancelled.
	StatusCancelled RunStatus = "cancelled"
	// StatusFailed marks a run that was answered with an error.
	StatusFailed RunStatus = "failed"
	// StatusNoEnd marks a run whose stream lacks its explicit end.
	StatusNoEnd RunStatus = "no_end"
	// StatusCrashed marks a run that was lost with its target.
	StatusCrashed RunStatus = "crashed"
)

// Run is one execution of a request at a target.
type Run struct {
	// Target is the target's name.
	Target string
	// RequestID is the header X-Request-Id, Key Idempotency-Key, Account
	// Hibiscus-Account.
	RequestID, Key, Account string
	// Path is the request's path, with its query at a service.
	Path string
	// Model, Version and User are set by engines.
	Model, Version, User string
	// StartedAt and EndedAt are by the target's clock; EndedAt is zero while it runs.
	StartedAt, EndedAt time.Time
	// PromptTokens is the prompt's length and CachedTokens the part found in
	// the prefix cache.
	PromptTokens, CachedTokens int
	// OutputTokens is how many tokens were produced.
	OutputTokens int
	// Status tells how the run ended.
	Status RunStatus
	// Faulty is set when the badness of its version showed on the run.
	Faulty bool
}

// Refusal is a request that a target refused without running it.
type Refusal struct {
	// ReceivedAt is when it arrived, by the target's clock.
	ReceivedAt time.Time
	// RequestID and Key are its headers.
	RequestID, Key string
	// StatusCode is the HTTP status of the refusal.
	StatusCode int
}

// journal is the ground truth of one target.
type journal struct {
	// mu guards the fields below.
	mu      sync.Mutex
	runs    []Run
	refused []Refusal
}

// open adds a run and returns its index.
func (j *journal) open(run Run) int {
	run.Status = StatusRunning
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

// end closes a run.
func (j *journal) end(index int, how RunStatus, outputTokens int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	run := &j.runs[index]
	run.Status = how
	run.OutputTokens = outputTokens
	run.EndedAt = at
}

func (j *journal) refuse(r Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused = append(j.refused, r)
}

// Runs returns a copy of all runs, in the order of their start.
func (j *journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}

// Refusals returns a copy of all requests that were refused without a run.
func (j *journal) Refusals() []Refusal {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.refused)
}

// RunCountsByKey counts the runs of each Idempotency-Key within each account; runs
// without a key are left out.
func (j *journal) RunCountsByKey() map[AccountKey]int {
	counts := make(map[AccountKey]int)
	for _, run := range j.Runs() {
		if run.Key != "" {
			counts[AccountKey{Account: run.Account, Key: run.Key}]++
		}
	}
	return counts
}

// AccountKey is an idempotency key within its client account.
type AccountKey struct {
	// Account is the header Hibiscus-Account.
	Account string
	// Key is the header Idempotency-Key.
	Key string
}
