package admission

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// demand is what a pool's queue wants of each target.
type demand struct {
	// each is asked of every target: its part of what waits, by tier.
	each credit.PerTier
	// single is asked of single targets, for requests that wait for just them.
	single map[*target]credit.PerTier
	// urgent is the same for requests that cannot wait for lower tiers.
	urgent map[*target]credit.PerTier
}

// demand sums the queue. Each target is asked for an even part, rounded up,
// since it is not known where room will be first. The lock is held.
func (p *pool) demand() *demand {
	d := &demand{}
	if p.waiting.Load() == 0 {
		return d
	}
	targets := max(1, len(*p.targets.Load()))
	for tier := range p.queue.tiers {
		q := &p.queue.tiers[tier]
		if q.waiting == 0 {
			continue
		}
		held := 0
		for _, f := range q.flows {
			for _, t := range f.tickets {
				if t.heldFor != nil {
					held++
				}
				d.single = addAt(d.single, t.heldFor, t)
				d.urgent = addAt(d.urgent, t.urgentAt, t)
			}
		}
		if q.waiting > held {
			d.each[tier] = q.share(q.waiting-held, targets)
		}
	}
	return d
}

// share returns an even part of the tier's demand. The request that leaves
// next counts with its own size, the others with the mean.
func (q *tierQueue) share(waiting, targets int) credit.Amount {
	slots := (waiting + targets - 1) / targets
	tokens := q.tokens / q.waiting * (slots - 1)
	next := credit.Tokens(0)
	if f := q.peek(); f != nil {
		next = f.tickets[0].need
	}
	return credit.Amount{Slots: credit.Slots(slots), Tokens: next + credit.Tokens(tokens)}
}

// addAt adds the request to the demand at one target, if there is one.
func addAt(demand map[*target]credit.PerTier, at *target, t *ticket) map[*target]credit.PerTier {
	if at == nil {
		return demand
	}
	if demand == nil {
		demand = make(map[*target]credit.PerTier)
	}
	sum := demand[at]
	sum[t.tier] = sum[t.tier].Plus(at.size(t))
	demand[at] = sum
	return demand
}

// describe returns the entry's state at the target. The lock is held.
func (t *target) describe(d *demand) credit.Report {
	r := credit.Report{
		Target: t.info.Load().Name, Running: t.running,
		Stopping: t.stopping.Total(), Overloads: t.overloads,
		Demand: d.each, Urgent: d.urgent[t],
	}
	whole := capacity(t.info.Load()).Tokens
	single := d.single[t]
	for tier := range r.Demand {
		r.Demand[tier] = r.Demand[tier].Plus(single[tier])
		r.Demand[tier] = r.Demand[tier].Max(r.Urgent[tier])
		r.Demand[tier].Tokens = min(r.Demand[tier].Tokens, whole*credit.Tokens(r.Demand[tier].Slots))
	}
	if t.decodeSeen {
		r.Decode = t.speed.TimePerToken()
	}
	return r
}

// due reports whether the report is to be sent now. The lock is held.
func (t *target) due(next *credit.Report, now time.Time) bool {
	age := now.Sub(t.reportedAt)
	last := &t.reported
	changed := next.Running != last.Running
	asked := next.Demand != last.Demand || next.Urgent != last.Urgent ||
		next.Stopping != last.Stopping || next.Overloads != last.Overloads
	contended := t.openTier.Load() < tables.TierCount-1
	switch {
	case t.reportedAt.IsZero() || age >= heartbeat:
		return true
	case asked || t.holder.Unacknowledged(last.Ack):
		return true
	case changed && contended:
		return true
	default:
		return (changed || !t.holder.Granted()) && age >= quietReport
	}
}

// free returns what the entry may still start at the target.
func (t *target) free() credit.Amount {
	return credit.Amount{
		Slots:  credit.Slots(max(0, t.allowedSlots.Load()-t.runningSlots.Load())),
		Tokens: credit.Tokens(max(0, t.allowedTokens.Load()-t.runningTokens.Load())),
	}
}

// below sums the requests below the tier.
func below(running [tables.TierCount]credit.Slots, tier tables.Tier) credit.Slots {
	var sum credit.Slots
	for lower := tier + 1; lower < tables.TierCount; lower++ {
		sum += running[lower]
	}
	return sum
}

// post sends a datagram in as many parts as needed.
func (c *Controller) post(address string, d *credit.Datagram) {
	bodies, err := credit.Encode(d)
	if err != nil {
		c.log.Error("credit datagram not encoded", zap.Error(err))
		return
	}
	for _, body := range bodies {
		if err := c.options.Bus.Send(address, peer.KindCredit, body); err != nil {
			c.log.Debug("credit datagram not sent", zap.Error(err))
		}
	}
}
