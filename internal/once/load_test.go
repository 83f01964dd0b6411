package once

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// slowTable delays each transaction, and counts transactions and rows.
type slowTable struct {
	platform.TableService
	delay   time.Duration
	commits int
	rows    int
}

func (s *slowTable) Commit(ctx context.Context, writes []platform.Write) error {
	time.Sleep(s.delay)
	s.commits++
	s.rows += len(writes)
	return s.TableService.Commit(ctx, writes)
}

// TestClaimsShareTransactions counts transactions at increasing load, in
// virtual time.
func TestClaimsShareTransactions(t *testing.T) {
	const delay = 10 * time.Millisecond
	for _, rate := range []int{10, 50, 100, 200, 400, 800} {
		t.Run(strconv.Itoa(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{TableService: platform.NewMemory(), delay: delay}
				b := newBatcher(table, newTestCluster(t, 1).clock)
				ctx, cancel := context.WithCancel(t.Context())
				var loop, callers conc.WaitGroup
				loop.Go(func() { b.run(ctx) })
				var slowest atomic.Int64
				for i := range rate {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
						start := time.Now()
						key := claimKey(Key{Key: strconv.Itoa(i)})
						assert.NilError(t, b.commit(ctx, platform.Write{Key: key}))
						if latency := int64(time.Since(start)); latency > slowest.Load() {
							slowest.Store(latency)
						}
					})
				}
				callers.Wait()
				cancel()
				loop.Wait()
				t.Logf("%d claims/s: %d transactions/s, slowest %v", rate, table.commits, time.Duration(slowest.Load()))
				assert.Equal(t, table.rows, rate)
				assert.Assert(t, table.commits <= int(time.Second/delay)+1)
				assert.Assert(t, slowest.Load() <= int64(2*delay))
			})
		})
	}
}

// TestMessageSizes checks that messages and rows do not exceed the sizes that
// the capacity calculation assumes.
func TestMessageSizes(t *testing.T) {
	member := membership.Member{
		Name: "entry-017", PeerAddress: "10.20.30.40:7000", CallerAddress: "10.20.30.40:8000",
		FailureDomain: "santiago-1", Incarnation: 1800000000000, StartIncarnation: 1800000000000,
	}
	w := witness{member.Name, member.PeerAddress, member.ProcessID()}
	lease := leaseRow{Attempt: 1000, Witnesses: []witness{w, w}}
	shard := shardRow{LeaseID: identity(member) + "/1", Holder: member, Origin: Acquisition{PreviousHolder: member}}
	record := Record{
		Key: Key{Account: "gastoclaro-7", Key: "5f0c9c39-6f3c-4c5a-9d0e-0a1b2c3d4e5f"},
		Location: Location{
			Instance: member.Name, Target: member.PeerAddress, RequestID: Key{}.ID(),
		},
	}
	jsonSize := func(v any) int {
		raw, err := json.Marshal(v)
		assert.NilError(t, err)
		return len(raw)
	}
	writeSize := func(v any) int { return jsonSize(platform.Write{Key: leaseKey(identity(member)), Value: encodeRow(v)}) }
	record.Location.Handle = strings.Repeat("h", 160)
	sizes := map[string][2]int{
		"lease write":   {writeSize(&lease), 400},
		"shard write":   {writeSize(&shard), 700},
		"record":        {jsonSize(record), 500},
		"vouch":         {jsonSize(leaseParams{LeaseID: shard.LeaseID, Version: 1000, Process: member.ProcessID()}), 100},
		"register call": {jsonSize(fetchRecordsParams{Shards: []Shard{1, 500, 1000}}), 40},
	}
	for name, size := range sizes {
		t.Logf("%s: %d bytes", name, size[0])
		assert.Assert(t, size[0] <= size[1], "%s has %d bytes", name, size[0])
	}
}
