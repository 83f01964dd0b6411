package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// maxRefusalTransit bounds the time from the decision to refuse a request until the
// client has received it. A run of a lower tier counts as a violation only if it
// covers that time.
const maxRefusalTransit = 50 * time.Millisecond

// goodputByTier returns the share of each tier's offered tokens whose responses were
// complete within the deadline.
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

// countShedWhileLowerRan counts the shed requests during whose refusal a target was
// running a request of a lower tier.
func countShedWhileLowerRan(outcomes []*load.Outcome, gt *groundTruth) int {
	tierByRequestID := make(map[string]int, len(outcomes))
	for _, outcome := range outcomes {
		tierByRequestID[outcome.Request.ID] = outcome.Request.Tier
	}
	count := 0
	for _, outcome := range outcomes {
		final := outcome.Final()
		if isShed(final) && lowerTierRan(gt.runs, tierByRequestID, outcome.Request.Tier, final.EndedAt) {
			count++
		}
	}
	return count
}

// isShed reports whether an attempt was refused before it ran, for lack of capacity.
func isShed(attempt load.Attempt) bool {
	return attempt.Verdict == load.VerdictRefused && attempt.RunStatus != "unknown" && attempt.RunStatus != "ran_in_part"
}

// lowerTierRan reports whether a run of a lower tier (a higher number) covers the
// time from the decision to refuse a request until the client received the refusal.
func lowerTierRan(runs []target.Run, tierByRequestID map[string]int, tier int, refusedAt time.Time) bool {
	return slices.ContainsFunc(runs, func(run target.Run) bool {
		runTier, known := tierByRequestID[load.RequestID(run)]
		return known && runTier > tier && isRunningAt(run, refusedAt) && run.StartedAt.Before(refusedAt.Add(-maxRefusalTransit))
	})
}

// accountTokens holds the tokens that one account requested, and those of its requests
// completed within the deadline.
type accountTokens struct {
	offered, completed float64
}

// minServedRatio is the share of its offered tokens that a tier must complete to
// count for fairness. A tier starved by higher ones completes so few requests that
// their distribution over accounts is random.
const minServedRatio = 0.1

// worstAccountFairness returns the smallest ratio, over all accounts of the tiers that
// reach minServedRatio, of the account's completed tokens to its max-min fair share of
// the tier's completed tokens. It is 1 when no tier reaches it.
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

// worstInTier returns the smallest ratio of completed tokens to fair share within one
// tier, or 1 when the tier does not reach minServedRatio.
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
	// Max-min fairness: accounts are served in ascending order of offered tokens,
	// and each can use an equal share of what remains.
	slices.SortFunc(byOffered, func(a, b *accountTokens) int { return cmp.Compare(a.offered, b.offered) })
	worst := 1.0
	for i, tokens := range byOffered {
		fairShare := min(tokens.offered, total/float64(len(byOffered)-i))
		total -= fairShare
		worst = min(worst, ratio(tokens.completed, fairShare))
	}
	return worst
}
