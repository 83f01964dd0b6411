package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// With concurrent callers on two entries that use the system clock, every Admit
// returns, and no target runs more requests than it has slots.
func TestConcurrentCallers(t *testing.T) {
	const callers, rounds = 16, 40
	c := newCluster(t, 2, targetWithSlots("t0", 3), targetWithSlots("t1", 2))
	limits := map[string]int64{"t0": 3, "t1": 2}
	var running [2]atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var background conc.WaitGroup
	for _, n := range c.nodes {
		n.clock = clockwork.NewRealClock()
		background.Go(func() { n.Run(ctx) })
	}
	var group conc.WaitGroup
	var overLimit, failed atomic.Int64
	for caller := range callers {
		group.Go(func() {
			source := rand.New(rand.NewPCG(uint64(caller), 1))
			n := c.nodes[caller%2]
			for range rounds {
				g, err := n.Admit(ctx, &Request{
					Pool: "pool", Route: "r", Account: fmt.Sprint(caller), Tier: tables.Tier(source.IntN(4)),
					PromptTokens: 1 + source.IntN(100),
				})
				if err != nil {
					failed.Add(1)
					continue
				}
				name := g.Target().Name
				runningHere := &running[name[1]-'0']
				if runningHere.Add(1) > limits[name] {
					overLimit.Add(1)
				}
				g.ReportFirstToken()
				g.ReportProgress(20)
				runningHere.Add(-1)
				g.Finish(Outcome{Kind: Complete, OutputTokens: 20})
			}
		})
	}
	group.Wait()
	cancel()
	background.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, overLimit.Load(), int64(0))
	for _, n := range c.nodes {
		stats := n.Stats()
		assert.Equal(t, stats.Running, [tables.TierCount]uint64{})
		assert.Equal(t, stats.Waiting, [tables.TierCount]uint64{})
	}
}
