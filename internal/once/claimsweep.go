package once

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// claimSweepInterval is the time between scans; the whole deployment makes
	// one scan in each interval.
	claimSweepInterval = time.Second
	// claimSweepPartitions is the number of partitions in which the claims are
	// scanned, by the first four hexadecimal digits of the row ID.
	claimSweepPartitions = 1 << 16
	// claimSweepLimit bounds the rows read by one scan.
	claimSweepLimit = 128
)

// claimSweeper deletes expired claims. All instances iterate over the
// partitions by the wall clock, and the owner of a partition by rendezvous
// hashing scans it. If two instances disagree for a while, a partition is
// scanned twice, which has no further effect.
type claimSweeper struct {
	options ClaimOptions
}

func newClaimSweeper(options ClaimOptions) *claimSweeper { return &claimSweeper{options: options} }

func (s *claimSweeper) run(ctx context.Context) {
	ticker := s.options.Clock.NewTicker(claimSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.Chan():
			s.sweepDue(ctx, now)
		}
	}
}

// sweepDue scans the partition that is due if this instance owns it.
func (s *claimSweeper) sweepDue(ctx context.Context, now time.Time) {
	prefix := fmt.Sprintf("%04x", now.Unix()%claimSweepPartitions)
	view := s.options.Viewer.View()
	if membership.Owner(view, claimTable+"/"+prefix).Name != view.Self.Name {
		return
	}
	s.sweepPartition(ctx, prefix, now)
}

// sweepPartition deletes the expired rows of a partition and the stored answers
// that they refer to.
func (s *claimSweeper) sweepPartition(ctx context.Context, prefix string, now time.Time) {
	rows, err := s.options.Platform.Scan(ctx, claimTable, prefix, claimSweepLimit)
	if err != nil {
		return
	}
	var writes []platform.Write
	for _, row := range rows {
		found, err := decodeClaimRow(row)
		if err != nil || !found.expired(now, s.options.Retention) {
			continue
		}
		if found.ObjectName != "" && s.options.Platform.DeleteObject(ctx, found.ObjectName) != nil {
			continue
		}
		writes = append(writes, platform.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
	}
	if len(writes) > 0 {
		// After a failure the rows are deleted in the next pass.
		_ = s.options.Platform.Commit(ctx, writes)
	}
}
