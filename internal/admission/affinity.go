package admission

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// affinityWorth is the least prefill time to be saved for which a request
	// waits for the target that has its prefix.
	affinityWorth = 50 * time.Millisecond
	// affinityPatience is how long it waits, relative to the time saved.
	affinityPatience = 1.0
	// affinitySlack is the largest part of its slack that it waits.
	affinitySlack = 0.25
	// coldReuse is the reuse assumed of the target that all entries prefer for
	// a prefix that none is known to hold.
	coldReuse = 0.5
)

// favorite returns the target that probably has most of the prompt cached, and
// the share. When none is known to, it is chosen by rendezvous hashing on the
// first block, so that all entries send a conversation to the same target.
func (p *pool) favorite(ticket *ticket, wanted string, skip []*target) (*target, float64) {
	prefix := ticket.request.Prefix
	if len(prefix) == 0 {
		return nil, 0
	}
	var best, cold *target
	most, highest := 0, uint64(0)
	for _, t := range *p.targets.Load() {
		if t.ejected.Load() || !p.eligible(t, ticket, wanted, skip) {
			continue
		}
		if blocks := t.prefix.Match(prefix); blocks > most {
			best, most = t, blocks
		}
		if score := routing.RendezvousScore(t.info.Load().Name, prefix[0]); cold == nil || score > highest {
			cold, highest = t, score
		}
	}
	if best == nil {
		return cold, coldReuse
	}
	return best, float64(most) / float64(len(prefix))
}

// holdsOut reports whether the request should rather wait for its favorite than
// start elsewhere: for no longer than the prefill that it saves takes.
func (p *pool) holdsOut(ticket *ticket, favorite *target, reuse float64, now time.Time) bool {
	if favorite == nil || favorite.roomFor(ticket) == fits {
		return false
	}
	prefill := p.best.Load().TimeToFirstToken(ticket.request.PromptTokens)
	saved := time.Duration(reuse * float64(prefill))
	if saved < affinityWorth {
		return false
	}
	patience := time.Duration(affinityPatience * float64(saved))
	if latest, ok := p.latestStart(ticket, serviceMargin); ok {
		slack := latest.Sub(ticket.arrived)
		patience = min(patience, time.Duration(affinitySlack*float64(slack)))
	}
	if goal, set := p.firstTokenStart(ticket, now); set {
		patience = min(patience, time.Duration(affinitySlack*float64(goal.Sub(ticket.arrived))))
	}
	if ticket.heldSince.IsZero() && p.roomElsewhere(ticket, favorite) {
		ticket.heldSince = now
	}
	return ticket.heldSince.IsZero() || now.Sub(ticket.heldSince) < patience
}

// roomElsewhere reports whether the request could start on another target.
func (p *pool) roomElsewhere(ticket *ticket, favorite *target) bool {
	for _, t := range *p.targets.Load() {
		if t != favorite && t.roomFor(ticket) == fits {
			return true
		}
	}
	return false
}
