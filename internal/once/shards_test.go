package once

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// holderNames returns the names of the nodes that hold the shard.
func (c *testCluster) holderNames(shard Shard) []string {
	var names []string
	for _, n := range c.nodes {
		if n.shards.Holds(shard) {
			names = append(names, n.member.Name)
		}
	}
	return names
}

// holderCounts returns the largest number of holders of any shard, and the
// number of shards without one.
func (c *testCluster) holderCounts() (maxHolders, unheld int) {
	for shard := Shard(0); shard < ShardCount; shard++ {
		count := len(c.holderNames(shard))
		maxHolders = max(maxHolders, count)
		if count == 0 {
			unheld++
		}
	}
	return maxHolders, unheld
}

// assertSingleHolder fails if any shard has two holders within d. It returns
// the number of shards without a holder at the end.
func (c *testCluster) assertSingleHolder(t *testing.T, d time.Duration) (unheld int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var maxHolders int
		maxHolders, unheld = c.holderCounts()
		assert.Assert(t, maxHolders <= 1, "a shard has %d holders, want at most 1", maxHolders)
	}
	return unheld
}

// heldKey returns a key whose shard the node holds.
func (n *node) heldKey(t *testing.T) Key {
	t.Helper()
	for i := range 100000 {
		key := Key{Account: "acme", Key: strconv.Itoa(i)}
		if n.shards.Holds(key.Shard()) {
			return key
		}
	}
	t.Fatalf("%s holds no shard", n.member.Name)
	return Key{}
}

func TestEveryShardHasOneHolder(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		maxHolders, unheld := cluster.holderCounts()
		assert.Equal(t, maxHolders, 1)
		assert.Equal(t, unheld, 0)
		key := cluster.nodes[2].heldKey(t)
		for _, n := range cluster.nodes {
			keyOwner, ok := n.shards.KeyOwnerOf(key)
			assert.Assert(t, ok)
			assert.Equal(t, keyOwner.Name, "c")
		}
	})
}

func TestRenewalWritesOneRowPerInstance(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		before, _ := cluster.table.Counts()
		time.Sleep(10 * leaseTTL(len(cluster.nodes)) / 2)
		after, _ := cluster.table.Counts()
		assert.Assert(t, after-before <= 10*len(cluster.nodes), "%d writes in 10 renewal intervals", after-before)
		assert.Assert(t, after > before)
	})
}

// holderFault is a fault of a shard holder.
type holderFault struct {
	name string
	// inject causes the fault at the first node.
	inject func(*testCluster)
	// takenOver is set if the other nodes must have taken over its shards at
	// the end.
	takenOver bool
	// heal ends the fault; nil if the fault is permanent.
	heal func(*testCluster)
}

func holderFaults() []holderFault {
	return []holderFault{
		{name: "crashes", inject: func(cluster *testCluster) { cluster.crashNode(cluster.nodes[0]) }, takenOver: true},
		{
			name: "paused past its lease",
			inject: func(cluster *testCluster) {
				cluster.nodes[0].stop()
				cluster.setViews(func(n *node) bool { return n != cluster.nodes[0] })
			},
			heal: func(cluster *testCluster) { cluster.nodes[0].start() }, takenOver: true,
		},
		{
			name: "isolated from its peers only",
			inject: func(cluster *testCluster) {
				cluster.isolate(cluster.nodes[0])
				cluster.setViews(func(n *node) bool { return n != cluster.nodes[0] })
			},
			heal: func(cluster *testCluster) { cluster.reconnect(cluster.nodes[0]) },
		},
		{
			name: "isolated from the table service and removed from the views",
			inject: func(cluster *testCluster) {
				cluster.nodes[0].tableUnreachable.Store(true)
				cluster.setViews(func(n *node) bool { return n != cluster.nodes[0] })
			},
			heal: func(cluster *testCluster) { cluster.nodes[0].tableUnreachable.Store(false) }, takenOver: true,
		},
		{
			name:   "isolated from the table service",
			inject: func(cluster *testCluster) { cluster.nodes[0].tableUnreachable.Store(true) },
			heal:   func(cluster *testCluster) { cluster.nodes[0].tableUnreachable.Store(false) },
		},
		{
			name:   "table service down for all",
			inject: func(cluster *testCluster) { cluster.setFault(tableDown) },
			heal:   func(cluster *testCluster) { cluster.setFault(nil) },
		},
		{
			name:   "all commit responses lost",
			inject: func(cluster *testCluster) { cluster.setFault(loseCommitResponses) },
			heal:   func(cluster *testCluster) { cluster.setFault(nil) },
		},
		{
			name: "table service down, then the holder crashes",
			inject: func(cluster *testCluster) {
				cluster.setFault(tableDown)
				time.Sleep(time.Minute)
				cluster.crashNode(cluster.nodes[0])
				cluster.setFault(nil)
			},
			takenOver: true,
		},
		{
			name:      "crashes while all commit responses are lost",
			inject:    func(cluster *testCluster) { cluster.setFault(loseCommitResponses); cluster.crashNode(cluster.nodes[0]) },
			takenOver: true,
		},
	}
}

func loseCommitResponses(operation string) error {
	if operation == "commit" {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

func TestAtMostOneHolderUnderFaults(t *testing.T) {
	for _, f := range holderFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
				key := cluster.nodes[0].heldKey(t)
				f.inject(cluster)
				unheld := cluster.assertSingleHolder(t, 40*time.Second)
				assert.Equal(t, unheld, 0, "shards without a holder")
				if f.takenOver {
					holders := cluster.holderNames(key.Shard())
					assert.Assert(t, len(holders) == 1 && holders[0] != "a", "held by %v, want one other node", holders)
				}
				if f.heal != nil {
					f.heal(cluster)
					cluster.setViews(func(*node) bool { return true })
					unheld = cluster.assertSingleHolder(t, 40*time.Second)
					assert.Equal(t, unheld, 0, "shards without a holder after healing")
					assert.DeepEqual(t, cluster.holderNames(key.Shard()), []string{"a"})
				}
			})
		})
	}
}

func TestHolderIsolatedFromTableAndPeersStops(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		a := cluster.nodes[0]
		key := a.heldKey(t)
		cluster.setFault(tableDown)
		time.Sleep(time.Minute)
		assert.Assert(t, a.shards.Holds(key.Shard()), "not held although the witnesses confirm the lease")
		cluster.isolate(a)
		time.Sleep(ConfirmTTL)
		assert.Assert(t, !a.shards.Holds(key.Shard()))
	})
}

func TestRevokedLeaseIsNotConfirmed(t *testing.T) {
	c := newRevocations()
	assert.Assert(t, c.confirms("l", 3))
	c.add("l", 3)
	assert.Assert(t, !c.confirms("l", 3))
	assert.Assert(t, c.confirms("l", 4), "a later renewal must be confirmed")
	for i := range maxRevocations {
		c.add(strconv.Itoa(i), 1)
	}
	assert.Assert(t, !c.confirms("other", 1), "no lease may be confirmed when the limit is reached")
}

func TestReleaseHandsShardsOver(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		a := cluster.nodes[0]
		key := a.heldKey(t)
		assert.NilError(t, a.shards.Release(t.Context()))
		assert.Equal(t, a.shards.Count(), 0)
		cluster.crashNode(a)
		time.Sleep(2 * stepInterval)
		maxHolders, unheld := cluster.holderCounts()
		assert.Equal(t, maxHolders, 1)
		assert.Equal(t, unheld, 0, "shards without a holder after a graceful handover")
		assert.Equal(t, len(cluster.holderNames(key.Shard())), 1)
	})
}
