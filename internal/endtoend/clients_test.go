package endtoend

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

const (
	// retryInterval is the pause of a client before it retries.
	retryInterval = 200 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one call.
	maxAttempts = 40
)

// clientGroup is a group of concurrent clients and the outcomes of their calls.
type clientGroup struct {
	sender *load.Generator
	wg     conc.WaitGroup

	// mu guards outcomes.
	mu       sync.Mutex
	outcomes []*load.Outcome
}

// newClientGroup returns a group of clients with the given timeout per attempt.
func newClientGroup(t *testing.T, attemptTimeout time.Duration) *clientGroup {
	t.Helper()
	g := &clientGroup{sender: load.NewGenerator(load.NewBalancer(nil), attemptTimeout)}
	t.Cleanup(g.sender.Close)
	t.Cleanup(g.wg.Wait)
	return g
}

// send starts a client that sends one call to firstURL. Until it has a final
// response, the client retries the call with the same key at the other URLs in
// turn. Without other URLs it does not retry.
func (g *clientGroup) send(call *load.Request, firstURL string, otherURLs ...string) {
	g.wg.Go(func() {
		outcome := &load.Outcome{Request: call}
		url := firstURL
		for attempt := range maxAttempts {
			outcome.Attempts = append(outcome.Attempts, g.sender.SendTo(context.Background(), call, url))
			if isFinal(outcome.Attempts[attempt]) || len(otherURLs) == 0 {
				break
			}
			time.Sleep(retryInterval)
			url = otherURLs[attempt%len(otherURLs)]
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outcomes = append(g.outcomes, outcome)
	})
}

// isFinal reports whether a retry is useless: either the response is complete, or
// status 409 says that the call may have run and gives no advice to retry.
func isFinal(attempt load.Attempt) bool {
	return attempt.Verdict == load.VerdictComplete || attempt.Status == http.StatusConflict
}

// wait waits for all clients and returns the outcomes of their calls.
func (g *clientGroup) wait() []*load.Outcome {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcomes
}
