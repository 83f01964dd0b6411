package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMeshSize is the number of instances up to which each sends to all
	// others. Beyond it, each sends to a few aggregators.
	maxMeshSize = 12
	// aggregatorCount is the number of aggregators. Each serves a part of the
	// other instances, so that aggregates do not saturate the link of any of
	// them.
	aggregatorCount = 6
	// aggregateTimeout is how long an aggregator may take to respond before
	// another is asked; it allows for a few lost messages.
	aggregateTimeout = 900 * time.Millisecond
	// aggregatorSkipTime is how long an aggregator that did not respond is
	// skipped.
	aggregatorSkipTime = 4 * time.Second
)

// topology determines to which instances this one sends gossip.
type topology struct {
	// aggregated is set if there are too many instances for a full mesh.
	aggregated bool
	// isAggregator is set if this instance is an aggregator.
	isAggregator bool
	// recipients are the addresses to send to; if aggregated, the preferred
	// aggregator comes first.
	recipients []string
}

// topology chooses as aggregators the first instances in address order that have
// not failed to respond recently.
func (p *peerTable) topology() topology {
	addresses := p.addresses()
	if len(addresses)+1 <= maxMeshSize {
		return topology{recipients: addresses}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	t := topology{aggregated: true}
	chosen := 0
	for _, address := range addresses {
		if !t.isAggregator && address > p.self && chosen < aggregatorCount {
			t.isAggregator = true
			chosen++
		}
		if chosen == aggregatorCount {
			break
		}
		// An instance may have been forgotten since its address was read.
		if state := p.byAddress[address]; state != nil && state.mayAggregate(now) {
			t.recipients = append(t.recipients, address)
			chosen++
		}
	}
	t.putPreferredFirst(p.self)
	for i, address := range t.recipients {
		// Only the preferred aggregator is asked to respond. One that was
		// preferred before is not asked any more, and its silence is no failure.
		state := p.byAddress[address]
		switch asked := i == 0 && !t.isAggregator; {
		case !asked:
			state.aggregateRequestedAt = time.Time{}
		case state.aggregateRequestedAt.IsZero():
			state.aggregateRequestedAt = now
		}
	}
	return t
}

// putPreferredFirst puts the aggregator that responds to this instance first.
func (t *topology) putPreferredFirst(self string) {
	if len(t.recipients) > 0 {
		preferred := int(xxhash.Sum64String(self) % uint64(len(t.recipients)))
		t.recipients[0], t.recipients[preferred] = t.recipients[preferred], t.recipients[0]
	}
}

// mayAggregate reports whether an instance may be used as aggregator. It starts
// aggregatorSkipTime for one that did not respond within aggregateTimeout.
func (s *peerState) mayAggregate(now time.Time) bool {
	switch {
	case now.Before(s.skippedUntil):
		return false
	case s.aggregateRequestedAt.IsZero() || now.Sub(s.lastMessageAt) < aggregateTimeout:
		return true
	case now.Sub(s.aggregateRequestedAt) > aggregateTimeout:
		s.skippedUntil = now.Add(aggregatorSkipTime)
		s.aggregateRequestedAt = time.Time{}
		return false
	}
	return true
}

// chooseGrantor returns which of the first aggregatorCount instances in address order
// takes charges from an account's quota for all; "" if others are known and all of them
// are skipped.
func chooseGrantor(account, self string, others []string, skipped func(address string) bool) string {
	candidates := make([]string, 0, aggregatorCount+1)
	for _, address := range others {
		if len(candidates) < aggregatorCount && !skipped(address) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 && len(others) > 0 {
		return ""
	}
	position, _ := slices.BinarySearch(candidates, self)
	candidates = slices.Insert(candidates, position, self)
	candidates = candidates[:min(len(candidates), aggregatorCount)]
	return candidates[xxhash.Sum64String(account)%uint64(len(candidates))]
}
