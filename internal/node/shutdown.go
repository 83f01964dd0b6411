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
	// relayedCheckInterval is the interval at which relayed connections are counted at
	// the end of a shutdown.
	relayedCheckInterval = 20 * time.Millisecond
	// killMargin is the time kept between the cancellation of the last requests and
	// the forced stop. Their responses are written in it.
	killMargin = 150 * time.Millisecond
)

// Shutdown stops accepting requests and returns when those in progress are
// answered, at the latest killMargin before the forced stop.
func (n *Node) Shutdown() {
	startedAt := n.clock.Now()
	grace := time.Duration(n.shutdownGrace.Load())
	endsAt := startedAt.Add(grace - killMargin)
	accepting := max(0, min(deregistrationDelay, grace-killMargin))
	// Refusals announce the close of their connection.
	n.draining.Store(true)
	n.callerServer.BeginShutdown(startedAt.Add(accepting), endsAt)
	n.logger.Info("instance stopping", append(n.callerServer.ConnectionFields(), zap.Duration("grace", grace))...)
	n.clock.Sleep(accepting)
	ctx, cancel := context.WithTimeout(context.Background(), endsAt.Sub(n.clock.Now()))
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.awaitRelayed(ctx)
	n.cancel()
	n.logger.Info("instance stopped", append(n.callerServer.ConnectionFields(), zap.Duration("took", n.clock.Since(startedAt)), eventlog.ErrorField(err))...)
	_ = n.logger.Sync()
}

// awaitRelayed waits until the exchanges of other instances through this one are over.
// They use it for no further ones since it shuts down.
func (n *Node) awaitRelayed(ctx context.Context) {
	for n.relay.Active() > 0 {
		select {
		case <-ctx.Done():
			n.logger.Warn("relayed connections end with the instance", zap.Int64("connections", n.relay.Active()))
			return
		case <-n.clock.After(relayedCheckInterval):
		}
	}
}

// Kill stops the instance at once, as a crash would. It does not wait for the
// background tasks to end.
func (n *Node) Kill() {
	n.draining.Store(true)
	n.cancel()
	if err := n.callerServer.Kill(); err != nil {
		n.logger.Debug("caller server not closed cleanly", eventlog.ErrorField(err))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.readinessServer.ShutdownWithContext(ctx); err != nil {
		n.logger.Debug("readiness server not closed cleanly", eventlog.ErrorField(err))
	}
	if err := n.bus.Close(); err != nil {
		n.logger.Debug("peer bus not closed cleanly", eventlog.ErrorField(err))
	}
}
