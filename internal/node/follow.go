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
	// targetPeriod is the time between reads of the targets; a leaving target
	// must be known well within two seconds.
	targetPeriod = 400 * time.Millisecond
	// targetStagger is how much longer each further instance waits for a read
	// of another: the time in which the news of a read arrives.
	targetStagger = 120 * time.Millisecond
	// maxRank bounds the wait, so that any instance that hears of no reads
	// knows of leaving targets in time.
	maxRank = 4
	// memberPeriod is the time between announcements of the own address.
	memberPeriod = 20 * time.Second
)

// retry spaces out calls to the control plane after failures.
var retry = backoff.Policy{Base: 50 * time.Millisecond, Max: 600 * time.Millisecond}

// dependency logs when something that the instance needs is lost or regained.
type dependency struct {
	name   string
	logger *zap.Logger
	lost   bool
}

func (d *dependency) report(err error) {
	switch {
	case err != nil && !d.lost:
		d.logger.Warn("dependency lost", zap.String("dependency", d.name), eventlog.Cause(err))
	case err == nil && d.lost:
		d.logger.Info("dependency regained", zap.String("dependency", d.name))
	}
	d.lost = err != nil
}

const (
	// watchers is the number of instances that watch the operator's
	// declarations for all.
	watchers = 2
	// watchFresh is how old the last answer to another's watch may be, for it
	// to be relied on: a little more than the time that a quiet watch takes,
	// and with watchCheck well below the time in which a configuration must be
	// in force.
	watchFresh = 1100 * time.Millisecond
	// watchFreshGathered is the same for an instance that hears of watches by way
	// of one that gathers, two reports later.
	watchFreshGathered = 1500 * time.Millisecond
	// watchCheck is the time between looks whether others still watch.
	watchCheck = 100 * time.Millisecond
)

// followDeclared keeps the configuration up to date until the context ends:
// the first instances in the order of addresses watch, the others read when they
// hear of a newer version.
func (n *Node) followDeclared(ctx context.Context) {
	wait := backoff.New(retry, n.random())
	state := dependency{name: "operator's declarations", logger: n.logger}
	var position uint64
	for ctx.Err() == nil {
		if position > 0 && n.othersWatch() {
			if !n.newerElsewhere() {
				n.awaitNews(ctx)
				continue
			}
			position = 0
		}
		var watched Watched
		var err error
		if position == 0 {
			watched, err = n.control.Declared(ctx)
		} else {
			watched, err = n.control.Watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		state.report(err)
		if err != nil {
			n.ownWatch.Store(0)
			position = 0
			_ = backoff.Sleep(ctx, n.clock, wait.Next())
			continue
		}
		wait.Reset()
		n.ownWatch.Store(n.clock.Since(n.started).Nanoseconds())
		position = watched.Position
		n.takeOrders(watched)
		if watched.Configuration != nil {
			n.adopt(watched.Configuration, "control plane")
		}
	}
}

// othersWatch reports whether others watch for this instance too. Those for
// whom others gather never are among the first.
func (n *Node) othersWatch() bool {
	t := n.peers.topology()
	return n.rank() >= watchers && n.peers.watched(t.gather && !t.gathers)
}

// rank returns how many live instances come before this one; one for whom
// others gather knows only that they do.
func (n *Node) rank() int {
	if t := n.peers.topology(); t.gather && !t.gathers {
		return maxRank
	}
	return n.peers.rank()
}

// newerElsewhere reports whether another instance has a newer configuration.
func (n *Node) newerElsewhere() bool {
	live := n.peers.live()
	return len(live) > 0 && live[0].config > n.holder.Version()
}

// awaitNews waits until another instance may have a newer configuration.
func (n *Node) awaitNews(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.newerDeclared:
	case <-n.clock.After(watchCheck):
	}
}

// adopt puts a configuration in force if it is newer.
func (n *Node) adopt(c *catalog.Configuration, source string) {
	before := n.holder.Version()
	if !n.holder.Adopt(c) {
		return
	}
	n.logger.Info("configuration in force", zap.Uint64("config", c.Version), zap.Uint64("before", before),
		zap.String("source", source), zap.Int("routes", len(c.Routes)))
}

// followTargets keeps the targets up to date until the context ends. One
// instance's read serves all that hear of it: an instance reads only when no
// read is known that is recent enough, those earlier in the order of
// addresses first.
func (n *Node) followTargets(ctx context.Context) {
	wait := backoff.New(retry, n.random())
	state := dependency{name: "list of targets", logger: n.logger}
	for ctx.Err() == nil {
		if pause := n.nextTargetRead(); pause > 0 {
			_ = backoff.Sleep(ctx, n.clock, pause)
			continue
		}
		targets, position, err := n.control.Targets(ctx)
		if ctx.Err() != nil {
			return
		}
		state.report(err)
		if err != nil {
			_ = backoff.Sleep(ctx, n.clock, wait.Next())
			continue
		}
		wait.Reset()
		n.applyTargets(targets, position)
	}
}

// nextTargetRead returns the time until this instance should read the targets.
func (n *Node) nextTargetRead() time.Duration {
	n.targetsMu.Lock()
	readAt := n.targets.readAt
	n.targetsMu.Unlock()
	if readAt.IsZero() {
		return 0
	}
	rank := min(n.rank(), maxRank)
	return targetPeriod + time.Duration(rank)*targetStagger - n.clock.Since(readAt)
}

// applyTargets takes a read of the targets.
func (n *Node) applyTargets(targets []*catalog.Target, position uint64) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	before := n.targets.present
	if !n.targets.apply(targets, position, n.clock.Now()) {
		return
	}
	for key, target := range before {
		if n.targets.present[key] == nil {
			n.pool.CloseIdle(target.Address)
			n.logger.Info("target gone", zap.String("target", key.ID), zap.String("service", target.Service))
		}
	}
	for key, target := range n.targets.present {
		if old := before[key]; old == nil || old.Draining != target.Draining {
			n.logger.Info("target seen", zap.String("target", key.ID), zap.String("service", target.Service),
				zap.String("address", target.Address), zap.Bool("draining", target.Draining),
				zap.String("version", target.Version), zap.Uint64("position", position))
		}
	}
	services := make(map[string]string, len(n.targets.present))
	for _, target := range n.targets.present {
		services[target.Address] = target.Service
	}
	n.serviceAt.Store(&services)
	n.placement.SetTargets(n.targets.list())
	n.knowsTargets.Store(true)
}

// followMembers announces this instance and learns of the others.
func (n *Node) followMembers(ctx context.Context) {
	wait := backoff.New(retry, n.random())
	state := dependency{name: "list of instances", logger: n.logger}
	for ctx.Err() == nil {
		members, err := n.control.Members(ctx)
		if err == nil {
			n.peers.introduce(members)
			n.shareBudgets()
			err = n.control.Announce(ctx, Member{Name: n.settings.Name, Address: n.settings.Peers})
		}
		if ctx.Err() != nil {
			return
		}
		state.report(err)
		pause := memberPeriod
		if err != nil {
			pause = wait.Next()
		} else {
			wait.Reset()
		}
		_ = backoff.Sleep(ctx, n.clock, pause)
	}
}
