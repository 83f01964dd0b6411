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

// maxEventLineBytes bounds one line of a stream.
const maxEventLineBytes = 1 << 20

// responseBody is what a caller reads of an answer or of one stream event.
type responseBody struct {
	Choices []responseChoice `json:"choices"`
	// Run is set in problem documents.
	Run    string `json:"run"`
	Detail string `json:"detail"`
	Title  string `json:"title"`
}

// responseChoice is one choice; its text is in one of the three places.
type responseChoice struct {
	Text    string       `json:"text"`
	Message responseText `json:"message"`
	Delta   responseText `json:"delta"`
}

type responseText struct {
	Content string `json:"content"`
}

func (b *responseBody) text() string {
	if len(b.Choices) == 0 {
		return ""
	}
	choice := b.Choices[0]
	return choice.Text + choice.Message.Content + choice.Delta.Content
}

// readResponse reads the answer and sets the verdict.
func readResponse(request *Request, response *http.Response, attempt *Attempt) {
	switch {
	case response.StatusCode != http.StatusOK:
		readErrorResponse(response.Body, attempt)
	case request.Kind == KindService:
		readServiceResponse(request, response.Body, attempt)
	case request.Stream:
		readStream(request, response.Body, attempt)
	default:
		readCompletion(request, response.Body, attempt)
	}
}

// readErrorResponse reads a problem document or any other error.
func readErrorResponse(body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	var problem responseBody
	_ = json.Unmarshal(text, &problem)
	attempt.Verdict = VerdictRefused
	attempt.RunStatus = problem.Run
	attempt.Detail = strings.TrimSpace(problem.Title + " " + problem.Detail)
}

// readServiceResponse proves that a service's answer belongs to the call.
func readServiceResponse(request *Request, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	var echo target.Echo
	if json.Unmarshal(text, &echo) != nil || echo.Body != request.ID {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readCompletion proves that a model's answer is the whole text of the call.
func readCompletion(request *Request, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	attempt.FirstTokenAt = time.Now()
	var completion responseBody
	isJSON := json.Unmarshal(text, &completion) == nil
	if !isJSON || completion.text() != target.ExpectedText(request.Prompt, request.MaxTokens) {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("answer %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readStream reads events to the explicit end, an error event or a break.
func readStream(request *Request, body io.Reader, attempt *Attempt) {
	expected := target.ExpectedText(request.Prompt, request.MaxTokens)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLineBytes)
	eventID := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimSpace(value)
		if field == "id" {
			eventID = value
		}
		if field != "data" {
			continue
		}
		if value == "[DONE]" {
			finishStream(attempt.receivedText, expected, attempt)
			return
		}
		if !applyEvent([]byte(value), expected, attempt) {
			return
		}
		attempt.lastEventID = eventID
	}
	attempt.Verdict = VerdictTruncated
	if err := scanner.Err(); err != nil {
		attempt.Verdict = VerdictConnectionLost
		attempt.Detail = err.Error()
	}
}

// applyEvent takes one event; it reports false when the stream is decided.
func applyEvent(data []byte, expected string, attempt *Attempt) bool {
	var event responseBody
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
	attempt.receivedText += event.text()
	if !strings.HasPrefix(expected, attempt.receivedText) {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("after %d bytes: %.80q", len(attempt.receivedText), data)
		return false
	}
	return true
}

// finishStream evaluates a stream that ended explicitly.
func finishStream(received, expected string, attempt *Attempt) {
	attempt.Verdict = VerdictComplete
	if received != expected {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("ended after %d of %d bytes", len(received), len(expected))
	}
}
