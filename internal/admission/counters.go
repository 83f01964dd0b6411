package admission

import (
	"sync/atomic"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// counters are cumulative since the controller was created.
type counters struct {
	admittedCount  [tables.TierCount]atomic.Uint64
	refused        [tables.TierCount]atomic.Uint64
	waitedNanos    [tables.TierCount]atomic.Int64
	preempted      atomic.Uint64
	wastedTokens   atomic.Int64
	unproved       atomic.Uint64
	retriesRefused atomic.Uint64
	ejections      atomic.Uint64
}

// Stats is a snapshot of the counters and of the queued and running requests.
type Stats struct {
	// Admitted, Refused, Waiting and Running count requests by tier.
	Admitted, Refused, Waiting, Running [tables.TierCount]uint64
	// Waited is the total time that admitted requests spent queued, by tier.
	Waited [tables.TierCount]time.Duration
	// Preempted counts requests cancelled by preemption, and WastedTokens the
	// prompt and output tokens computed for them.
	Preempted    uint64
	WastedTokens int64
	// Unproved counts requests refused at the end of their wait while a lower
	// tier was known to run.
	Unproved uint64
	// RetriesRefused counts retries refused because the retry budget was exhausted.
	RetriesRefused uint64
	// Ejections counts ejections of targets after failures.
	Ejections uint64
}

func (c *counters) recordAdmitted(tier tables.Tier, waited time.Duration) {
	c.admittedCount[tier].Add(1)
	c.waitedNanos[tier].Add(int64(waited))
}

func (c *counters) recordFinished(g *Grant, o Outcome) {
	if o.Kind != Complete && g.cancelled {
		c.wastedTokens.Add(int64(max(g.job.request.PromptTokens, o.PromptTokens)-o.CachedTokens) + g.outputTokens.Load())
	}
}

// Stats returns a snapshot of the counters and of the queued and running requests.
func (c *Controller) Stats() Stats {
	s := Stats{
		Preempted: c.counters.preempted.Load(), WastedTokens: c.counters.wastedTokens.Load(),
		Unproved: c.counters.unproved.Load(), RetriesRefused: c.counters.retriesRefused.Load(),
		Ejections: c.counters.ejections.Load(),
	}
	for tier := range tables.TierCount {
		s.Admitted[tier] = c.counters.admittedCount[tier].Load()
		s.Refused[tier] = c.counters.refused[tier].Load()
		s.Waited[tier] = time.Duration(c.counters.waitedNanos[tier].Load())
	}
	for _, p := range *c.pools.Load() {
		p.addStats(&s)
	}
	return s
}

func (p *pool) addStats(s *Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tier := range s.Waiting {
		s.Waiting[tier] += uint64(p.queue.tiers[tier].Len())
	}
	for _, t := range p.allTargets {
		t.mu.Lock()
		for tier := range s.Running {
			s.Running[tier] += uint64(t.running[tier].Slots)
		}
		t.mu.Unlock()
	}
}
