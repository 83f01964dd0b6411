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

// maxEventLineBytes bounds one line of an event stream.
const maxEventLineBytes = 1 << 20

// responseBody holds the decoded fields of a response or of one stream event.
type responseBody struct {
	Choices []responseChoice `json:"choices"`
	// Run, Detail and Title are set in problem documents.
	Run    string `json:"run"`
	Detail string `json:"detail"`
	Title  string `json:"title"`
}

// responseChoice is one choice; its text is in one of the three fields.
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

// readResponse reads the response body and sets the attempt's verdict.
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

// readErrorResponse reads a problem document or any other error body.
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

// readServiceResponse checks that a service echoed the ID of the request.
func readServiceResponse(request *Request, body io.Reader, attempt *Attempt) {
	text, err := io.ReadAll(body)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		return
	}
	var echo target.EchoResponse
	if json.Unmarshal(text, &echo) != nil || echo.Body != request.ID {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("unexpected response %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readCompletion checks that an unstreamed completion has the expected text.
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
		attempt.Detail = fmt.Sprintf("unexpected response %.80q", text)
		return
	}
	attempt.Verdict = VerdictComplete
}

// readStream reads events until [DONE], a wrong or error event, or the end of the
// connection.
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

// applyEvent adds one event to the attempt. It returns false when the event is
// malformed, wrong or an error, which sets the verdict.
func applyEvent(data []byte, expected string, attempt *Attempt) bool {
	var event responseBody
	if json.Unmarshal(data, &event) != nil {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("malformed event %.80q", data)
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
		attempt.Detail = fmt.Sprintf("text of the first %d bytes is not as expected; last event %.80q", len(attempt.receivedText), data)
		return false
	}
	return true
}

// finishStream sets the verdict of a stream that ended with [DONE].
func finishStream(received, expected string, attempt *Attempt) {
	attempt.Verdict = VerdictComplete
	if received != expected {
		attempt.Verdict = VerdictWrong
		attempt.Detail = fmt.Sprintf("stream ended after %d of %d bytes of text", len(received), len(expected))
	}
}
