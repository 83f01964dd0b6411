package executor

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// Call is one caller's request, copied out of the HTTP library's buffers.
type Call struct {
	// Account is the client account, set by the balancer.
	Account string
	// IdempotencyKey is the caller's idempotency key; empty when there is none.
	IdempotencyKey string
	Method         string
	// Path is the URL path; Query the part after the question mark.
	Path, Query string
	Header      []dispatch.Field
	Body        []byte
	ReceivedAt  time.Time
	// Deadline, when set, is earlier than the route's; it comes with requests
	// that another instance has passed on.
	Deadline time.Time
	// Forwarder is the name of the instance that has passed a keyed request on
	// to its key owner; empty for requests from callers.
	Forwarder string
	// Prompt is what the body says of itself; zero for plain services.
	Prompt Prompt
}

// URI returns the path with the query.
func (c *Call) URI() string {
	if c.Query == "" {
		return c.Path
	}
	return c.Path + "?" + c.Query
}

// bytesPerToken estimates a prompt's tokens from its bytes.
const bytesPerToken = 4

// Prompt is the part of a model request that scheduling needs.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens int
	// Text is the prompt, or the messages' contents one after the other.
	Text string
}

// EstimatedTokens estimates the prompt's length in tokens.
func (p *Prompt) EstimatedTokens() int { return (len(p.Text) + bytesPerToken - 1) / bytesPerToken }

// IsModelPath tells whether a path belongs to the model API.
func IsModelPath(path string) bool {
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// modelRequest is the part of the model API's body that is read.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// ParsePrompt reads a model request's body.
func ParsePrompt(body []byte) (Prompt, error) {
	var parsed modelRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Prompt{}, err
	}
	prompt := Prompt{
		Model: parsed.Model, Stream: parsed.Stream,
		MaxTokens: max(parsed.MaxTokens, parsed.MaxCompletionTokens),
	}
	var text strings.Builder
	text.WriteString(jsonText(parsed.Prompt))
	for _, message := range parsed.Messages {
		text.WriteString(jsonText(message.Content))
	}
	prompt.Text = text.String()
	return prompt, nil
}

// jsonText returns a JSON string's text, or the JSON itself for other values.
func jsonText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// prefixBlockBytes is the size of a prefix block, in bytes of prompt text; see
// docs/design/engine-protocol.md.
const prefixBlockBytes = 256

// PrefixHashes returns the hashes of the prompt's prefixes that end at a block.
func (p *Prompt) PrefixHashes() []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for start := 0; start+prefixBlockBytes <= len(p.Text); start += prefixBlockBytes {
		_, _ = digest.WriteString(p.Text[start : start+prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
