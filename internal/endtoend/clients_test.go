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
	// retryInterval is how long a caller waits before it sends again.
	retryInterval = 200 * time.Millisecond
	// maxAttempts bounds how often a caller sends one call.
	maxAttempts = 40
)

// clientGroup is callers at work.
type clientGroup struct {
	sender *load.Sender
	wg     conc.WaitGroup

	// mu guards outcomes.
	mu       sync.Mutex
	outcomes []*load.Outcome
}

// newClientGroup returns callers whose attempts last at most attemptTime.
func newClientGroup(t *testing.T, attemptTimeout time.Duration) *clientGroup {
	t.Helper()
	g := &clientGroup{sender: load.NewSender(load.NewBalancer(nil), attemptTimeout)}
	t.Cleanup(g.sender.Close)
	t.Cleanup(g.wg.Wait)
	return g
}

// send has a caller send one call, first to the first URL. While it has no
// whole answer it sends the call again with its key, to the other URLs in
// turn; with one URL it sends once.
func (g *clientGroup) send(call *load.Call, firstURL string, otherURLs ...string) {
	g.wg.Go(func() {
		outcome := &load.Outcome{Call: call}
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

// isFinal tells whether sending again is of no use: the whole answer came, or
// the word that the call may have run, without advice to come back.
func isFinal(attempt load.Attempt) bool {
	return attempt.Verdict == load.Whole || attempt.Status == http.StatusConflict
}

// wait waits for all callers and returns what became of their calls.
func (g *clientGroup) wait() []*load.Outcome {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcomes
}
