package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// targetReadInterval is the time between reads of the targets; a leaving target
	// must be known well within two seconds.
	targetReadInterval = 400 * time.Millisecond
	// targetReadStagger is how much longer each further instance waits for a read
	// of another: the time in which the news of a read arrives.
	targetReadStagger = 120 * time.Millisecond
	// maxRank bounds the wait, so that any instance that hears of no reads
	// knows of leaving targets in time.
	maxRank = 4
	// announceInterval is the time between announcements of the own address.
	announceInterval = 20 * time.Second
)

// controlPlaneBackoff spaces out calls to the control plane after failures.
var controlPlaneBackoff = backoff.Policy{Base: 50 * time.Millisecond, Max: 600 * time.Millisecond}

// dependencyState logs when something that the instance needs is lost or regained.
type dependencyState struct {
	name   string
	logger *zap.Logger
	lost   bool
}

func (d *dependencyState) record(err error) {
	switch {
	case err != nil && !d.lost:
		d.logger.Warn("dependency lost", zap.String("dependency", d.name), eventlog.Cause(err))
	case err == nil && d.lost:
		d.logger.Info("dependency regained", zap.String("dependency", d.name))
	}
	d.lost = err != nil
}

const (
	// watcherCount is the number of instances that watch the operator's
	// declarations for all.
	watcherCount = 2
	// maxWatchAge is how old the last answer to another's watch may be, for it
	// to be relied on: a little more than the time that a quiet watch takes,
	// and with watchCheck well below the time in which a configuration must be
	// in force.
	maxWatchAge = 1100 * time.Millisecond
	// maxWatchAgeAggregated is the same for an instance that hears of watches by way
	// of one that gathers, two reports later.
	maxWatchAgeAggregated = 1500 * time.Millisecond
	// watchCheckInterval is the time between looks whether others still watch.
	watchCheckInterval = 100 * time.Millisecond
)

// followDeclarations keeps the configuration up to date until the context ends:
// the first instances in the order of addresses watch, the others read when they
// hear of a newer version.
func (n *Node) followDeclarations(ctx context.Context) {
	backoffs := backoff.New(controlPlaneBackoff, n.newRandom())
	store := dependencyState{name: "operator's declarations", logger: n.logger}
	var position uint64
	for ctx.Err() == nil {
		if position > 0 && n.watchedByOthers() {
			if !n.peerHasNewerConfiguration() {
				n.awaitNewerConfiguration(ctx)
				continue
			}
			position = 0
		}
		var declarations Declarations
		var err error
		if position == 0 {
			declarations, err = n.control.ReadDeclarations(ctx)
		} else {
			declarations, err = n.control.Watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		store.record(err)
		if err != nil {
			n.lastWatchNanos.Store(0)
			position = 0
			_ = backoff.Wait(ctx, n.clock, backoffs.Next())
			continue
		}
		backoffs.Reset()
		n.lastWatchNanos.Store(n.clock.Since(n.startedAt).Nanoseconds())
		position = declarations.Position
		n.applyRolloutDeclarations(declarations)
		if declarations.Configuration != nil {
			n.adopt(declarations.Configuration, "control plane")
		}
	}
}

// watchedByOthers reports whether others watch for this instance too. Those for
// whom others gather never are among the first.
func (n *Node) watchedByOthers() bool {
	t := n.peers.topology()
	return n.rank() >= watcherCount && n.peers.watchedRecently(t.aggregated && !t.isAggregator)
}

// rank returns how many live instances come before this one; one for whom
// others gather knows only that they do.
func (n *Node) rank() int {
	if t := n.peers.topology(); t.aggregated && !t.isAggregator {
		return maxRank
	}
	return n.peers.rank()
}

// peerHasNewerConfiguration reports whether another instance has a newer configuration.
func (n *Node) peerHasNewerConfiguration() bool {
	live := n.peers.live()
	return len(live) > 0 && live[0].configVersion > n.configuration.Version()
}

// awaitNewerConfiguration waits until another instance may have a newer configuration.
func (n *Node) awaitNewerConfiguration(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.newerConfiguration:
	case <-n.clock.After(watchCheckInterval):
	}
}

