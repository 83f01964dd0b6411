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
	// resendPause is how long a caller waits before it sends again.
	resendPause = 200 * time.Millisecond
	// mostSends bounds how often a caller sends one call.
	mostSends = 40
)

// crowd is callers at work.
type crowd struct {
	sender *load.Generator
	group  conc.WaitGroup

	// mu guards outcomes.
	mu       sync.Mutex
	outcomes []*load.Outcome
}

// newCrowd returns callers whose attempts last at most attemptTime.
func newCrowd(t *testing.T, attemptTime time.Duration) *crowd {
	t.Helper()
	c := &crowd{sender: load.NewGenerator(load.NewBalancer(nil), attemptTime)}
	t.Cleanup(c.sender.Close)
	t.Cleanup(c.group.Wait)
	return c
}

// send has a caller send one call, first to the first URL. While it has no
// whole answer it sends the call again with its key, to the other URLs in
// turn; with one URL it sends once.
func (c *crowd) send(call *load.Request, first string, others ...string) {
	c.group.Go(func() {
		o := &load.Outcome{Request: call}
		url := first
		for n := range mostSends {
			o.Attempts = append(o.Attempts, c.sender.SendTo(context.Background(), call, url))
			if isSettled(o.Attempts[n]) || len(others) == 0 {
				break
			}
			time.Sleep(resendPause)
			url = others[n%len(others)]
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, o)
	})
}

// isSettled tells whether sending again is of no use: the whole answer came, or
// the word that the call may have run, without advice to come back.
func isSettled(a load.Attempt) bool {
	return a.Verdict == load.VerdictComplete || a.Status == http.StatusConflict
}

// wait waits for all callers and returns what became of their calls.
func (c *crowd) wait() []*load.Outcome {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}
