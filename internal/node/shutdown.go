package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// noticeTime is how long new connections are still accepted after the
	// signal to stop: the balancer asks once a second and needs two misses.
	noticeTime = 2500 * time.Millisecond
	// forceMargin is kept between the end of the last request and the end by
	// force.
	forceMargin = 150 * time.Millisecond
)

// Shutdown stops taking requests and ends once those under way are answered,
// at the latest a little before the end by force.
func (n *Node) Shutdown() {
	began := n.clock.Now()
	n.draining.Store(true)
	n.logger.Info("instance stopping", zap.Int("connections", n.callers.OpenConnections()))
	n.clock.Sleep(noticeTime)
	left := time.Duration(n.grace.Load()) - forceMargin - n.clock.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	n.cancel()
	n.logger.Info("instance stopped", zap.Duration("took", n.clock.Since(began)), eventlog.Cause(err))
	_ = n.logger.Sync()
}

// Kill ends the instance at once, as a crash would, and waits for its
// goroutines.
func (n *Node) Kill() {
	n.draining.Store(true)
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.logger.Debug("callers cut", eventlog.Cause(err))
	}
	if err := n.readiness.ShutdownWithContext(ctx); err != nil {
		n.logger.Debug("balancer cut", eventlog.Cause(err))
	}
	if err := n.bus.Close(); err != nil {
		n.logger.Debug("instances cut", eventlog.Cause(err))
	}
}
