package admission

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// demand is what a pool's queued requests need of the targets.
type demand struct {
	// shared is requested of every target: an even share of the requests without
	// an affinity target, by tier.
	shared credit.PerTier
	// affinity is requested of one target, for requests that wait only for it.
	affinity map[*target]credit.PerTier
	// urgent is requested of one target, for requests that cannot wait until
	// lower-tier requests end.
	urgent map[*target]credit.PerTier
}

// demand sums up the queue. An even share, rounded up, is requested of each target,
// since it is unknown which will have capacity first. The lock must be held.
func (p *pool) demand() *demand {
	d := &demand{}
	if p.waiting.Load() == 0 {
		return d
	}
	targets := max(1, len(*p.targets.Load()))
	for tier := range p.queue.tiers {
		q := &p.queue.tiers[tier]
		if q.Len() == 0 {
			continue
		}
		waitingForAffinity := 0
		for j := range q.All() {
			if j.affinityTarget != nil {
				waitingForAffinity++
			}
			d.affinity = addDemand(d.affinity, j.affinityTarget, j)
			d.urgent = addDemand(d.urgent, j.preemptionTarget, j)
		}
		if q.Len() > waitingForAffinity {
			d.shared[tier] = evenShare(q, q.Len()-waitingForAffinity, targets)
		}
	}
	return d
}

// evenShare returns one target's share of the tier's demand. The request dequeued
// next counts with its reservation, the others with their mean cost.
func evenShare(q *tierQueue, waiting, targets int) credit.Amount {
	slots := (waiting + targets - 1) / targets
	tokens := int(q.QueuedCost()) / q.Len() * (slots - 1)
	nextTokens := credit.Tokens(0)
	if next, ok := q.Peek(); ok {
		nextTokens = next.reserveTokens
	}
	return credit.Amount{Slots: credit.Slots(slots), Tokens: nextTokens + credit.Tokens(tokens)}
}

// addDemand adds the request to the demand for t, unless t is nil.
func addDemand(demand map[*target]credit.PerTier, t *target, j *job) map[*target]credit.PerTier {
	if t == nil {
		return demand
	}
	if demand == nil {
		demand = make(map[*target]credit.PerTier)
	}
	sum := demand[t]
	sum[j.tier] = sum[j.tier].Plus(t.reservation(j))
	demand[t] = sum
	return demand
}

// buildReport returns the entry's state at the target. The lock must be held.
func (t *target) buildReport(d *demand) credit.Report {
	r := credit.Report{
		Target: t.info.Load().Name, Running: t.running,
		Cancelling: t.cancelling.Total(), Overloads: t.overloads,
		Demand: d.shared, UrgentDemand: d.urgent[t],
	}
	capacityTokens := configuredCapacity(t.info.Load()).Tokens
	affinity := d.affinity[t]
	for tier := range r.Demand {
		r.Demand[tier] = r.Demand[tier].Plus(affinity[tier])
		r.Demand[tier] = r.Demand[tier].Max(r.UrgentDemand[tier])
		r.Demand[tier].Tokens = min(r.Demand[tier].Tokens, capacityTokens*credit.Tokens(r.Demand[tier].Slots))
	}
	if t.decodeObserved {
		r.TimePerToken = t.speed.TimePerToken()
	}
	return r
}

// reportDue reports whether the report must be sent now. The lock must be held.
func (t *target) reportDue(next *credit.Report, now time.Time) bool {
	age := now.Sub(t.lastReportAt)
	last := &t.lastReport
	runningChanged := next.Running != last.Running
	demandChanged := next.Demand != last.Demand || next.UrgentDemand != last.UrgentDemand ||
		next.Cancelling != last.Cancelling || next.Overloads != last.Overloads
	contended := t.lowestAdmittedTier.Load() < tables.TierCount-1
	switch {
	case t.lastReportAt.IsZero() || age >= reportRefreshInterval:
		return true
	case demandChanged || t.holder.UnacknowledgedDecrease(last.Ack):
		return true
	case runningChanged && contended:
		return true
	default:
		return (runningChanged || !t.holder.HasGrant()) && age >= deferredReportInterval
	}
}

// unusedAllowance returns what the entry may still start on the target.
func (t *target) unusedAllowance() credit.Amount {
	return credit.Amount{
		Slots:  credit.Slots(max(0, t.allowedSlots.Load()-t.runningSlots.Load())),
		Tokens: credit.Tokens(max(0, t.allowedTokens.Load()-t.runningTokens.Load())),
	}
}

// countBelow counts the running requests of tiers below the given one.
func countBelow(running [tables.TierCount]credit.Slots, tier tables.Tier) credit.Slots {
	var sum credit.Slots
	for lower := tier + 1; lower < tables.TierCount; lower++ {
		sum += running[lower]
	}
	return sum
}

// sendDatagram sends the messages in as many datagrams as needed.
func (c *Controller) sendDatagram(address string, d *credit.Datagram) {
	bodies, err := credit.Encode(d)
	if err != nil {
		c.log.Error("cannot encode credit datagram", zap.Error(err))
		return
	}
	for _, body := range bodies {
		if err := c.options.Bus.Send(address, peer.KindCredit, body); err != nil {
			c.log.Debug("cannot send credit datagram", zap.Error(err))
		}
	}
}
