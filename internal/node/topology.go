package node

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMeshSize is the number of instances up to which each writes to all
	// others; beyond it, a few instances gather the reports of all.
	maxMeshSize = 12
	// aggregatorCount is the number of instances that gather, each for a part of the
	// others, so that the link of none is filled by sums.
	aggregatorCount = 6
	// aggregateTimeout is how long one that is asked to gather may take to answer
	// before another is asked: a few reports may be lost.
	aggregateTimeout = 900 * time.Millisecond
	// aggregatorSkipTime is how long one that did not answer is not asked again.
	aggregatorSkipTime = 4 * time.Second
)

// topology says to whom this instance reports.
type topology struct {
	// aggregated is set when there are too many instances to write to all.
	aggregated bool
	// isAggregator is set when this instance is one of those that gather.
	isAggregator bool
	// recipients are the addresses recipients report recipients; when gathering, the preferred first.
	recipients []string
}

// topology chooses the gathering instances as the first in the order of
// addresses that are believed to live.
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
		if state := p.byAddress[address]; state.mayAggregate(now) {
			t.recipients = append(t.recipients, address)
			chosen++
		}
	}
	t.putPreferredFirst(p.self)
	for i, address := range t.recipients {
		// Only the preferred one is asked to answer; one that was preferred before
		// is not, and its silence says nothing.
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

// putPreferredFirst puts first the instance that gathers for this one.
func (t *topology) putPreferredFirst(self string) {
	if len(t.recipients) > 0 {
		preferred := int(xxhash.Sum64String(self) % uint64(len(t.recipients)))
		t.recipients[0], t.recipients[preferred] = t.recipients[preferred], t.recipients[0]
	}
}

// mayAggregate reports whether an instance may be asked to gather.
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
