package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
)

// Times and rates of reading the table.
const (
	pollInterval = 1500 * time.Millisecond
	// pollsPerSecond bounds the polls of all instances together.
	pollsPerSecond = 200
	// pollSlowdown multiplies the interval while the table cannot be read.
	pollSlowdown = 2
	readTimeout  = 2 * time.Second
)

// runPolls reads the head row now and then until ctx ends.
func (a *Adopter) runPolls(ctx context.Context) {
	up := true
	for {
		err := a.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if up != (err == nil) {
			up = err == nil
			a.logger.Info("configuration row", zap.Bool("readable", up), zap.Error(err))
		}
		least, most := a.pollBounds(up)
		if backoff.Sleep(ctx, a.clock, a.between(least, most)) != nil {
			return
		}
	}
}

// pollBounds returns the shortest and longest wait between polls.
func (a *Adopter) pollBounds(up bool) (least, most time.Duration) {
	members := len(a.members.View().Members)
	// The shortest wait alone keeps all instances within the bound.
	least = max(2*pollInterval/3, time.Duration(members)*time.Second/pollsPerSecond)
	if !up {
		least *= pollSlowdown
	}
	return least, 2 * least
}

// poll reads the head row and what it points to if that is newer.
func (a *Adopter) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := a.clock.Now()
	h, _, err := readHead(ctx, a.table)
	if err != nil {
		return err
	}
	if h.Version > a.Current().Version {
		t, err := readBody(ctx, a.table)
		if err != nil {
			return err
		}
		a.adopt(t, "table")
	}
	a.refresh(h.Version, started, "")
	return nil
}
