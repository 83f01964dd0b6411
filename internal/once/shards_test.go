package once

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// holders returns how many nodes hold each shard now.
func (w *world) holders(shard Shard) []string {
	var names []string
	for _, n := range w.nodes {
		if n.shards.Holds(shard) {
			names = append(names, n.member.Name)
		}
	}
	return names
}

// mostHolders returns the largest number of holders of any shard, and how many
// shards have none.
func (w *world) mostHolders() (most, none int) {
	for shard := Shard(0); shard < ShardCount; shard++ {
		count := len(w.holders(shard))
		most = max(most, count)
		if count == 0 {
			none++
		}
	}
	return most, none
}

// watchHolders lets time pass and fails when a shard has two holders.
func (w *world) watchHolders(t *testing.T, d time.Duration) (none int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var most int
		most, none = w.mostHolders()
		assert.Assert(t, most <= 1, "a shard has %d holders", most)
	}
	return none
}

// keyOf returns a key whose shard the node holds.
func (n *node) keyOf(t *testing.T) Key {
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
	inWorld(t, 4, func(t *testing.T, w *world) {
		most, none := w.mostHolders()
		assert.Equal(t, most, 1)
		assert.Equal(t, none, 0)
		key := w.nodes[2].keyOf(t)
		for _, n := range w.nodes {
			keyOwner, ok := n.shards.KeyOwnerOf(key)
			assert.Assert(t, ok)
			assert.Equal(t, keyOwner.Name, "c")
		}
	})
}

func TestRenewalCostsOneWriteForEachInstance(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		before, _ := w.table.Counts()
		time.Sleep(10 * leaseTTL(len(w.nodes)) / 2)
		after, _ := w.table.Counts()
		assert.Assert(t, after-before <= 10*len(w.nodes), "%d writes", after-before)
		assert.Assert(t, after > before)
	})
}

// holderFault is something that happens to a holder of shards.
type holderFault struct {
	name string
	// begin brings it about at the first node.
	begin func(*world)
	// taken tells whether the others must have taken its shards in the end.
	taken bool
	// heal ends it; nil if it does not end.
	heal func(*world)
}

func holderFaults() []holderFault {
	return []holderFault{
		{name: "dies", begin: func(w *world) { w.die(w.nodes[0]) }, taken: true},
		{
			name:  "paused past its lease",
			begin: func(w *world) { w.nodes[0].stop(); w.see(func(n *node) bool { return n != w.nodes[0] }) },
			heal:  func(w *world) { w.nodes[0].start() }, taken: true,
		},
		{
			name:  "cut off from its peers only",
			begin: func(w *world) { w.isolate(w.nodes[0]); w.see(func(n *node) bool { return n != w.nodes[0] }) },
			heal:  func(w *world) { w.rejoin(w.nodes[0]) },
		},
		{
			name: "alone cut off from the table service, and thought dead",
			begin: func(w *world) {
				w.nodes[0].noTable.Store(true)
				w.see(func(n *node) bool { return n != w.nodes[0] })
			},
			heal: func(w *world) { w.nodes[0].noTable.Store(false) }, taken: true,
		},
		{
			name:  "alone cut off from the table service",
			begin: func(w *world) { w.nodes[0].noTable.Store(true) },
			heal:  func(w *world) { w.nodes[0].noTable.Store(false) },
		},
		{
			name:  "table service down for all",
			begin: func(w *world) { w.setFault(down) },
			heal:  func(w *world) { w.setFault(nil) },
		},
		{
			name:  "all answers of commits lost",
			begin: func(w *world) { w.setFault(lostCommits) },
			heal:  func(w *world) { w.setFault(nil) },
		},
		{
			name:  "table service down, then the holder dies",
			begin: func(w *world) { w.setFault(down); time.Sleep(time.Minute); w.die(w.nodes[0]); w.setFault(nil) },
			taken: true,
		},
		{
			name:  "dies while all answers of commits are lost",
			begin: func(w *world) { w.setFault(lostCommits); w.die(w.nodes[0]) },
			taken: true,
		},
	}
}

func lostCommits(operation string) error {
	if operation == "commit" {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

func TestAtMostOneHolderUnderFaults(t *testing.T) {
	for _, f := range holderFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, 4, func(t *testing.T, w *world) {
				key := w.nodes[0].keyOf(t)
				f.begin(w)
				none := w.watchHolders(t, 40*time.Second)
				assert.Equal(t, none, 0, "shards without a holder")
				if f.taken {
					holders := w.holders(key.Shard())
					assert.Assert(t, len(holders) == 1 && holders[0] != "a", "held by %v", holders)
				}
				if f.heal != nil {
					f.heal(w)
					w.see(func(*node) bool { return true })
					none = w.watchHolders(t, 40*time.Second)
					assert.Equal(t, none, 0, "shards without a holder after healing")
					assert.DeepEqual(t, w.holders(key.Shard()), []string{"a"})
				}
			})
		})
	}
}

func TestHolderCutOffFromTableAndPeersStops(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		a := w.nodes[0]
		key := a.keyOf(t)
		w.setFault(down)
		time.Sleep(time.Minute)
		assert.Assert(t, a.shards.Holds(key.Shard()), "the witnesses vouch for it")
		w.isolate(a)
		time.Sleep(ConfirmTTL)
		assert.Assert(t, !a.shards.Holds(key.Shard()))
	})
}

func TestCededLeaseIsNotVouchedFor(t *testing.T) {
	c := newRevocations()
	assert.Assert(t, c.confirms("l", 3))
	c.add("l", 3)
	assert.Assert(t, !c.confirms("l", 3))
	assert.Assert(t, c.confirms("l", 4), "renewed since")
	for i := range maxRevocations {
		c.add(strconv.Itoa(i), 1)
	}
	assert.Assert(t, !c.confirms("other", 1), "memory is full")
}

func TestReleasePassesShardsOn(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		a := w.nodes[0]
		key := a.keyOf(t)
		assert.NilError(t, a.shards.Release(t.Context()))
		assert.Equal(t, a.shards.Count(), 0)
		w.die(a)
		time.Sleep(2 * stepInterval)
		most, none := w.mostHolders()
		assert.Equal(t, most, 1)
		assert.Equal(t, none, 0, "no lease has to be waited out")
		assert.Equal(t, len(w.holders(key.Shard())), 1)
	})
}
