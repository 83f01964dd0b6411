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

// slowTable takes a while for each transaction, and counts them.
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

// TestClaimsShareTransactions measures transactions at rising load, in virtual
// time.
func TestClaimsShareTransactions(t *testing.T) {
	const delay = 10 * time.Millisecond
	for _, rate := range []int{10, 50, 100, 200, 400, 800} {
		t.Run(strconv.Itoa(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{TableService: platform.NewMemory(), delay: delay}
				b := newBatcher(table, newWorld(t, 1).clock)
				ctx, cancel := context.WithCancel(t.Context())
				var loop, callers conc.WaitGroup
				loop.Go(func() { b.run(ctx) })
				var slowest atomic.Int64
				for i := range rate {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
						begun := time.Now()
						key := claimKey(Key{Key: strconv.Itoa(i)})
						assert.NilError(t, b.commit(ctx, platform.Write{Key: key}))
						if took := int64(time.Since(begun)); took > slowest.Load() {
							slowest.Store(took)
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

// TestMessageSizes bounds what the design note counts with.
func TestMessageSizes(t *testing.T) {
	member := membership.Member{
		Name: "entry-017", PeerAddress: "10.20.30.40:7000", CallerAddress: "10.20.30.40:8000",
		FailureDomain: "santiago-1", Incarnation: 1800000000000, StartIncarnation: 1800000000000,
	}
	w := witness{member.Name, member.PeerAddress, member.ProcessID()}
	lease := leaseRow{Attempt: 1000, Witnesses: []witness{w, w}}
	shard := shardRow{Lease: identity(member) + "/1", Holder: member, Origin: Acquired{Previous: member}}
	record := Record{
		Key: Key{Account: "gastoclaro-7", Key: "5f0c9c39-6f3c-4c5a-9d0e-0a1b2c3d4e5f"},
		Dispatched: Dispatched{
			Instance: member.Name, Target: member.PeerAddress, RequestID: Key{}.ID(),
		},
	}
	asJSON := func(v any) int {
		raw, err := json.Marshal(v)
		assert.NilError(t, err)
		return len(raw)
	}
	write := func(v any) int { return asJSON(platform.Write{Key: leaseKey(identity(member)), Value: encodeRow(v)}) }
	record.Dispatched.Handle = strings.Repeat("h", 160)
	sizes := map[string][2]int{
		"lease write":   {write(&lease), 400},
		"shard write":   {write(&shard), 700},
		"record":        {asJSON(record), 500},
		"vouch":         {asJSON(leaseParams{Lease: shard.Lease, Version: 1000, Process: member.ProcessID()}), 100},
		"register call": {asJSON(registerParams{Shards: []Shard{1, 500, 1000}}), 40},
	}
	for name, size := range sizes {
		t.Logf("%s: %d bytes", name, size[0])
		assert.Assert(t, size[0] <= size[1], "%s has %d bytes", name, size[0])
	}
}
