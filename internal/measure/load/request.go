// Package load plans and sends the requests of measures.
//
// A plan is drawn from a seed: arrival times of an open loop (Poisson), sizes
// log-uniform over 1:100, accounts and tiers by weight. The sender keeps to
// the planned times whatever the system does, reads streams as a real caller
// would, and proves each whole answer against the text that the stand-in
// engine must produce for that very prompt.
package load

import (
	"encoding/json"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// Kind tells what a call is.
type Kind int

// The values of Kind.
const (
	// KindCompletion is a model request.
	KindCompletion Kind = iota
	// KindService is a call of a plain service.
	KindService
)

// Request is one planned request.
type Request struct {
	// ID is unique in the plan. Model requests carry it as "user", service
	// calls in their path, so that the targets' logs name it.
	ID string
	// Offset is when the call is sent, from the start of the plan.
	Offset time.Duration
	// Kind tells what the call is.
	Kind Kind
	// Account is the client account.
	Account string
	// IdempotencyKey is the idempotency key; empty means none.
	IdempotencyKey string
	// Tier is the priority that the route gives.
	Tier int
	// Model is the model's name.
	Model string
	// Path is the request's path without a query.
	Path string
	// Prompt and MaxTokens are the size of a model request.
	Prompt    string
	MaxTokens int
	// Stream asks for a stream.
	Stream bool
	// MaxRetries is how often the caller sends a keyed call again after a broken
	// answer.
	MaxRetries int
	// SendDuplicate sends a keyed call a second time beside the first.
	SendDuplicate bool
}

// TotalTokens is the work of the call.
func (r *Request) TotalTokens() int { return target.PromptTokens(r.Prompt) + r.MaxTokens }

// modelRequestBody is the body of a model request.
type modelRequestBody struct {
	Model     string `json:"model"`
	User      string `json:"user"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// body is what the call sends.
func (r *Request) body() ([]byte, error) {
	if r.Kind == KindService {
		return []byte(r.ID), nil
	}
	return json.Marshal(modelRequestBody{
		Model: r.Model, User: r.ID, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: r.Stream,
	})
}

// uri is the path with the query that names a service call in the logs.
func (r *Request) uri() string {
	if r.Kind == KindService {
		return r.Path + "?call=" + r.ID
	}
	return r.Path
}

// RequestID returns the call id that a target's log entry belongs to.
func RequestID(run target.Run) string {
	if run.User != "" {
		return run.User
	}
	_, id, _ := cutRequestID(run.Path)
	return id
}
