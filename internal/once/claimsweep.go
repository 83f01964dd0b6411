package once

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// claimSweepInterval is the pause between scans, of which the whole deployment
	// makes one at a time.
	claimSweepInterval = time.Second
	// claimSweepPartitions is the number of parts in which the claims are scanned,
	// by the first four digits of the id.
	claimSweepPartitions = 1 << 16
	// claimSweepLimit bounds the rows read by one scan.
	claimSweepLimit = 128
)

// claimSweeper deletes claims past their time. All instances count the same parts
// by the wall clock, and the owner of a part by rendezvous hashing scans it.
// Should two instances differ for a while, they scan twice, which is harmless.
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

// sweepDue scans the part that is due if this instance owns it.
func (s *claimSweeper) sweepDue(ctx context.Context, now time.Time) {
	prefix := fmt.Sprintf("%04x", now.Unix()%claimSweepPartitions)
	view := s.options.Viewer.View()
	if membership.Owner(view, claimTable+"/"+prefix).Name != view.Self.Name {
		return
	}
	s.sweepPartition(ctx, prefix, now)
}

// sweepPartition deletes the expired rows of a part and the answers they point to.
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
		writes = append(writes, platform.Write{Key: row.Key, Expect: row.Version, Delete: true})
	}
	if len(writes) > 0 {
		// A failure leaves the rows to the next pass.
		_ = s.options.Platform.Commit(ctx, writes)
	}
}
