// Package demo implements the command "demo", which demonstrates the system: it runs a
// cluster of three instances, a stand-in platform and stand-in targets in one process
// on loopback, sends requests and checks their responses.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/entry"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
	"github.com/hibiscuspost/hibiscuspost/internal/sse"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// Timeouts and sizes of the demonstration.
const (
	readyTimeout    = 8 * time.Second
	pollInterval    = 20 * time.Millisecond
	shutdownTimeout = 20 * time.Second
	maxTokens       = 12
	// moveDuration is the time until the move's deadline, and moveStartTimeout bounds
	// the wait until the move has started.
	moveDuration     = 30 * time.Minute
	moveStartTimeout = 20 * time.Second
	percent          = 100
)

// Command is the "demo" command.
type Command struct{}

// Run demonstrates streams, a service request, a request that must not run twice, and
// a move. It fails unless every response was as expected.
func (cmd *Command) Run(ctx context.Context, out io.Writer) (err error) {
	c, err := startCluster()
	if err != nil {
		return err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		err = errors.CombineErrors(err, c.close(stopCtx))
	}()
	steps := []func(context.Context, io.Writer, *cluster) error{
		showTables, showStreams, showServiceRequest, showIdempotentRequest, showMove,
	}
	for _, step := range steps {
		if err := step(ctx, out, c); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "every answer was right")
	return err
}

// apply applies the tables through the first instance.
func apply(ctx context.Context, c *cluster, baseVersion uint64, pools string) error {
	client, err := adminclient.New(c.instances[0].AdminURL(), adminToken)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, baseVersion, admin.ApplyRequest{
		Routes: admin.TableFile{Name: "routes.json", Text: routesTable},
		Pools:  admin.TableFile{Name: "pools.json", Text: pools},
	})
	return err
}

// showTables applies the first tables at one instance and waits until all instances
// are ready.
func showTables(ctx context.Context, out io.Writer, c *cluster) error {
	if err := applyInitialTables(ctx, c); err != nil {
		return err
	}
	start := time.Now()
	for _, inst := range c.instances {
		if err := waitReady(ctx, inst.CallersURL()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "tables version 1 accepted at one instance, in force at three after %v\n",
		time.Since(start).Round(time.Millisecond))
	return err
}

// applyInitialTables applies the first tables. It retries until the instances have
// joined each other, since before that they accept no tables.
func applyInitialTables(ctx context.Context, c *cluster) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := apply(ctx, c, 0, c.poolsTable("v1", time.Time{}))
		if exit.CodeOf(err) != exit.Unavailable || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// waitReady waits until the instance at a base URL is ready.
func waitReady(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return errors.Newf("instance at %s is not ready after %v", url, readyTimeout)
}

// modelRequest is the body of a chat completion request.
type modelRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// showStreams sends one streaming request through each instance.
func showStreams(ctx context.Context, out io.Writer, c *cluster) error {
	for i, inst := range c.instances {
		prompt := fmt.Sprintf("Which subscriptions renew in week %d?", i+1)
		text, handle, err := sendStream(ctx, inst.CallersURL(), prompt)
		if err != nil {
			return err
		}
		if want := target.ExpectedText(prompt, maxTokens); text != want {
			return errors.Newf("stream through instance %d: got %q, want %q", i+1, text, want)
		}
		_, err = fmt.Fprintf(out, "stream %s through entry-%d: %d tokens, whole and its own, from %s\n",
			shortHandle(handle), i+1, maxTokens, c.engineThatRan(handle))
		if err != nil {
			return err
		}
	}
	return nil
}

// sendStream sends a streaming chat request and returns its text and handle.
func sendStream(ctx context.Context, url, prompt string) (text, handle string, err error) {
	body, err := json.Marshal(modelRequest{
		Model: "assistant", Stream: true, MaxTokens: maxTokens,
		Messages: []message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return "", "", err
	}
	response, err := post(ctx, url+"/v1/chat/completions", "", body)
	if err != nil {
		return "", "", err
	}
	defer response.Body.Close()
	text, err = readStream(response.Body)
	return text, response.Header.Get(entry.HeaderRequest), err
}

// streamChunk holds the decoded fields of a stream event.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream returns the text of a stream, which must have an explicit end.
func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	reader := sse.NewReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return "", errors.Wrap(err, "stream without explicit end")
		}
		if event.IsLast() {
			return text.String(), nil
		}
		var chunk streamChunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return "", err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

// post sends a POST request, with an idempotency key unless that is empty. It returns
// an error unless the status is 200.
func post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.HeaderAccount, "franchise-7")
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		return nil, errors.Newf("POST %s: want status 200, got %d: %s", url, response.StatusCode, text)
	}
	return response, nil
}

