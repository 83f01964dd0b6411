package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// refusalTransit bounds the way of a refusal from the decision to the caller.
// A lower-tier run counts against the refusal only if it covers that time.
const refusalTransit = 50 * time.Millisecond

// goodputByTier is the share of each tier's offered tokens whose whole answers
// came within the deadline.
func goodputByTier(outcomes []*load.Outcome, deadline time.Duration) [tables.TierCount]float64 {
	var done, offered, share [tables.TierCount]float64
	for _, outcome := range outcomes {
		tokens := float64(outcome.Call.Tokens())
		offered[outcome.Call.Tier] += tokens
		if outcome.InTime(deadline) {
			done[outcome.Call.Tier] += tokens
		}
	}
	for tier := range share {
		share[tier] = ratio(done[tier], offered[tier])
	}
	return share
}

// shedWhileLowerRan counts the refused calls during whose refusal a run of a
// lower tier was under way at some target of the pool.
func shedWhileLowerRan(outcomes []*load.Outcome, t *truth) int {
	tierOf := make(map[string]int, len(outcomes))
	for _, outcome := range outcomes {
		tierOf[outcome.Call.ID] = outcome.Call.Tier
	}
	count := 0
	for _, outcome := range outcomes {
		final := outcome.Final()
		if isShed(final) && lowerRan(t.runs, tierOf, outcome.Call.Tier, final.Ended) {
			count++
		}
	}
	return count
}

// isShed reports whether an attempt was refused for want of capacity.
func isShed(attempt load.Attempt) bool {
	return attempt.Verdict == load.Refused && attempt.Run != "unknown" && attempt.Run != "ran_in_part"
}

// lowerRan reports whether a run of a tier below (a higher number) covers the
// time from the decision to the refusal's arrival.
func lowerRan(runs []target.Run, tierOf map[string]int, tier int, refused time.Time) bool {
	return slices.ContainsFunc(runs, func(run target.Run) bool {
		lower, known := tierOf[load.RunID(run)]
		return known && lower > tier && overlaps(run, refused) && run.StartedAt.Before(refused.Add(-refusalTransit))
	})
}

// share is what one account offered and got.
type share struct {
	offered, done float64
}

// servedTier is the share of its offered tokens that a tier must have got to
// count for fairness. A tier that higher ones starve gets so few requests that
// their accounts are a matter of chance.
const servedTier = 0.1

// worstAccount is the smallest ratio, over all accounts of tiers that are
// served, of the tokens that an account got to its max-min fair share of the
// tokens that its tier got. It is 1 when no tier is served.
func worstAccount(outcomes []*load.Outcome, deadline time.Duration) float64 {
	var tiers [tables.TierCount]map[string]*share
	for _, outcome := range outcomes {
		call := outcome.Call
		if tiers[call.Tier] == nil {
			tiers[call.Tier] = make(map[string]*share)
		}
		s := tiers[call.Tier][call.Account]
		if s == nil {
			s = &share{}
			tiers[call.Tier][call.Account] = s
		}
		s.offered += float64(call.Tokens())
		if outcome.InTime(deadline) {
			s.done += float64(call.Tokens())
		}
	}
	worst := 1.0
	for _, accounts := range tiers {
		worst = min(worst, worstOf(accounts))
	}
	return worst
}

// worstOf is the smallest ratio of got to fair within one tier.
func worstOf(accounts map[string]*share) float64 {
	total, offered := 0.0, 0.0
	shares := make([]*share, 0, len(accounts))
	for _, s := range accounts {
		total += s.done
		offered += s.offered
		shares = append(shares, s)
	}
	if total < servedTier*offered {
		return 1
	}
	// Max-min fairness: the accounts that ask least are served first, and the
	// rest is divided evenly among those that are left.
	slices.SortFunc(shares, func(a, b *share) int { return cmp.Compare(a.offered, b.offered) })
	worst := 1.0
	for i, s := range shares {
		fair := min(s.offered, total/float64(len(shares)-i))
		total -= fair
		worst = min(worst, ratio(s.done, fair))
	}
	return worst
}
