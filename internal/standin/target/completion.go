package target

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken is the number of bytes of prompt text for one token.
	bytesPerToken = 4
	// defaultMaxTokens is the output length of a request without max_tokens.
	defaultMaxTokens = 16
)

// message is a message of a chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest holds the fields of a completion request body that an engine
// uses.
type CompletionRequest struct {
	Model string `json:"model"`
	// User is the client's free-form label; it is recorded with the run.
	User string `json:"user"`
	// Messages is the prompt of a chat completion.
	Messages []message `json:"messages"`
	// Prompt is the prompt of a text completion.
	Prompt string `json:"prompt"`
	// MaxTokens is the number of output tokens.
	MaxTokens int `json:"max_tokens"`
	// Stream requests a response of server-sent events.
	Stream bool `json:"stream"`
}

// ParseCompletionRequest parses the body of a completion request.
func ParseCompletionRequest(body []byte) (CompletionRequest, error) {
	var request CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return CompletionRequest{}, errors.Wrap(err, "model request")
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return request, nil
}

// PromptText returns the prompt, or the concatenated contents of all messages.
func (r CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// PromptTokens returns the length of a prompt text in tokens, rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// ExpectedToken returns output token n, counted from 1, for a prompt text.
func ExpectedToken(prompt string, n int) string {
	return tokenText(xxhash.Sum64String(prompt), n)
}

// ExpectedText returns the whole output for a prompt text: maxTokens tokens, each
// followed by a space. A maxTokens of 0 or less means the default of engines.
func ExpectedText(prompt string, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	promptHash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for n := 1; n <= maxTokens; n++ {
		text.WriteString(tokenText(promptHash, n))
	}
	return text.String()
}

// tokenText returns one token: eight hexadecimal digits and a space.
func tokenText(promptHash uint64, n int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + ":" + strconv.Itoa(n))
	return fmt.Sprintf("%08x ", uint32(hash))
}
