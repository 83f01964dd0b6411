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
	// targetReadInterval is the interval between reads of the targets; a
	// draining target must be known well within two seconds.
	targetReadInterval = 400 * time.Millisecond
	// targetReadStagger is the additional wait per rank of an instance before it
	// reads the targets itself, in which gossip about another instance's read
	// arrives.
	targetReadStagger = 120 * time.Millisecond
	// maxRank bounds the additional wait, so that an instance that receives no
	// gossip about reads still learns of draining targets in time.
	maxRank = 4
	// announceInterval is the interval between announcements of this instance's
	// address.
	announceInterval = 20 * time.Second
)

// dependencyState logs when a dependency becomes unavailable and when it is
// available again.
type dependencyState struct {
	name   string
	logger *zap.Logger
	lost   bool
}

func (d *dependencyState) record(err error) {
	switch {
	case err != nil && !d.lost:
		d.logger.Warn("dependency lost", zap.String("dependency", d.name), eventlog.ErrorField(err))
	case err == nil && d.lost:
		d.logger.Info("dependency regained", zap.String("dependency", d.name))
	}
	d.lost = err != nil
}

const (
	// watcherCount is the number of instances that watch the operator's
	// declarations for all instances.
	watcherCount = 2
	// maxWatchAge is the age up to which the last response to another instance's
	// watch is relied on. It is a little more than a watch without changes takes
	// and, together with watchCheckInterval, well below the time within which a
	// configuration must be in force.
	maxWatchAge = 1100 * time.Millisecond
	// maxWatchAgeAggregated is maxWatchAge for an instance that learns of
	// watches through an aggregator, two gossip rounds later.
	maxWatchAgeAggregated = 1500 * time.Millisecond
	// watchCheckInterval is the interval between checks whether other instances
	// still watch.
	watchCheckInterval = 100 * time.Millisecond
)

