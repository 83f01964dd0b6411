package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request waits for the target that has its prefix cached, but no longer than the
// prefill time that this saves.
func TestAffinityWaitBoundedByPrefillSaving(t *testing.T) {
	c, n := singleNode(t, targetWithSlots("t0", 1), targetWithSlots("t1", 1))
	r := Request{Pool: "pool", PromptTokens: 10_000, OutputTokens: 1, PrefixHashes: []uint64{1, 2, 3}}
	first := admit(t, n, r)
	preferred := first.Target().Name
	waiting := n.submitRequest(&r)
	c.advance(100 * time.Millisecond)
	assert.Assert(t, waiting.poll().grant == nil, "the request did not wait for the target with its prefix")
	first.Finish(Outcome{Kind: Complete, PromptTokens: 10_000})
	assert.Equal(t, waiting.poll().grant.Target().Name, preferred)

	other := n.submitRequest(&r)
	c.advance(3 * time.Second)
	assert.Assert(t, other.poll().grant != nil, "the request waited longer than the prefill time saved")
	assert.Assert(t, other.grant.Target().Name != preferred)
}

// All entries route a prefix that is cached nowhere to the same target.
func TestEntriesAgreeOnColdPrefixes(t *testing.T) {
	c := newCluster(t, 2, targetWithSlots("t0", 20), targetWithSlots("t1", 20), targetWithSlots("t2", 20))
	c.advance(time.Second)
	for conversation := range uint64(5) {
		r := Request{Pool: "pool", PromptTokens: 10_000, OutputTokens: 1, PrefixHashes: []uint64{conversation * 1000}}
		a := admit(t, c.nodes[0], r)
		b := admit(t, c.nodes[1], r)
		assert.Equal(t, a.Target().Name, b.Target().Name)
	}
}
