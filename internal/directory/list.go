package directory

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Intervals and limits of reading the list.
const (
	// listReadInterval is the minimum mean time between reads.
	listReadInterval = 2 * time.Second
	listReadTimeout  = 2 * time.Second
	// listReadIntervalPerEntry, times the number of targets in the list, is
	// another minimum. The list can only be read as a whole; at about 150 bytes
	// per entry this limits an instance's reads to 1 KB/s, apart from the
	// entries that are not targets. A deployment with many entries also has
	// many instances, and the first one that reads of a leaving target
	// announces it to the others.
	listReadIntervalPerEntry = 150 * time.Millisecond
	// outageIntervalFactor multiplies the interval while the list cannot be
	// read.
	outageIntervalFactor = 2
)

// nextReadWait returns a random wait until the next read, between half and one
// and a half of the mean.
func (d *Directory) nextReadWait(readable bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean := max(listReadInterval, time.Duration(len(d.listedTargets))*listReadIntervalPerEntry)
	if !readable {
		mean *= outageIntervalFactor
	}
	return mean/2 + time.Duration(d.rand.Int64N(int64(mean)))
}

// readList reads and applies the list. If it cannot be read, the last one read
// remains in use.
func (d *Directory) readList(ctx context.Context) error {
	if d.list == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, err := d.list.Instances(ctx)
	if err != nil {
		return err
	}
	for _, address := range d.applyList(list) {
		d.MarkLeaving(address)
	}
	d.Refresh()
	return nil
}

// applyList stores the targets of the list and returns the addresses of those
// that it shows as leaving and that are not marked yet.
func (d *Directory) applyList(list []platform.ListedInstance) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	marks := d.leavingMarks()
	listed := make(map[string]platform.ListedInstance)
	var leaving []string
	for _, l := range list {
		if l.Role != platform.RoleTarget {
			continue
		}
		// If an address is listed twice, an entry that is not leaving takes
		// precedence, since the list may lag behind a replacement.
		if other, ok := listed[l.Address]; ok && !other.Leaving {
			continue
		}
		listed[l.Address] = l
	}
	for address, l := range listed {
		if l.Leaving && !marks[address].matches("", l.Name) {
			leaving = append(leaving, address)
		}
	}
	if d.listReadAt.IsZero() {
		d.logger.Info("instance list read", zap.Int("targets", len(listed)))
	}
	d.listedTargets, d.listReadAt = listed, d.clock.Now()
	return leaving
}

// ListAge returns the time since the last successful read of the list; ok is
// false if there was none.
func (d *Directory) ListAge() (age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listReadAt.IsZero() {
		return 0, false
	}
	return d.clock.Since(d.listReadAt), true
}
