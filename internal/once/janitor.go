package once

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// janitorEvery is the pause between scans, of which the whole deployment
	// makes one at a time.
	janitorEvery = time.Second
	// janitorPrefixes is the number of parts in which the claims are scanned,
	// by the first four digits of the id.
	janitorPrefixes = 1 << 16
	// janitorLimit bounds the rows read by one scan.
	janitorLimit = 128
)

// janitor deletes claims past their time. All instances count the same parts
// by the wall clock, and the owner of a part by rendezvous hashing scans it.
// Should two instances differ for a while, they scan twice, which is harmless.
type janitor struct {
	options ClaimOptions
}

func newJanitor(options ClaimOptions) *janitor { return &janitor{options: options} }

func (j *janitor) run(ctx context.Context) {
	ticker := j.options.Clock.NewTicker(janitorEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.Chan():
			j.tick(ctx, now)
		}
	}
}

// tick scans the part that is due if this instance owns it.
func (j *janitor) tick(ctx context.Context, now time.Time) {
	prefix := fmt.Sprintf("%04x", now.Unix()%janitorPrefixes)
	view := j.options.Viewer.View()
	if membership.Owner(view, claimTable+"/"+prefix).Name != view.Self.Name {
		return
	}
	j.clean(ctx, prefix, now)
}

// clean deletes the expired rows of a part and the answers they point to.
func (j *janitor) clean(ctx context.Context, prefix string, now time.Time) {
	rows, err := j.options.Platform.Scan(ctx, claimTable, prefix, janitorLimit)
	if err != nil {
		return
	}
	var writes []platform.Write
	for _, row := range rows {
		found, err := decodeClaimRow(row)
		if err != nil || !found.expired(now, j.options.Keep) {
			continue
		}
		if found.Object != "" && j.options.Platform.DeleteObject(ctx, found.Object) != nil {
			continue
		}
		writes = append(writes, platform.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
	}
	if len(writes) > 0 {
		// A failure leaves the rows to the next pass.
		_ = j.options.Platform.Commit(ctx, writes)
	}
}
