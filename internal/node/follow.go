package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
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
	// partialTargetsDelay is how long after its start an instance waits for a whole list
	// of targets, its own or another instance's, before it uses a part.
	partialTargetsDelay = time.Second
	// maxRank bounds the additional wait, so that an instance that receives no
	// gossip about reads still learns of draining targets in time.
	maxRank = 4
)

// followDeclarations keeps what is known of the operator's declarations up to date until
// the context ends. A few instances watch them (watchers.go); the others receive newer
// configurations from these, and watch only while that fails.
func (n *Node) followDeclarations(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := n.newDependency("operator's declarations")
	lastReason := ""
	for ctx.Err() == nil {
		position := n.declaredPosition()
		reason := n.watchReason()
		if reason != lastReason {
			n.logger.Info("watch of the declarations", zap.String("before", lastReason), zap.String("now", reason),
				zap.Strings("watchers", n.watchers()))
			lastReason = reason
		}
		if !position.IsZero() && reason == "" {
			_ = backoff.Sleep(ctx, n.clock, watchCheckInterval)
			continue
		}
		startedAt := n.clock.Now()
		declarations, err := n.readDeclarations(ctx, position)
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		n.logDeclarationsRead(&declarations, position, startedAt, err)
		if err != nil {
			n.lastWatchNanos.Store(0)
			if errors.Is(err, ErrHistoryExpired) {
				n.setDeclaredPosition(Position{})
			}
			_ = backoff.Sleep(ctx, n.clock, delays.next())
			continue
		}
		delays.reset()
		n.applyDeclarations(declarations, position, startedAt)
	}
}

// readDeclarations reads the declarations, or waits for changes after a position.
func (n *Node) readDeclarations(ctx context.Context, position Position) (Declarations, error) {
	if position.IsZero() {
		return n.controlPlane.ReadDeclarations(ctx)
	}
	startedAt := n.clock.Now()
	overdue := n.clock.AfterFunc(maxWatchAge, func() {
		n.logger.Warn("response to the watch of the declarations takes long", zap.Duration("waiting_for", n.clock.Since(startedAt)),
			zap.Duration("arriving_for", n.arrivingFor()), zap.Uint64("in_force", n.configuration.Version()))
	})
	defer overdue.Stop()
	defer n.arrivingNanos.Store(0)
	return n.controlPlane.Watch(ctx, position, n.recordProgress)
}

// recordProgress records that a part of the response to the watch has arrived.
func (n *Node) recordProgress() {
	n.arrivingNanos.CompareAndSwap(0, n.clock.Since(n.startedAt).Nanoseconds())
	n.recordWatch()
}

// arrivingFor returns for how long the response to the current watch has been arriving; 0 if
// none is.
func (n *Node) arrivingFor() time.Duration {
	nanos := n.arrivingNanos.Load()
	if nanos == 0 {
		return 0
	}
	return max(1, n.clock.Since(n.startedAt)-time.Duration(nanos))
}

// applyDeclarations applies the response to a read or a watch from a position that began at
// startedAt.
func (n *Node) applyDeclarations(declarations Declarations, from Position, startedAt time.Time) {
	n.observeEra(declarations.Position.Era)
	if !from.IsZero() && from.Era != declarations.Position.Era {
		n.setDeclaredPosition(Position{})
		return
	}
	n.applyEvacuations(&declarations, from, startedAt)
	n.applyRolloutDeclarations(declarations)
	err := declarations.ConfigurationError
	if err == nil && declarations.Configuration != nil {
		if err = n.adoptDeclaration(declarations.Configuration, sourceStore); err == nil {
			n.adoptTraits(&serviceTraits{declarations.Configuration.Version, declarations.Configuration.Traits}, sourceStore)
		}
	}
	n.setDeclaredPosition(declarations.Position)
	if err != nil {
		// Others may be able to use it.
		n.lastWatchNanos.Store(0)
		n.logInvalidConfiguration(sourceStore, err)
		return
	}
	n.recordWatch()
}

// recordWatch records that the control plane responds to the watch of this instance.
func (n *Node) recordWatch() { n.lastWatchNanos.Store(n.clock.Since(n.startedAt).Nanoseconds()) }

// logDeclarationsRead logs a read that failed or returned a configuration.
func (n *Node) logDeclarationsRead(d *Declarations, after Position, startedAt time.Time, err error) {
	fields := []zap.Field{
		zap.Bool("whole", after.IsZero()), zap.Duration("took", n.clock.Since(startedAt)), zap.Uint64("in_force", n.configuration.Version()),
	}
	switch {
	case err != nil:
		n.logger.Warn("declarations not read", append(fields, eventlog.ErrorField(err))...)
	case d.Configuration != nil:
		n.logger.Info("configuration read", append(fields, zap.Uint64("config", d.Configuration.Version), zap.Int("bytes", d.Configuration.Bytes))...)
	}
}