// followDeclarations keeps the configuration up to date until the context ends.
// The first instances in address order watch the declarations; the others read
// them when gossip announces a newer version.
func (n *Node) followDeclarations(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := dependencyState{name: "operator's declarations", logger: n.logger}
	var position Position
	for ctx.Err() == nil {
		if !position.IsZero() && n.watchedByOthers() {
			if !n.peerHasNewerConfiguration() {
				n.awaitNewerConfiguration(ctx)
				continue
			}
			position = Position{}
		}
		var declarations Declarations
		var err error
		startedAt := n.clock.Now()
		if position.IsZero() {
			declarations, err = n.controlPlane.ReadDeclarations(ctx)
		} else {
			declarations, err = n.controlPlane.Watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		n.logDeclarationsRead(declarations, position, startedAt, err)
		if err != nil {
			n.lastWatchNanos.Store(0)
			position = Position{}
			_ = backoff.Sleep(ctx, n.clock, delays.next())
			continue
		}
		delays.reset()
		n.lastWatchNanos.Store(n.clock.Since(n.startedAt).Nanoseconds())
		n.observeEra(declarations.Position.Era)
		if !position.IsZero() && position.Era != declarations.Position.Era {
			position = Position{}
			continue
		}
		position = declarations.Position
		n.applyRolloutDeclarations(declarations)
		if declarations.Configuration != nil {
			n.adopt(declarations.Configuration, "control plane")
		}
	}
}

// logDeclarationsRead logs a read that failed or returned a configuration.
func (n *Node) logDeclarationsRead(d Declarations, after Position, startedAt time.Time, err error) {
	fields := []zap.Field{
		zap.Bool("whole", after.IsZero()), zap.Duration("took", n.clock.Since(startedAt)), zap.Uint64("in_force", n.configuration.Version()),
	}
	switch {
	case err != nil:
		n.logger.Warn("declarations not read", append(fields, eventlog.ErrorField(err))...)
	case d.Configuration != nil:
		n.logger.Info("configuration read", append(fields, zap.Uint64("config", d.Configuration.Version), zap.Int("bytes", len(d.Configuration.Source)))...)
	}
}

// watchedByOthers reports whether other instances watch on behalf of this one.
// An instance that is not an aggregator is never among the watchers.
func (n *Node) watchedByOthers() bool {
	t := n.peers.topology()
	return n.rank() >= watcherCount && n.peers.watchedRecently(t.aggregated && !t.isAggregator)
}

// rank returns the number of live instances that precede this one in address
// order. An instance that is not an aggregator does not know the exact number
// and returns maxRank.
func (n *Node) rank() int {
	if t := n.peers.topology(); t.aggregated && !t.isAggregator {
		return maxRank
	}
	return n.peers.rank()
}

// peerHasNewerConfiguration reports whether a live instance has a newer
// configuration.
func (n *Node) peerHasNewerConfiguration() bool {
	live := n.peers.live()
	return len(live) > 0 && live[0].configVersion > n.configuration.Version()
}

// awaitNewerConfiguration waits until another instance may have a newer
// configuration, at most for watchCheckInterval.
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

// followTargets keeps the list of targets up to date until the context ends. A
// read by one instance serves all that learn of it by gossip: an instance reads
// only if no recent read is known, and instances earlier in address order read
// first.
func (n *Node) followTargets(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := dependencyState{name: "list of targets", logger: n.logger}
	for ctx.Err() == nil {
		if delay := n.untilNextTargetRead(); delay > 0 {
			_ = backoff.Sleep(ctx, n.clock, delay)
			continue
		}
		targets, position, err := n.controlPlane.Targets(ctx)
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		if err != nil {
			_ = backoff.Sleep(ctx, n.clock, delays.next())
			continue
		}
		delays.reset()
		n.applyTargets(targets, position)
	}
}

// untilNextTargetRead returns the time until this instance should read the
// targets.
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

// applyTargets applies a read of the targets at the store's position.
func (n *Node) applyTargets(targets []*catalog.Target, position Position) {
	n.observeEra(position.Era)
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	previous := n.targets.present
	if n.targets.apply(targets, position, n.clock.Now()) {
		n.useTargets(previous)
	}
	n.logHeldEntries()
}

// logHeldEntries logs the entries that are held since the last call. The caller
// holds targetsMu.
func (n *Node) logHeldEntries() {
	for _, target := range n.targets.takeNewlyHeld() {
		n.logger.Warn("entry of the store's copy is not relied on", zap.String("target", target.Key().String()),
			zap.String("service", target.Service), zap.Int64("sequence", target.SequenceNumber))
	}
}

// useTargets uses the targets that are present now; previous are those in use
// before. The caller holds targetsMu.
func (n *Node) useTargets(previous map[catalog.TargetKey]*catalog.Target) {
	position := n.targets.position
	for key, target := range previous {
		if n.targets.present[key] == nil {
			n.pool.CloseIdle(target.Address)
			n.logger.Info("target gone", zap.String("target", key.ID), zap.String("service", target.Service))
		}
	}
	for key, target := range n.targets.present {
		if previousTarget := previous[key]; previousTarget == nil || previousTarget.Draining != target.Draining {
			n.logger.Info("target seen", zap.String("target", key.ID), zap.String("service", target.Service),
				zap.String("address", target.Address), zap.Bool("draining", target.Draining),
				zap.String("version", target.Version), zap.Uint64("position", position.Version), zap.Uint64("era", position.Era))
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

// followMembers announces this instance and reads the announcements of the
// others, until the context ends.
func (n *Node) followMembers(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := dependencyState{name: "list of instances", logger: n.logger}
	for ctx.Err() == nil {
		members, verdicts, err := n.controlPlane.Members(ctx)
		if err == nil {
			n.peers.addMembers(members)
			n.divideBudgets()
			for _, v := range verdicts {
				n.quarantine.AddVerdict(v)
			}
			own, _ := n.quarantine.Verdicts()
			err = n.controlPlane.Announce(ctx, Member{Name: n.settings.Name, Address: n.settings.PeerAddress, Verdicts: own})
		}
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		delay := announceInterval
		if err != nil {
			delay = delays.next()
		} else {
			delays.reset()
		}
		select {
		case <-ctx.Done():
		case <-n.announceNow:
		case <-n.clock.After(delay):
		}
	}
}
