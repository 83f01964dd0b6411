package target

import (
	"encoding/json"
	"net/http"
)

// chatPath is the endpoint that responds with chat messages; the other completion
// endpoint responds with plain text.
const chatPath = "/v1/chat/completions"

// usage is the token usage at the end of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// choice is the single choice of a response or chunk. One of Text, Message and
// Delta is set, depending on the endpoint and on whether the response is streamed.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// delta is the new content in a chunk of a chat stream.
type delta struct {
	Content string `json:"content"`
}

// completionBody is a whole response or one chunk of a stream.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// errorBody is an error response of the model API.
type errorBody struct {
	Error errorMessage `json:"error"`
}

// errorMessage is the error object of an errorBody.
type errorMessage struct {
	Message string `json:"message"`
}

// fencingConflictBody is the response to an order with an old fencing token.
type fencingConflictBody struct {
	Fence uint64 `json:"fence"`
}

// cacheEventsBody is the response to GET /cache/events.
type cacheEventsBody struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

func (r *engineRun) usage() *usage {
	promptTokens := PromptTokens(r.prompt)
	outputTokens := r.request.MaxTokens
	return &usage{
		PromptTokens:     promptTokens,
		CompletionTokens: outputTokens,
		TotalTokens:      promptTokens + outputTokens,
		CachedTokens:     promptTokens - r.uncachedTokens,
	}
}

// chunkJSON returns the event data of one token of a stream.
func (r *engineRun) chunkJSON(tokenNumber int) ([]byte, error) {
	c := choice{}
	body := completionBody{ID: r.id, Model: r.request.Model, Object: "text_completion"}
	text := ExpectedToken(r.prompt, tokenNumber)
	if r.path == chatPath {
		body.Object = "chat.completion.chunk"
		c.Delta = &delta{Content: text}
	} else {
		c.Text = text
	}
	if tokenNumber == r.request.MaxTokens {
		c.FinishReason = "length"
		body.Usage = r.usage()
	}
	body.Choices = []choice{c}
	return json.Marshal(body)
}

// responseJSON returns the body of a response that is not streamed.
func (r *engineRun) responseJSON() ([]byte, error) {
	c := choice{FinishReason: "length"}
	body := completionBody{ID: r.id, Model: r.request.Model, Object: "text_completion", Usage: r.usage()}
	text := ExpectedText(r.prompt, r.request.MaxTokens)
	if r.path == chatPath {
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
	writeJSON(w, status, errorBody{Error: errorMessage{Message: text}})
}