// callService sends a request to the plain service and returns its response.
func callService(ctx context.Context, url, key, body string) (target.EchoResponse, error) {
	var echo target.EchoResponse
	response, err := post(ctx, url, key, []byte(body))
	if err != nil {
		return echo, err
	}
	defer response.Body.Close()
	return echo, json.NewDecoder(response.Body).Decode(&echo)
}

// showServiceRequest sends a request to the plain service.
func showServiceRequest(ctx context.Context, out io.Writer, c *cluster) error {
	echo, err := callService(ctx, c.instances[1].CallersURL()+"/billing/plan", "", `{"client":"acme"}`)
	if err != nil {
		return err
	}
	if echo.Path != "/billing/plan" || echo.Body != `{"client":"acme"}` {
		return errors.Newf("service request was not echoed: got %+v", echo)
	}
	_, err = fmt.Fprintln(out, "plain call POST /billing/plan through entry-2: echoed by billing-1")
	return err
}

// showIdempotentRequest sends a request with one idempotency key through two
// instances. It must run once, and both must return the same response.
func showIdempotentRequest(ctx context.Context, out io.Writer, c *cluster) error {
	const path, key, body = "/billing/cancel", "cancel-4711", `{"subscription":"seat-pack"}`
	first, err := callService(ctx, c.instances[0].CallersURL()+path, key, body)
	if err != nil {
		return err
	}
	second, err := callService(ctx, c.instances[2].CallersURL()+path, key, body)
	if err != nil {
		return err
	}
	runs := c.service.RunCountsByKey()[target.AccountKey{Account: "franchise-7", Key: key}]
	if runs != 1 || first != second {
		return errors.Newf("cancellation: want 1 run and equal responses, got %d runs, responses %+v and %+v", runs, first, second)
	}
	_, err = fmt.Fprintln(out, "cancellation sent twice with one key, through entry-1 and entry-3: ran once, both got its answer")
	return err
}

// showMove starts a move of the assistant pool to version v2 and sends streams until
// its status is in progress with a share above 0.
func showMove(ctx context.Context, out io.Writer, c *cluster) error {
	deadline := time.Now().Add(moveDuration)
	if err := apply(ctx, c, 1, c.poolsTable("v2", deadline)); err != nil {
		return err
	}
	client, err := adminclient.New(c.instances[1].AdminURL(), adminToken)
	if err != nil {
		return err
	}
	startDeadline := time.Now().Add(moveStartTimeout)
	for n := 0; ; n++ {
		if err := sendStreamDuringMove(ctx, c, n); err != nil {
			return err
		}
		var moves report.Moves
		if err := client.Get(ctx, "/admin/v1/moves", &moves); err != nil {
			return err
		}
		i := slices.IndexFunc(moves.Moves, func(s move.Status) bool {
			return s.Pool == "assistant" && s.Share > 0 && s.State == move.StatusInProgress
		})
		if i >= 0 {
			status := moves.Moves[i]
			_, err := fmt.Fprintf(out, "move of assistant from %s to %s: %s (%s, share %.1f%%, time left %v), %d streams meanwhile whole\n",
				status.OldVersion, status.NewVersion, status.State, status.Phase, percent*status.Share, time.Duration(status.TimeLeft), n+1)
			return err
		}
		if time.Now().After(startDeadline) {
			return errors.Newf("move has not started after %v, status %+v", moveStartTimeout, moves.Moves)
		}
	}
}

// sendStreamDuringMove sends the n-th stream during the move and checks its text.
func sendStreamDuringMove(ctx context.Context, c *cluster, n int) error {
	prompt := fmt.Sprintf("What changes with invoice %d?", n)
	text, _, err := sendStream(ctx, c.instances[n%len(c.instances)].CallersURL(), prompt)
	if err != nil {
		return err
	}
	if want := target.ExpectedText(prompt, maxTokens); text != want {
		return errors.Newf("stream during the move: got %q, want %q", text, want)
	}
	return nil
}

// shortHandle returns the start of a handle, for display.
func shortHandle(handle string) string {
	const shown = 8
	return handle[:min(shown, len(handle))]
}