// adopt puts a configuration in force if it is newer.
func (n *Node) adopt(c *catalog.Configuration, source string) {
	previousVersion := n.configuration.Version()
	if !n.configuration.Adopt(c) {
		return
	}
	n.logger.Info("configuration in force", zap.Uint64("config", c.Version), zap.Uint64("before", previousVersion),
		zap.String("source", source), zap.Int("routes", len(c.Routes)))
}

// followTargets keeps the targets up to date until the context ends. One
// instance's read serves all that hear of it: an instance reads only when no
// read is known that is recent enough, those earlier in the order of
// addresses first.
func (n *Node) followTargets(ctx context.Context) {
	backoffs := backoff.New(controlPlaneBackoff, n.newRandom())
	store := dependencyState{name: "list of targets", logger: n.logger}
	for ctx.Err() == nil {
		if delay := n.untilNextTargetRead(); delay > 0 {
			_ = backoff.Wait(ctx, n.clock, delay)
			continue
		}
		targets, position, err := n.control.Targets(ctx)
		if ctx.Err() != nil {
			return
		}
		store.record(err)
		if err != nil {
			_ = backoff.Wait(ctx, n.clock, backoffs.Next())
			continue
		}
		backoffs.Reset()
		n.applyTargets(targets, position)
	}
}

// untilNextTargetRead returns the time until this instance should read the targets.
func (n *Node) untilNextTargetRead() time.Duration {
	n.targetsMu.Lock()
	readAt := n.targets.readAt
	n.targetsMu.Unlock()
	if readAt.IsZero() {
		return 0
	}
	rank := min(n.rank(), maxRank)
	return targetReadInterval + time.Duration(rank)*targetReadStagger - n.clock.Since(readAt)
}

// applyTargets takes a read of the targets.
func (n *Node) applyTargets(targets []*catalog.Target, position uint64) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	previous := n.targets.present
	if !n.targets.apply(targets, position, n.clock.Now()) {
		return
	}
	for key, target := range previous {
		if n.targets.present[key] == nil {
			n.pool.Forget(target.Address)
			n.logger.Info("target gone", zap.String("target", key.ID), zap.String("service", target.Service))
		}
	}
	for key, target := range n.targets.present {
		if previousTarget := previous[key]; previousTarget == nil || previousTarget.Draining != target.Draining {
			n.logger.Info("target seen", zap.String("target", key.ID), zap.String("service", target.Service),
				zap.String("address", target.Address), zap.Bool("draining", target.Draining),
				zap.String("version", target.Version), zap.Uint64("position", position))
		}
	}
	services := make(map[string]string, len(n.targets.present))
	for _, target := range n.targets.present {
		services[target.Address] = target.Service
	}
	n.serviceByAddress.Store(&services)
	n.placement.SetTargets(n.targets.list())
	n.targetsKnown.Store(true)
}

// followMembers announces this instance and learns of the others.
func (n *Node) followMembers(ctx context.Context) {
	backoffs := backoff.New(controlPlaneBackoff, n.newRandom())
	store := dependencyState{name: "list of instances", logger: n.logger}
	for ctx.Err() == nil {
		members, err := n.control.Members(ctx)
		if err == nil {
			n.peers.addMembers(members)
			n.divideBudgets()
			err = n.control.Announce(ctx, Member{Name: n.settings.Name, Address: n.settings.PeerAddress})
		}
		if ctx.Err() != nil {
			return
		}
		store.record(err)
		delay := announceInterval
		if err != nil {
			delay = backoffs.Next()
		} else {
			backoffs.Reset()
		}
		_ = backoff.Wait(ctx, n.clock, delay)
	}
}
