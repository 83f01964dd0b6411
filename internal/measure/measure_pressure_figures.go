package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// maxRefusalTransit bounds the way of a refusal from the decision to the caller.
// A lower-tier run counts against the refusal only if it covers that time.
const maxRefusalTransit = 50 * time.Millisecond

// goodputByTier is the share of each tier's offered tokens whose whole answers
// came within the deadline.
func goodputByTier(outcomes []*load.Outcome, deadline time.Duration) [tables.TierCount]float64 {
	var completed, offered, goodput [tables.TierCount]float64
	for _, outcome := range outcomes {
		tokens := float64(outcome.Request.TotalTokens())
		offered[outcome.Request.Tier] += tokens
		if outcome.CompletedWithin(deadline) {
			completed[outcome.Request.Tier] += tokens
		}
	}
	for tier := range goodput {
		goodput[tier] = ratio(completed[tier], offered[tier])
	}
	return goodput
}

// countShedWhileLowerRan counts the refused calls during whose refusal a run of a
// lower tier was under way at some target of the pool.
func countShedWhileLowerRan(outcomes []*load.Outcome, gt *groundTruth) int {
	tierOf := make(map[string]int, len(outcomes))
	for _, outcome := range outcomes {
		tierOf[outcome.Request.ID] = outcome.Request.Tier
	}
	count := 0
	for _, outcome := range outcomes {
		final := outcome.Final()
		if isShed(final) && lowerTierRan(gt.runs, tierOf, outcome.Request.Tier, final.EndedAt) {
			count++
		}
	}
	return count
}

// isShed reports whether an attempt was refused for want of capacity.
func isShed(attempt load.Attempt) bool {
	return attempt.Verdict == load.VerdictRefused && attempt.RunStatus != "unknown" && attempt.RunStatus != "ran_in_part"
}

// lowerTierRan reports whether a run of a tier below (a higher number) covers the
// time from the decision to the refusal's arrival.
func lowerTierRan(runs []target.Run, tierOf map[string]int, tier int, refusedAt time.Time) bool {
	return slices.ContainsFunc(runs, func(run target.Run) bool {
		lower, known := tierOf[load.RequestID(run)]
		return known && lower > tier && isRunningAt(run, refusedAt) && run.Started.Before(refusedAt.Add(-maxRefusalTransit))
	})
}

// accountTokens is what one account offered and got.
type accountTokens struct {
	offered, completed float64
}

// minServedRatio is the share of its offered tokens that a tier must have got to
// count for fairness. A tier that higher ones starve gets so few requests that
// their accounts are a matter of chance.
const minServedRatio = 0.1

// worstAccountFairness is the smallest ratio, over all accounts of tiers that are
// served, of the tokens that an account got to its max-min fair share of the
// tokens that its tier got. It is 1 when no tier is served.
func worstAccountFairness(outcomes []*load.Outcome, deadline time.Duration) float64 {
	var tiers [tables.TierCount]map[string]*accountTokens
	for _, outcome := range outcomes {
		request := outcome.Request
		if tiers[request.Tier] == nil {
			tiers[request.Tier] = make(map[string]*accountTokens)
		}
		tokens := tiers[request.Tier][request.Account]
		if tokens == nil {
			tokens = &accountTokens{}
			tiers[request.Tier][request.Account] = tokens
		}
		tokens.offered += float64(request.TotalTokens())
		if outcome.CompletedWithin(deadline) {
			tokens.completed += float64(request.TotalTokens())
		}
	}
	worst := 1.0
	for _, tokensByAccount := range tiers {
		worst = min(worst, worstInTier(tokensByAccount))
	}
	return worst
}

// worstInTier is the smallest ratio of got to fair within one tier.
func worstInTier(tokensByAccount map[string]*accountTokens) float64 {
	total, offered := 0.0, 0.0
	byOffered := make([]*accountTokens, 0, len(tokensByAccount))
	for _, tokens := range tokensByAccount {
		total += tokens.completed
		offered += tokens.offered
		byOffered = append(byOffered, tokens)
	}
	if total < minServedRatio*offered {
		return 1
	}
	// Max-min fairness: the accounts that ask least are served first, and the
	// rest is divided evenly among those that are left.
	slices.SortFunc(byOffered, func(a, b *accountTokens) int { return cmp.Compare(a.offered, b.offered) })
	worst := 1.0
	for i, tokens := range byOffered {
		fair := min(tokens.offered, total/float64(len(byOffered)-i))
		total -= fair
		worst = min(worst, ratio(tokens.completed, fair))
	}
	return worst
}
