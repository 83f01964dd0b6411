package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// submitOnAllNodes submits n requests of the tier on each node that is not paused.
func (c *cluster) submitOnAllNodes(n, tier int, deadline time.Duration) []*submission {
	var all []*submission
	for range n {
		for _, node := range c.nodes {
			if node.paused {
				continue
			}
			all = append(all, node.submitRequest(&Request{
				Pool: "pool", Route: "r", Account: "a", Tier: tables.Tier(tier),
				PromptTokens: 10, OutputTokens: 10, Deadline: c.clock.Now().Add(deadline),
			}))
		}
	}
	return all
}

func TestCreditsNeverExceedTheTarget(t *testing.T) {
	c := newCluster(t, 3, targetWithSlots("t0", 10), targetWithSlots("t1", 2))
	c.advance(200 * time.Millisecond)
	c.submitOnAllNodes(20, 1, time.Minute)
	for range 40 {
		c.advance(25 * time.Millisecond)
		assert.Assert(t, c.running("t0") <= 10, "t0 runs %d requests, limit 10", c.running("t0"))
		assert.Assert(t, c.running("t1") <= 2, "t1 runs %d requests, limit 2", c.running("t1"))
	}
	assert.Equal(t, c.running("t0"), 10)
	assert.Equal(t, c.running("t1"), 2)
}

func TestOneEntryGetsTheWholeTarget(t *testing.T) {
	c := newCluster(t, 3, targetWithSlots("t0", 9))
	c.advance(200 * time.Millisecond)
	for range 20 {
		c.nodes[0].submitRequest(&Request{Pool: "pool", PromptTokens: 5, OutputTokens: 5})
	}
	c.advance(200 * time.Millisecond)
	assert.Equal(t, c.running("t0"), 9)
}

func TestCoordinatorFailure(t *testing.T) {
	c := newCluster(t, 4, targetWithSlots("t0", 12))
	c.advance(200 * time.Millisecond)
	all := c.submitOnAllNodes(10, 1, time.Minute)
	c.advance(200 * time.Millisecond)
	coordinator := c.coordinator("t0")
	runningOnFailed := int(c.nodes[coordinator].target("t0").runningSlots.Load())
	c.removeNode(coordinator)
	for range 200 {
		c.advance(10 * time.Millisecond)
		assert.Assert(t, c.running("t0")+runningOnFailed <= 12, "%d run, and %d ran on the failed coordinator", c.running("t0"), runningOnFailed)
		// One request ends every 10 ms, so that entries always compete for a free slot.
		for _, s := range all {
			if s.poll().grant != nil {
				s.grant.Finish(Outcome{Kind: Cancelled})
				s.grant, s.job = nil, nil
				break
			}
		}
	}
	c.submitOnAllNodes(10, 1, time.Minute)
	c.advance(4 * time.Second)
	assert.Equal(t, c.running("t0"), 12)
}

func TestStaticShareWithoutCoordinator(t *testing.T) {
	c := newCluster(t, 3, targetWithSlots("t0", 10))
	c.network.Deliver = func(string, string) bool { return false }
	c.submitOnAllNodes(10, 1, time.Minute)
	for range 100 {
		c.advance(50 * time.Millisecond)
		assert.Assert(t, c.running("t0") <= 10)
	}
	assert.Equal(t, c.running("t0"), 10)
}

func TestLostDatagrams(t *testing.T) {
	c := newCluster(t, 3, targetWithSlots("t0", 9), targetWithSlots("t1", 5))
	source := rand.New(rand.NewPCG(7, 7))
	c.network.Deliver = func(string, string) bool { return source.Float64() >= 0.4 }
	all := c.submitOnAllNodes(600, 1, time.Hour)
	usedSlots := 0
	for step := range 500 {
		c.advance(10 * time.Millisecond)
		assert.Assert(t, c.running("t0") <= 9 && c.running("t1") <= 5)
		if step >= 100 {
			usedSlots += c.running("t0") + c.running("t1")
		}
		for i, s := range all {
			if s.poll().grant != nil && i%7 == step%7 {
				s.grant.Finish(Outcome{Kind: Complete})
				s.grant, s.job = nil, nil
			}
		}
	}
	share := float64(usedSlots) / float64(400*14)
	t.Logf("share of slots in use with 40%% of datagrams lost: %.2f", share)
	assert.Assert(t, share > 0.5, "share of slots in use %.2f, want > 0.5", share)
}

func TestPausedEntryDoesNotUseExpiredCredits(t *testing.T) {
	c := newCluster(t, 2, targetWithSlots("t0", 8))
	c.advance(200 * time.Millisecond)
	paused := c.nodes[0]
	assert.Assert(t, paused.target("t0").unusedAllowance().Slots > 0)
	paused.paused = true
	c.submitOnAllNodes(20, 1, time.Minute)
	c.advance(3 * time.Second)
	runningElsewhere := c.running("t0")
	assert.Assert(t, runningElsewhere <= 8)
	s := paused.submitRequest(&Request{Pool: "pool", PromptTokens: 1, OutputTokens: 1})
	assert.Assert(t, s.grant == nil, "request started under an expired lease")
	paused.paused = false
	for range 100 {
		c.advance(20 * time.Millisecond)
		assert.Assert(t, c.running("t0") <= 8)
	}
}
