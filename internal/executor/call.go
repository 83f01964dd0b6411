package executor

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// Call is one caller's request. It holds no references to buffers of the HTTP
// library.
type Call struct {
	// Account is the client account; the load balancer sets it.
	Account string
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	Method         string
	// Path is the URL path and Query the part after the question mark.
	Path, Query string
	Header      []dispatch.Field
	Body        []byte
	ReceivedAt  time.Time
	// Deadline is the deadline of a request forwarded by another instance; zero
	// for others. It applies if it is earlier than the deadline of the route.
	Deadline time.Time
	// Forwarder is the name of the instance that forwarded a keyed request to
	// its key owner; empty for requests from callers.
	Forwarder string
	// Prompt is parsed from the body of a model request; zero for plain services.
	Prompt Prompt
}

// URI returns the path with the query.
func (c *Call) URI() string {
	if c.Query == "" {
		return c.Path
	}
	return c.Path + "?" + c.Query
}

// bytesPerToken is the number of prompt bytes assumed for one token.
const bytesPerToken = 4

// Prompt holds the fields of a model request that the scheduler uses.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens int
	// Text is the prompt followed by the contents of the messages.
	Text string
}

// EstimatedTokens returns the estimated length of the prompt in tokens.
func (p *Prompt) EstimatedTokens() int { return (len(p.Text) + bytesPerToken - 1) / bytesPerToken }

// IsModelPath reports whether the path belongs to the model API.
func IsModelPath(path string) bool {
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// modelRequest holds the decoded fields of a model request's body.
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

// ParsePrompt decodes the body of a model request.
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

// jsonText returns the value of a JSON string, or the JSON text of other values.
func jsonText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// prefixBlockBytes is the size of a prefix block in bytes of prompt text; see
// docs/design/engine-protocol.md.
const prefixBlockBytes = 256

// PrefixHashes returns the hash of each prefix of the prompt that ends at a block
// boundary, in ascending order of length.
func (p *Prompt) PrefixHashes() []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for start := 0; start+prefixBlockBytes <= len(p.Text); start += prefixBlockBytes {
		_, _ = digest.WriteString(p.Text[start : start+prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
