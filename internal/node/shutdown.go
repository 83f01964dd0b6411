package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// deregistrationDelay is how long new connections are still accepted after
	// the signal to stop: the load balancer checks readiness once a second and
	// needs two failures.
	deregistrationDelay = 2500 * time.Millisecond
	// killMargin is the time kept between the end of the last request and the
	// forced stop.
	killMargin = 150 * time.Millisecond
)

// Shutdown stops accepting requests and returns when those in progress are
// answered, at the latest killMargin before the forced stop.
func (n *Node) Shutdown() {
	startedAt := n.clock.Now()
	n.draining.Store(true)
	n.logger.Info("instance stopping", zap.Int("connections", n.callerServer.OpenConnections()))
	n.clock.Sleep(deregistrationDelay)
	timeout := time.Duration(n.shutdownGrace.Load()) - killMargin - n.clock.Since(startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.cancel()
	n.logger.Info("instance stopped", zap.Duration("took", n.clock.Since(startedAt)), eventlog.ErrorField(err))
	_ = n.logger.Sync()
}

// Kill stops the instance at once, as a crash would. It does not wait for the
// background tasks to end.
func (n *Node) Kill() {
	n.draining.Store(true)
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Debug("caller server not closed cleanly", eventlog.ErrorField(err))
	}
	if err := n.readinessServer.ShutdownWithContext(ctx); err != nil {
		n.logger.Debug("readiness server not closed cleanly", eventlog.ErrorField(err))
	}
	if err := n.bus.Close(); err != nil {
		n.logger.Debug("peer bus not closed cleanly", eventlog.ErrorField(err))
	}
}
