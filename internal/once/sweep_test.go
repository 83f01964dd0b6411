package once

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

func TestExpiredClaimsAreDeleted(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		n := cluster.nodes[0]
		granted := n.requestClaim(testKey, testHash, time.Second)
		assert.NilError(t, granted.result.Claim.Dispatch())
		large := strings.Repeat("x", 2*DefaultMaxInlineBytes)
		assert.NilError(t, granted.result.Claim.Complete(t.Context(), storedAnswer(large)))
		object := "answers/" + granted.result.Claim.row.ClaimID
		sweeper, prefix := newClaimSweeper(n.claims.options), testKey.ID()[:4]

		sweeper.sweepPartition(t.Context(), prefix, time.Now().Add(DefaultClaimRetention-time.Minute))
		_, err := cluster.table.Get(t.Context(), claimKey(testKey))
		assert.NilError(t, err)

		sweeper.sweepPartition(t.Context(), prefix, time.Now().Add(DefaultClaimRetention+time.Minute))
		_, err = cluster.table.Get(t.Context(), claimKey(testKey))
		assert.ErrorIs(t, err, platform.ErrNotFound)
		_, err = cluster.table.GetObject(t.Context(), object)
		assert.ErrorIs(t, err, platform.ErrNotFound)
	})
}

func TestOneInstanceSweepsEachPartition(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		now := time.Now()
		// A separate table, since the nodes read the shared one at the same
		// time.
		table := platform.NewMemory()
		for _, n := range cluster.nodes {
			options := n.claims.options
			options.Platform = table
			newClaimSweeper(options).sweepDue(t.Context(), now)
		}
		_, reads := table.Counts()
		assert.Equal(t, reads, 1)
	})
}

func TestEndedLeasesAreSwept(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		putLease := func(id string, ended time.Time) {
			row := leaseRow{EndedMillis: ended.UnixMilli()}
			write := platform.Write{Key: leaseKey(id), Value: encodeRow(&row)}
			assert.NilError(t, cluster.table.Commit(t.Context(), []platform.Write{write}))
		}
		putLease("old", time.Now().Add(-2*leaseSweepInterval))
		putLease("new", time.Now())
		for _, n := range cluster.nodes {
			n.stop()
			n.shards.lastSweep = time.Time{}
			assert.NilError(t, n.shards.sweepLeases(t.Context()))
		}
		_, err := cluster.table.Get(t.Context(), leaseKey("old"))
		assert.ErrorIs(t, err, platform.ErrNotFound)
		_, err = cluster.table.Get(t.Context(), leaseKey("new"))
		assert.NilError(t, err)
		rows, err := cluster.table.Scan(t.Context(), leaseTable, "", 100)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), len(cluster.nodes)+1)
	})
}
