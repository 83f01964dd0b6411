package once

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

func TestJanitorDeletesExpiredClaims(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.nodes[0]
		granted := n.ask(testKey, testHash, time.Second)
		assert.NilError(t, granted.result.Claim.Dispatch())
		large := strings.Repeat("x", 2*DefaultMaxInlineBytes)
		assert.NilError(t, granted.result.Claim.Complete(t.Context(), storedAnswer(large)))
		object := "answers/" + granted.result.Claim.row.ClaimID
		j, prefix := newClaimSweeper(n.claims.options), testKey.ID()[:4]

		j.sweepPartition(t.Context(), prefix, time.Now().Add(DefaultClaimRetention-time.Minute))
		_, err := w.table.Get(t.Context(), claimKey(testKey))
		assert.NilError(t, err)

		j.sweepPartition(t.Context(), prefix, time.Now().Add(DefaultClaimRetention+time.Minute))
		_, err = w.table.Get(t.Context(), claimKey(testKey))
		assert.ErrorIs(t, err, platform.ErrNotFound)
		_, err = w.table.GetObject(t.Context(), object)
		assert.ErrorIs(t, err, platform.ErrNotFound)
	})
}

func TestOneInstanceCleansEachPart(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		now := time.Now()
		// A table of their own, since the nodes read theirs meanwhile.
		table := platform.NewMemory()
		for _, n := range w.nodes {
			options := n.claims.options
			options.Platform = table
			newClaimSweeper(options).sweepDue(t.Context(), now)
		}
		_, reads := table.Counts()
		assert.Equal(t, reads, 1)
	})
}

func TestEndedLeasesAreSwept(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		put := func(id string, ended time.Time) {
			row := leaseRow{EndedMillis: ended.UnixMilli()}
			write := platform.Write{Key: leaseKey(id), Value: encodeRow(&row)}
			assert.NilError(t, w.table.Commit(t.Context(), []platform.Write{write}))
		}
		put("old", time.Now().Add(-2*leaseSweepInterval))
		put("new", time.Now())
		for _, n := range w.nodes {
			n.stop()
			n.shards.lastSweep = time.Time{}
			assert.NilError(t, n.shards.sweepLeases(t.Context()))
		}
		_, err := w.table.Get(t.Context(), leaseKey("old"))
		assert.ErrorIs(t, err, platform.ErrNotFound)
		_, err = w.table.Get(t.Context(), leaseKey("new"))
		assert.NilError(t, err)
		rows, err := w.table.Scan(t.Context(), leaseTable, "", 100)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), len(w.nodes)+1)
	})
}
