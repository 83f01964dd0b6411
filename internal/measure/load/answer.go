package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// answerBody is what a caller reads of an answer or of one stream event.
type answerBody struct {
	Choices []answerChoice `json:"choices"`
	// Run is set in problem documents.
	Run    string `json:"run"`
	Detail string `json:"detail"`
	Title  string `json:"title"`
}

// answerChoice is one choice; its text is in one of the three places.
type answerChoice struct {
	Text    string     `json:"text"`
	Message answerText `json:"message"`
	Delta   answerText `json:"delta"`
}

type answerText struct {
	Content string `json:"content"`
}

func (b *answerBody) text() string {
	if len(b.Choices) == 0 {
		return ""
	}
	c := b.Choices[0]
	return c.Text + c.Message.Content + c.Delta.Content
}

// read reads the answer and sets the verdict.
func read(call *Call, response *http.Response, attempt *Attempt) {
	switch {
	case response.StatusCode != http.StatusOK:
		readRefusal(response.Body, attempt)
	case call.Kind == KindService:
		readEcho(call, response.Body, attempt)
	case call.Stream:
		readStream(call, response.Body, attempt)
	default:
		readWhole(call, response.Body, attempt)
	}
}

// readRefusal reads a problem document or any other error.
func readRefusal(body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = Broken
		return
	}
	var problem answerBody
	_ = json.Unmarshal(text, &problem)
	attempt.Verdict = Refused
	attempt.Run = problem.Run
	attempt.Detail = strings.TrimSpace(problem.Title + " " + problem.Detail)
}

// readEcho proves that a service's answer belongs to the call.
func readEcho(call *Call, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = Broken
		return
	}
	var echo target.EchoResponse
	if json.Unmarshal(text, &echo) != nil || echo.Body != call.ID {
		attempt.Verdict = Wrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = Whole
}

// readWhole proves that a model's answer is the whole text of the call.
func readWhole(call *Call, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = Broken
		return
	}
	attempt.FirstToken = time.Now()
	var answer answerBody
	isJSON := json.Unmarshal(text, &answer) == nil
	if !isJSON || answer.text() != target.ExpectedText(call.Prompt, call.MaxTokens) {
		attempt.Verdict = Wrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = Whole
}

// readStream reads events to the explicit end, an error event or a break.
func readStream(call *Call, body io.Reader, attempt *Attempt) {
	expected := target.ExpectedText(call.Prompt, call.MaxTokens)
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	id := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimSpace(value)
		if name == "id" {
			id = value
		}
		if name != "data" {
			continue
		}
		if value == "[DONE]" {
			endStream(attempt.text, expected, attempt)
			return
		}
		if !readEvent([]byte(value), expected, attempt) {
			return
		}
		attempt.lastID = id
	}
	attempt.Verdict = Partial
	if err := lines.Err(); err != nil {
		attempt.Verdict = Broken
		attempt.Detail = err.Error()
	}
}

// readEvent takes one event; it reports false when the stream is decided.
func readEvent(data []byte, expected string, attempt *Attempt) bool {
	var event answerBody
	if json.Unmarshal(data, &event) != nil {
		attempt.Verdict = Wrong
		attempt.Detail = fmt.Sprintf("event %.80q", data)
		return false
	}
	if event.Run != "" {
		attempt.Verdict = Refused
		attempt.Run = event.Run
		attempt.Detail = strings.TrimSpace(event.Title + " " + event.Detail)
		return false
	}
	if event.text() != "" && attempt.FirstToken.IsZero() {
		attempt.FirstToken = time.Now()
	}
	attempt.text += event.text()
	if !strings.HasPrefix(expected, attempt.text) {
		attempt.Verdict = Wrong
		attempt.Detail = fmt.Sprintf("after %d bytes: %.80q", len(attempt.text), data)
		return false
	}
	return true
}

// endStream evaluates a stream that ended explicitly.
func endStream(got, expected string, attempt *Attempt) {
	attempt.Verdict = Whole
	if got != expected {
		attempt.Verdict = Wrong
		attempt.Detail = fmt.Sprintf("ended after %d of %d bytes", len(got), len(expected))
	}
}
