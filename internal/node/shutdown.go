package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// deregistrationDelay is how long new connections are still accepted after the
	// signal to stop: the balancer asks once a second and needs two misses.
	deregistrationDelay = 2500 * time.Millisecond
	// killMargin is kept between the end of the last request and the end by
	// force.
	killMargin = 150 * time.Millisecond
)

// Shutdown stops taking requests and ends once those under way are answered,
// at the latest a little before the end by force.
func (n *Node) Shutdown() {
	startedAt := n.clock.Now()
	n.draining.Store(true)
	n.logger.Info("instance stopping", zap.Int("connections", n.callerServer.Open()))
	n.clock.Sleep(deregistrationDelay)
	timeout := time.Duration(n.shutdownGrace.Load()) - killMargin - n.clock.Since(startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.cancel()
	n.logger.Info("instance stopped", zap.Duration("took", n.clock.Since(startedAt)), eventlog.Cause(err))
	_ = n.logger.Sync()
}

// Kill ends the instance at once, as a crash would, and waits for its
// goroutines.
func (n *Node) Kill() {
	n.draining.Store(true)
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Debug("callers cut", eventlog.Cause(err))
	}
	if err := n.readinessServer.ShutdownWithContext(ctx); err != nil {
		n.logger.Debug("balancer cut", eventlog.Cause(err))
	}
	if err := n.bus.Close(); err != nil {
		n.logger.Debug("instances cut", eventlog.Cause(err))
	}
}
