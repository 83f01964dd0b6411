// Package load is the open-loop load generator of the measures.
//
// GeneratePlan draws the requests of a plan from a seed: Poisson arrivals,
// log-uniform output lengths, accounts by weight. A Generator sends each Request
// at its planned time, however slowly the system responds, reads streams as a
// real client does, and checks each response against the text that the stand-in
// engine must produce for that prompt. It returns an Outcome for each request,
// with a Verdict for each Attempt.
package load

import (
	"encoding/json"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// Kind is the kind of a request.
type Kind int

// The values of Kind.
const (
	// KindCompletion is a model request.
	KindCompletion Kind = iota
	// KindService is a request to a plain service.
	KindService
)

// Request is one planned request.
type Request struct {
	// ID is unique in the plan. Model requests carry it as "user", service
	// requests in their query, so that it appears in the targets' logs.
	ID string
	// Offset is the time from the start of the plan at which it is sent.
	Offset time.Duration
	Kind   Kind
	// Account is the name of the client account.
	Account string
	// IdempotencyKey is empty for a request without a key.
	IdempotencyKey string
	// Tier is the tier of the route that the request matches. It is not sent.
	Tier  int
	Model string
	// Path has no query.
	Path string
	// Prompt and MaxTokens are set for model requests.
	Prompt    string
	MaxTokens int
	// Stream requests a streamed response.
	Stream bool
	// MaxRetries bounds the retries after an incomplete response: a request with
	// an idempotency key is sent again, and a stream with a handle is resumed.
	MaxRetries int
	// SendDuplicate sends a request with an idempotency key twice concurrently.
	SendDuplicate bool
}

// TotalTokens returns the prompt tokens and the maximum output tokens.
func (r *Request) TotalTokens() int { return target.PromptTokens(r.Prompt) + r.MaxTokens }

// modelRequestBody is the JSON body of a model request.
type modelRequestBody struct {
	Model     string `json:"model"`
	User      string `json:"user"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// body returns the HTTP body; that of a service request is its ID.
func (r *Request) body() ([]byte, error) {
	if r.Kind == KindService {
		return []byte(r.ID), nil
	}
	return json.Marshal(modelRequestBody{
		Model: r.Model, User: r.ID, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: r.Stream,
	})
}

// uri returns the path; that of a service request has the ID in its query.
func (r *Request) uri() string {
	if r.Kind == KindService {
		return r.Path + "?call=" + r.ID
	}
	return r.Path
}

// RequestID returns the ID of the request that a target's log entry belongs to.
func RequestID(run target.Run) string {
	if run.User != "" {
		return run.User
	}
	_, id, _ := cutRequestID(run.Path)
	return id
}
