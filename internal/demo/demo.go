// Package demo runs three instances with a stand-in platform and stand-in
// targets in one process, on loopback, and shows what the system does.
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

// Bounds of the demonstration.
const (
	adoptionBound = 8 * time.Second
	pollPause     = 20 * time.Millisecond
	stopBound     = 20 * time.Second
	maxTokens     = 12
	// moveTime is the time given to the move, moveShown how long the demonstration
	// waits to see it begin.
	moveTime  = 30 * time.Minute
	moveShown = 20 * time.Second
	percent   = 100
)

// Command is the command "demo".
type Command struct{}

// Run shows streams, a plain call, a call that must not run twice, and a move.
// It fails unless every answer was right.
func (d *Command) Run(ctx context.Context, out io.Writer) (err error) {
	c, err := startCluster()
	if err != nil {
		return err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(ctx, stopBound)
		defer cancel()
		err = errors.CombineErrors(err, c.close(stopCtx))
	}()
	steps := []func(context.Context, io.Writer, *cluster) error{
		applyTables, showStream, showPlainCall, showOnce, showMove,
	}
	for _, step := range steps {
		if err := step(ctx, out, c); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "every answer was right")
	return err
}

// apply sends the tables through the first instance.
func apply(ctx context.Context, c *cluster, base uint64, pools string) error {
	client, err := adminclient.New(c.instances[0].AdminURL(), adminToken)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, base, admin.ApplyRequest{
		Routes: admin.TableFile{Name: "routes.json", Text: routes},
		Pools:  admin.TableFile{Name: "pools.json", Text: pools},
	})
	return err
}

func applyTables(ctx context.Context, out io.Writer, c *cluster) error {
	if err := applyOnceJoined(ctx, c); err != nil {
		return err
	}
	start := time.Now()
	for _, running := range c.instances {
		if err := waitReady(ctx, running.CallersURL()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "tables version 1 accepted at one instance, in force at three after %v\n",
		time.Since(start).Round(time.Millisecond))
	return err
}

// applyOnceJoined applies the first tables as soon as the instances have found
// each other; before that, nothing is accepted.
func applyOnceJoined(ctx context.Context, c *cluster) error {
	deadline := time.Now().Add(adoptionBound)
	for {
		err := apply(ctx, c, 0, c.pools("v1", time.Time{}))
		if exit.Of(err) != exit.Unavailable || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPause):
		}
	}
}

func waitReady(ctx context.Context, url string) error {
	deadline := time.Now().Add(adoptionBound)
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
		case <-time.After(pollPause):
		}
	}
	return errors.Newf("%s is not ready after %v", url, adoptionBound)
}

// modelRequest is a model-API request body.
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

func showStream(ctx context.Context, out io.Writer, c *cluster) error {
	for i, running := range c.instances {
		prompt := fmt.Sprintf("Which subscriptions renew in week %d?", i+1)
		text, handle, err := stream(ctx, running.CallersURL(), prompt)
		if err != nil {
			return err
		}
		if want := target.ExpectedText(prompt, maxTokens); text != want {
			return errors.Newf("stream through instance %d: got %q, want %q", i+1, text, want)
		}
		_, err = fmt.Fprintf(out, "stream %s through entry-%d: %d tokens, whole and its own, from %s\n",
			short(handle), i+1, maxTokens, c.ranAt(handle))
		if err != nil {
			return err
		}
	}
	return nil
}

// stream sends a streaming request and returns its text and handle.
func stream(ctx context.Context, url, prompt string) (text, handle string, err error) {
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

// chunk is the part of a streamed event that holds text.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	reader := sse.NewReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return "", errors.Wrap(err, "the stream has no explicit end")
		}
		if event.Last() {
			return text.String(), nil
		}
		var part chunk
		if err := json.Unmarshal(event.Data, &part); err != nil {
			return "", err
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

func post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.HeaderAccount, "franchise-7")
	if key != "" {
		request.Header.Set(entry.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		return nil, errors.Newf("%s answered %d: %s", url, response.StatusCode, text)
	}
	return response, nil
}

// echoed calls the plain service and returns its answer.
func echoed(ctx context.Context, url, key, body string) (target.EchoResponse, error) {
	var echo target.EchoResponse
	response, err := post(ctx, url, key, []byte(body))
	if err != nil {
		return echo, err
	}
	defer response.Body.Close()
	return echo, json.NewDecoder(response.Body).Decode(&echo)
}

func showPlainCall(ctx context.Context, out io.Writer, c *cluster) error {
	echo, err := echoed(ctx, c.instances[1].CallersURL()+"/billing/plan", "", `{"client":"acme"}`)
	if err != nil {
		return err
	}
	if echo.Path != "/billing/plan" || echo.Body != `{"client":"acme"}` {
		return errors.Newf("the plain call was answered with %+v", echo)
	}
	_, err = fmt.Fprintln(out, "plain call POST /billing/plan through entry-2: echoed by billing-1")
	return err
}

func showOnce(ctx context.Context, out io.Writer, c *cluster) error {
	const path, key, body = "/billing/cancel", "cancel-4711", `{"subscription":"seat-pack"}`
	first, err := echoed(ctx, c.instances[0].CallersURL()+path, key, body)
	if err != nil {
		return err
	}
	second, err := echoed(ctx, c.instances[2].CallersURL()+path, key, body)
	if err != nil {
		return err
	}
	runs := c.service.RunCountsByKey()[target.AccountKey{Account: "franchise-7", Key: key}]
	if runs != 1 || first != second {
		return errors.Newf("the cancellation ran %d times, answers %+v and %+v", runs, first, second)
	}
	_, err = fmt.Fprintln(out, "cancellation sent twice with one key, through entry-1 and entry-3: ran once, both got its answer")
	return err
}

// showMove lets the assistants move to version v2 and sends streams meanwhile.
func showMove(ctx context.Context, out io.Writer, c *cluster) error {
	deadline := time.Now().Add(moveTime)
	if err := apply(ctx, c, 1, c.pools("v2", deadline)); err != nil {
		return err
	}
	client, err := adminclient.New(c.instances[1].AdminURL(), adminToken)
	if err != nil {
		return err
	}
	until := time.Now().Add(moveShown)
	for n := 0; ; n++ {
		if err := showMoveStream(ctx, c, n); err != nil {
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
		if time.Now().After(until) {
			return errors.Newf("the move has not begun after %v: %+v", moveShown, moves.Moves)
		}
	}
}

func showMoveStream(ctx context.Context, c *cluster, n int) error {
	prompt := fmt.Sprintf("What changes with invoice %d?", n)
	text, _, err := stream(ctx, c.instances[n%len(c.instances)].CallersURL(), prompt)
	if err != nil {
		return err
	}
	if want := target.ExpectedText(prompt, maxTokens); text != want {
		return errors.Newf("stream during the move: got %q, want %q", text, want)
	}
	return nil
}

func short(handle string) string {
	const shown = 8
	return handle[:min(shown, len(handle))]
}
