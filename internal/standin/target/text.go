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
	// bytesPerToken converts prompt text to tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the output length of a request that names none.
	defaultMaxTokens = 16
)

// message is one entry of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is what an engine reads of a model-API request body.
type CompletionRequest struct {
	// Model is the model's name.
	Model string `json:"model"`
	// User is the model API's free label of the caller; the log keeps it.
	User string `json:"user"`
	// Messages are the prompt of a chat completion.
	Messages []message `json:"messages"`
	// Prompt is the prompt of a plain completion.
	Prompt string `json:"prompt"`
	// MaxTokens is the number of output tokens.
	MaxTokens int `json:"max_tokens"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream"`
}

// ParseCompletionRequest reads a model-API request body.
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

// PromptText is the concatenated text of the prompt or of all messages.
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

// PromptTokens is the length of a prompt text in tokens, rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// ExpectedToken is output token n (from 1) for a prompt text.
func ExpectedToken(prompt string, n int) string {
	return tokenOf(xxhash.Sum64String(prompt), n)
}

// ExpectedText is the whole output for a prompt text: maxTokens tokens, each
// followed by a space. A maxTokens of 0 or less means the engines' default.
func ExpectedText(prompt string, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	promptHash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for n := 1; n <= maxTokens; n++ {
		text.WriteString(tokenOf(promptHash, n))
	}
	return text.String()
}

// tokenOf is one token: eight hexadecimal digits and a space.
func tokenOf(promptHash uint64, n int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(promptHash, 16) + ":" + strconv.Itoa(n))
	return fmt.Sprintf("%08x ", uint32(digest))
}