// peerHasNewerConfiguration reports whether a live instance has a newer
// configuration.
func (n *Node) peerHasNewerConfiguration() bool {
	return n.peers.newestConfiguration() > n.configuration.Version()
}

// followTargets keeps the list of targets up to date until the context ends. A
// read by one instance serves all that learn of it by gossip: an instance reads
// only if no recent read is known, and instances earlier in address order read
// first.
func (n *Node) followTargets(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := n.newDependency("list of targets")
	for ctx.Err() == nil {
		if delay := n.untilNextTargetRead(); delay > 0 {
			_ = backoff.Sleep(ctx, n.clock, delay)
			continue
		}
		startedAt := n.clock.Now()
		targets, position, err := n.controlPlane.Targets(ctx)
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		if err != nil {
			n.applyPartOfTargets(targets)
			_ = backoff.Sleep(ctx, n.clock, delays.next())
			continue
		}
		delays.reset()
		n.applyTargets(targets, position, n.clock.Since(startedAt))
	}
}

// untilNextTargetRead returns the time until this instance should read the
// targets.
func (n *Node) untilNextTargetRead() time.Duration {
	readAt, graceEndsIn, keeps := n.lastTargetRead()
	if readAt.IsZero() {
		return 0
	}
	rank := min(n.rank(), maxRank)
	delay := targetReadInterval + time.Duration(rank)*targetReadStagger - n.clock.Since(readAt)
	if keeps {
		delay = min(delay, graceEndsIn)
	}
	return delay
}

// lastTargetRead returns when the targets were last read and, if missing entries are kept, the
// time until their grace ends.
func (n *Node) lastTargetRead() (readAt time.Time, graceEndsIn time.Duration, keeps bool) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	graceEndsIn, keeps = n.targets.graceEndsIn(n.clock.Now())
	return n.targets.readAt, graceEndsIn, keeps
}

// applyTargets applies a read of the targets at the store's position, which took some time.
func (n *Node) applyTargets(targets []*catalog.Target, position Position, took time.Duration) {
	n.observeEra(position.Era)
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	now := n.clock.Now()
	if n.targets.apply(targets, position, now, took) {
		n.targetsDue = true
	}
	if n.cold.observe(n.targets.present, n.traits.current(), now) || n.targetsDue {
		n.useTargets()
	}
	n.logHeldEntries()
}

// applyPartOfTargets uses the targets that a failed read returned while no list is known.
func (n *Node) applyPartOfTargets(targets []*catalog.Target) {
	if n.clock.Since(n.startedAt) < partialTargetsDelay {
		return
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if len(targets) == 0 || !n.targets.readAt.IsZero() {
		return
	}
	now, isFirst := n.clock.Now(), !n.targets.isPartial()
	if n.targets.applyPart(targets, now) {
		n.targetsDue = true
	}
	if n.cold.observePart(n.targets.present, n.traits.current(), now) || n.targetsDue {
		n.useTargets()
	}
	if isFirst {
		n.logger.Warn("part of the list of targets in use, since no read of the whole has succeeded", zap.Int("targets", len(n.targets.present)))
	}
}

// lacksTargets reports whether this instance has no list of targets, or only a part.
func (n *Node) lacksTargets() bool {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	return !n.targetsKnown.Load() || n.targets.isPartial()
}

// logHeldEntries logs the entries that are held since the last call. The caller
// holds targetsMu.
func (n *Node) logHeldEntries() {
	for _, target := range n.targets.takeNewlyHeld() {
		n.logger.Warn("entry of the store's copy is not relied on", zap.String("target", target.Key().String()),
			zap.String("service", target.Service), zap.Int64("sequence", target.SequenceNumber))
	}
}

// useTargets uses the targets that are present now. The caller holds targetsMu.
func (n *Node) useTargets() {
	n.targetsDue = true
	previous, position := n.targetsInUse, n.targets.position
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
	byAddress := make(map[string]*catalog.Target, len(n.targets.present))
	usable := make([]*catalog.Target, 0, len(n.targets.present))
	evacuated, traits, now := n.evacuatedDomains(), n.traits.current(), n.clock.Now()
	for _, target := range n.targets.list() {
		// Instances of earlier builds pass on entries that this one does not accept.
		if err := target.Validate(); err != nil {
			n.logger.Warn("target not used", zap.String("target", target.ID), zap.String("service", target.Service), eventlog.ErrorField(err))
			continue
		}
		byAddress[target.Address] = target
		usable = append(usable, n.placedTarget(target, evacuated, traits, now))
	}
	n.targetByAddress.Store(&byAddress)
	n.placement.SetTargets(usable)
	n.targetsKnown.Store(true)
	n.targetsInUse, n.targetsDue = n.targets.present, false
}
