package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
)

// Intervals and limits of polling the table.
const (
	// pollInterval is the mean time between polls in a small deployment.
	pollInterval = 1500 * time.Millisecond
	// maxPollsPerSecond bounds the polls of all instances together.
	maxPollsPerSecond = 200
	// pollOutageFactor multiplies the interval while the table cannot be read.
	pollOutageFactor = 2
	// readTimeout bounds one poll, including the read of the body row.
	readTimeout = 2 * time.Second
)

// runPolls polls the head row at random intervals until ctx ends.
func (r *Replica) runPolls(ctx context.Context) {
	readable := true
	for {
		err := r.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if readable != (err == nil) {
			readable = err == nil
			r.logger.Info("readability of the configuration row changed", zap.Bool("readable", readable), zap.Error(err))
		}
		minWait, maxWait := r.pollBounds(readable)
		if backoff.Sleep(ctx, r.clock, r.randomDuration(minWait, maxWait)) != nil {
			return
		}
	}
}

// pollBounds returns the minimum and maximum wait between polls.
func (r *Replica) pollBounds(readable bool) (minWait, maxWait time.Duration) {
	members := len(r.membership.View().Members)
	// All instances together stay within maxPollsPerSecond even if each waits
	// only for the minimum.
	minWait = max(2*pollInterval/3, time.Duration(members)*time.Second/maxPollsPerSecond)
	if !readable {
		minWait *= pollOutageFactor
	}
	return minWait, 2 * minWait
}

// poll reads the head row, and installs the body row if the head's version is
// newer than the current one. It then advances the freshness stamp to the start
// of the read.
func (r *Replica) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := r.clock.Now()
	h, _, err := readHead(ctx, r.table)
	if err != nil {
		return err
	}
	if h.Version > r.Current().Version {
		t, err := readBody(ctx, r.table)
		if err != nil {
			return err
		}
		r.install(t, "table")
	}
	r.advanceStamp(h.Version, started, "")
	return nil
}
