package directory

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Times of reading the list.
const (
	readInterval = 2 * time.Second
	readTimeout  = 2 * time.Second
	// readPerEntry, times the entries of the list, is the least interval: the
	// list can only be read whole, and at some 150 bytes an entry this keeps
	// an instance's reads to 1 KB/s. With many entries there are many
	// instances too, and the first that sees a leaving target tells all.
	readPerEntry = 150 * time.Millisecond
	// downFactor multiplies the interval while the list cannot be read.
	downFactor = 2
)

// wait returns the time to the next read, jittered by half.
func (d *Directory) wait(up bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean := max(readInterval, time.Duration(len(d.listed))*readPerEntry)
	if !up {
		mean *= downFactor
	}
	return mean/2 + time.Duration(d.rand.Int64N(int64(mean)))
}

// read takes the list; while it cannot be read the last one stands.
func (d *Directory) read(ctx context.Context) error {
	if d.list == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := d.list.Instances(ctx)
	if err != nil {
		return err
	}
	for _, address := range d.take(list) {
		d.MarkLeaving(address)
	}
	d.Refresh()
	return nil
}

// take stores the list and returns the addresses that it shows as leaving and
// that no rumour has named yet.
func (d *Directory) take(list []platform.ListedInstance) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	marks := d.marks()
	listed := make(map[string]platform.ListedInstance)
	var leaving []string
	for _, l := range list {
		if l.Role != platform.RoleTarget {
			continue
		}
		// At an address that is listed twice the one that stays is meant: the
		// list lags behind a replacement.
		if other, ok := listed[l.Address]; ok && !other.Leaving {
			continue
		}
		listed[l.Address] = l
	}
	for address, l := range listed {
		if l.Leaving && !marks[address].covers("", l.Name) {
			leaving = append(leaving, address)
		}
	}
	if d.readAt.IsZero() {
		d.logger.Info("instance list read", zap.Int("targets", len(listed)))
	}
	d.listed, d.readAt = listed, d.clock.Now()
	return leaving
}

// ListAge returns how long ago the list was read; ok is false if it never was.
func (d *Directory) ListAge() (age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readAt.IsZero() {
		return 0, false
	}
	return d.clock.Since(d.readAt), true
}
