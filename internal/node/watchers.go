package node

import (
	"cmp"
	"slices"
	"time"
)

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
	// watcherGrace is how long an instance that should watch may be without a response
	// to its watch, while others have one, before another one takes its place for
	// watcherSkipTime.
	watcherGrace = 2 * time.Second
	// watcherSettleTime is how long after its start an instance that knows the
	// declarations does not watch them: until it hears others, each takes itself for a
	// watcher.
	watcherSettleTime = 400 * time.Millisecond
	watcherSkipTime   = 6 * time.Second
)

// watchers returns the addresses of the instances that watch the declarations for all:
// those with the largest capacity, since they read each configuration as a whole. An
// instance that is no aggregator knows only what an aggregator has told it.
func (n *Node) watchers() []string {
	if t := n.peers.topology(); t.aggregated && !t.isAggregator {
		return n.peers.assignedWatchers()
	}
	return n.peers.chooseWatchers(n.selfState())
}

// selfState is this instance's own state in the form in which that of others is kept.
func (n *Node) selfState() peerState {
	self := peerState{address: n.peers.self, capacity: n.settings.Capacity, draining: n.draining.Load()}
	if nanos := n.lastWatchNanos.Load(); nanos != 0 {
		self.watchedAt = n.startedAt.Add(time.Duration(nanos))
	}
	return self
}

// isWatcher reports whether this instance watches the declarations for all.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(), n.peers.self) }

// The reasons for which an instance watches the declarations itself.
const (
	watchesAsChosen    = "chosen"
	watchesUnlessOther = "no other instance's watch is answered"
	watchesSinceBehind = "a newer configuration is not received from others"
)

// watchReason returns why this instance watches the declarations; "" if it relies on
// others.
func (n *Node) watchReason() string {
	t := n.peers.topology()
	switch {
	case n.configuration.Current() != nil && n.clock.Since(n.startedAt) < watcherSettleTime:
		return ""
	case n.isWatcher():
		return watchesAsChosen
	case !n.peers.watchedRecently(t.aggregated && !t.isAggregator):
		return watchesUnlessOther
	case n.behindFor() >= storeFallbackDelay:
		return watchesSinceBehind
	}
	return ""
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

// assignWatchers records the instances that an aggregator names as watchers.
func (p *peerTable) assignWatchers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assigned, p.assignedAt = addresses, p.clock.Now()
}

// assignedWatchers returns the instances last named as watchers; nil if that was too
// long ago.
func (p *peerTable) assignedWatchers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock.Since(p.assignedAt) > peerTimeout {
		return nil
	}
	return p.assigned
}

// chooseWatchers returns the addresses of the instances with the largest capacity, the
// first in address order among equals. One that gets no response to its watch, although
// others do, is skipped for a while.
func (p *peerTable) chooseWatchers(self peerState) []string {
	candidates := append(p.live(), self)
	slices.SortFunc(candidates, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.address, b.address))
	})
	now := p.clock.Now()
	anyWatched := slices.ContainsFunc(candidates, func(s peerState) bool { return s.watchedWithin(maxWatchAgeAggregated, now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := make([]string, 0, watcherCount)
	for i := range candidates {
		c := &candidates[i]
		if len(chosen) == watcherCount || c.draining {
			delete(p.watchersSince, c.address)
			continue
		}
		if anyWatched && p.isFailingWatcher(c, now) {
			continue
		}
		chosen = append(chosen, c.address)
	}
	return chosen
}

func (s *peerState) watchedWithin(age time.Duration, now time.Time) bool {
	return !s.watchedAt.IsZero() && now.Sub(s.watchedAt) < age
}

// isFailingWatcher reports whether an instance that should watch gets no response. The
// caller holds mu.
func (p *peerTable) isFailingWatcher(candidate *peerState, now time.Time) bool {
	if now.Before(p.watcherSkippedUntil[candidate.address]) {
		return true
	}
	delete(p.watcherSkippedUntil, candidate.address)
	since, known := p.watchersSince[candidate.address]
	if !known || candidate.watchedWithin(maxWatchAgeAggregated, now) {
		p.watchersSince[candidate.address] = now
		return false
	}
	if now.Sub(since) <= watcherGrace {
		return false
	}
	delete(p.watchersSince, candidate.address)
	p.watcherSkippedUntil[candidate.address] = now.Add(watcherSkipTime)
	return true
}
