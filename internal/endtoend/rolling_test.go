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
	// callEvery is the time between calls of the continuous load.
	callEvery = 50 * time.Millisecond
	// callDeadline bounds how long a call that is held up delays a shutdown.
	callDeadline = 15 * time.Second
)

// TestRollingReplacement replaces all processes one after another under a
// light load through those that are ready. No call may be cut.
func TestRollingReplacement(t *testing.T) {
	f := startFleet(t, 8, callDeadline)
	balancer := load.NewBalancer(f.urls())
	sender := load.NewGenerator(balancer, patience)
	t.Cleanup(sender.Close)
	ctx, stop := context.WithCancel(context.Background())
	var outcomes []*load.Outcome
	var loading conc.WaitGroup
	t.Cleanup(loading.Wait)
	t.Cleanup(stop)
	loading.Go(func() { outcomes = sendUntil(ctx, sender) })
	for i := range f.processes {
		f.replace(t, i, balancer)
	}
	stop()
	loading.Wait()
	assert.Assert(t, len(outcomes) > 0)
	f.checkTruth(t, outcomes)
	checkWhole(t, outcomes)
	for _, o := range outcomes {
		if len(o.Attempts) != 1 {
			t.Errorf("call %s was cut\n%s", o.Request.ID, describe(o))
		}
	}
	t.Logf("%d calls", len(outcomes))
}

func (f *fleet) urls() []string {
	urls := make([]string, len(f.processes))
	for i, p := range f.processes {
		urls[i] = p.callersURL()
	}
	return urls
}

// replace starts a process in the place of another and ends that. The balancer
// drops the old one as soon as it is not ready.
func (f *fleet) replace(t *testing.T, index int, balancer *load.Balancer) {
	t.Helper()
	old := f.processes[index]
	next := f.launch(t)
	waitFor(t, next.name+" is ready", next.ready)
	f.processes[index] = next
	old.signal(t, syscall.SIGTERM)
	waitFor(t, old.name+" is not ready", func() bool { return !old.ready() })
	balancer.SetURLs(f.urls())
	assert.Equal(t, old.exitCode(t), exit.Success)
}

// sendUntil sends calls of all kinds at an even pace until the context ends,
// and waits for their answers.
func sendUntil(ctx context.Context, sender *load.Generator) []*load.Outcome {
	const tokens = 40
	var outcomes []*load.Outcome
	var inFlight conc.WaitGroup
	ticker := time.NewTicker(callEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			inFlight.Wait()
			return outcomes
		case <-ticker.C:
		}
		call := rollingCall(n, tokens)
		o := &load.Outcome{Request: call}
		outcomes = append(outcomes, o)
		inFlight.Go(func() {
			// The load does not end with ctx: calls under way are finished.
			*o = *sender.Send(context.Background(), []*load.Request{call})[0]
		})
	}
}

// rollingCall is call n: streams with and without a key, and service calls of
// both grades.
func rollingCall(n, tokens int) *load.Request {
	id := fmt.Sprintf("roll-%d", n)
	switch n % 4 {
	case 0:
		return stream(id, tokens, true)
	case 1:
		return serviceCall(id, billing)
	case 2:
		return serviceCall(id, cancel)
	default:
		return stream(id, tokens, false)
	}
}
