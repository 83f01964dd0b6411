package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// flood lets every node submit n requests of the tier.
func (c *cluster) flood(n, tier int, deadline time.Duration) []*pending {
	var all []*pending
	for range n {
		for _, node := range c.nodes {
			if node.paused {
				continue
			}
			all = append(all, node.enter(&Request{
				Pool: "pool", Route: "r", Account: "a", Tier: tables.Tier(tier),
				PromptTokens: 10, OutputTokens: 10, Deadline: c.clock.Now().Add(deadline),
			}))
		}
	}
	return all
}

func TestCreditsNeverExceedTheTarget(t *testing.T) {
	c := newCluster(t, 3, slots("t0", 10), slots("t1", 2))
	c.advance(200 * time.Millisecond)
	c.flood(20, 1, time.Minute)
	for range 40 {
		c.advance(25 * time.Millisecond)
		assert.Assert(t, c.running("t0") <= 10, "t0 runs %d", c.running("t0"))
		assert.Assert(t, c.running("t1") <= 2, "t1 runs %d", c.running("t1"))
	}
	assert.Equal(t, c.running("t0"), 10)
	assert.Equal(t, c.running("t1"), 2)
}

func TestOneEntryGetsTheWholeTarget(t *testing.T) {
	c := newCluster(t, 3, slots("t0", 9))
	c.advance(200 * time.Millisecond)
	for range 20 {
		c.nodes[0].enter(&Request{Pool: "pool", PromptTokens: 5, OutputTokens: 5})
	}
	c.advance(200 * time.Millisecond)
	assert.Equal(t, c.running("t0"), 9)
}
