package endtoend

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

const (
	// callInterval is the time between two calls of the continuous load.
	callInterval = 50 * time.Millisecond
	// rollingRouteDeadline bounds how long a delayed call can delay a shutdown.
	rollingRouteDeadline = 15 * time.Second
)

// TestRollingReplacement replaces all processes one after another under a light
// load, which goes to the ready processes. Each call must complete at the first
// attempt.
func TestRollingReplacement(t *testing.T) {
	c := startCluster(t, 8, rollingRouteDeadline)
	balancer := load.NewBalancer(c.clientURLs())
	sender := load.NewGenerator(balancer, maxWait)
	t.Cleanup(sender.Close)
	ctx, stop := context.WithCancel(context.Background())
	var outcomes []*load.Outcome
	var loadGroup conc.WaitGroup
	t.Cleanup(loadGroup.Wait)
	t.Cleanup(stop)
	loadGroup.Go(func() { outcomes = sendUntilDone(ctx, sender) })
	for i := range c.processes {
		c.replaceProcess(t, i, balancer)
	}
	stop()
	loadGroup.Wait()
	assert.Assert(t, len(outcomes) > 0)
	c.checkAgainstRuns(t, outcomes)
	checkAllComplete(t, outcomes)
	for _, outcome := range outcomes {
		if len(outcome.Attempts) != 1 {
			t.Errorf("call %s did not complete at its first attempt\n%s", outcome.Request.ID, formatAttempts(outcome))
		}
	}
	t.Logf("%d calls sent", len(outcomes))
}

func (c *cluster) clientURLs() []string {
	urls := make([]string, len(c.processes))
	for i, p := range c.processes {
		urls[i] = p.clientURL()
	}
	return urls
}

// replaceProcess starts a new process in place of another, which it terminates.
// The balancer drops the old process once that is no longer ready.
func (c *cluster) replaceProcess(t *testing.T, index int, balancer *load.Balancer) {
	t.Helper()
	oldProcess := c.processes[index]
	newProcess := c.startNextProcess(t)
	waitFor(t, newProcess.name+" is ready", newProcess.isReady)
	c.processes[index] = newProcess
	oldProcess.signal(t, syscall.SIGTERM)
	waitFor(t, oldProcess.name+" is not ready", func() bool { return !oldProcess.isReady() })
	balancer.SetURLs(c.clientURLs())
	assert.Equal(t, oldProcess.waitForExit(t), exit.Success)
}

// sendUntilDone sends calls of all kinds at a constant rate until ctx is done, and
// then waits for their responses.
func sendUntilDone(ctx context.Context, sender *load.Generator) []*load.Outcome {
	const tokensPerCall = 40
	var outcomes []*load.Outcome
	var inFlight conc.WaitGroup
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			inFlight.Wait()
			return outcomes
		case <-ticker.C:
		}
		call := rollingCall(n, tokensPerCall)
		outcome := &load.Outcome{Request: call}
		outcomes = append(outcomes, outcome)
		inFlight.Go(func() {
			// Calls in flight are completed after ctx is done.
			*outcome = *sender.Send(context.Background(), []*load.Request{call})[0]
		})
	}
}

// rollingCall returns the call with the given index: a stream with or without a
// key, or a service call on the idempotent or the non-idempotent route.
func rollingCall(index, maxTokens int) *load.Request {
	id := fmt.Sprintf("roll-%d", index)
	switch index % 4 {
	case 0:
		return streamCall(id, maxTokens, true)
	case 1:
		return serviceCall(id, billingPath)
	case 2:
		return serviceCall(id, billingCancelPath)
	default:
		return streamCall(id, maxTokens, false)
	}
}
