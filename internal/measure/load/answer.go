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
func read(call *Request, response *http.Response, attempt *Attempt) {
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
		attempt.Verdict = VerdictConnectionLost
		return
	}
	var problem answerBody
	_ = json.Unmarshal(text, &problem)
	attempt.Verdict = VerdictRefused
	attempt.RunStatus = problem.Run
	attempt.Detail = strings.TrimSpace(problem.Title + " " + problem.Detail)
}

// readEcho proves that a service's answer belongs to the call.
func readEcho(call *Request, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	var echo target.Echo
	if json.Unmarshal(text, &echo) != nil || echo.Body != call.ID {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readWhole proves that a model's answer is the whole text of the call.
func readWhole(call *Request, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	attempt.FirstTokenAt = time.Now()
	var answer answerBody
	isJSON := json.Unmarshal(text, &answer) == nil
	if !isJSON || answer.text() != target.ExpectedText(call.Prompt, call.MaxTokens) {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readStream reads events to the explicit end, an error event or a break.
func readStream(call *Request, body io.Reader, attempt *Attempt) {
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
	attempt.Verdict = VerdictTruncated
	if err := lines.Err(); err != nil {
		attempt.Verdict = VerdictConnectionLost
		attempt.Detail = err.Error()
	}
}

// readEvent takes one event; it reports false when the stream is decided.
func readEvent(data []byte, expected string, attempt *Attempt) bool {
	var event answerBody
	if json.Unmarshal(data, &event) != nil {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("event %.80q", data)
		return false
	}
	if event.Run != "" {
		attempt.Verdict = VerdictRefused
		attempt.RunStatus = event.Run
		attempt.Detail = strings.TrimSpace(event.Title + " " + event.Detail)
		return false
	}
	if event.text() != "" && attempt.FirstTokenAt.IsZero() {
		attempt.FirstTokenAt = time.Now()
	}
	attempt.text += event.text()
	if !strings.HasPrefix(expected, attempt.text) {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("after %d bytes: %.80q", len(attempt.text), data)
		return false
	}
	return true
}

// endStream evaluates a stream that ended explicitly.
func endStream(got, expected string, attempt *Attempt) {
	attempt.Verdict = VerdictComplete
	if got != expected {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("ended after %d of %d bytes", len(got), len(expected))
	}
}
