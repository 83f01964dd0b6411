package target

import (
	"encoding/json"
	"net/http"
)

// chatPath is the call whose answers are chat messages; others are plain text.
const chatPath = "/v1/chat/completions"

// usage is the token count at the end of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// choice is the single choice of an answer or chunk; one of its contents is
// set, by the form of the call.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// delta is the new part of a chat stream.
type delta struct {
	Content string `json:"content"`
}

// completion is a whole answer or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// errorBody is the model API's form of an error.
type errorBody struct {
	Error errorText `json:"error"`
}

// errorText is the content of errorBody.
type errorText struct {
	Message string `json:"message"`
}

// fenceBody answers an order with an old fencing number.
type fenceBody struct {
	Fence uint64 `json:"fence"`
}

// eventsBody is the answer to a read of cache events.
type eventsBody struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

func (p *progress) usage() *usage {
	prompt := PromptTokens(p.prompt)
	output := p.request.MaxTokens
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		CachedTokens:     prompt - p.uncache,
	}
}

// chunk is the data of token n of a stream.
func (p *progress) chunk(n int) ([]byte, error) {
	c := choice{}
	body := completion{ID: p.id, Model: p.request.Model, Object: "text_completion"}
	text := ExpectedToken(p.prompt, n)
	if p.path == chatPath {
		body.Object = "chat.completion.chunk"
		c.Delta = &delta{Content: text}
	} else {
		c.Text = text
	}
	if n == p.request.MaxTokens {
		c.FinishReason = "length"
		body.Usage = p.usage()
	}
	body.Choices = []choice{c}
	return json.Marshal(body)
}

// whole is the answer of a call that does not stream.
func (p *progress) whole() ([]byte, error) {
	c := choice{FinishReason: "length"}
	body := completion{ID: p.id, Model: p.request.Model, Object: "text_completion", Usage: p.usage()}
	text := ExpectedText(p.prompt, p.request.MaxTokens)
	if p.path == chatPath {
		body.Object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	body.Choices = []choice{c}
	return json.Marshal(body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorBody{Error: errorText{Message: text}})
}
