package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// wastedPrefillRatio is the share of all prompt tokens that were prefilled although
// some target of the pool had prefilled the same prefix before.
func wastedPrefillRatio(outcomes []*load.Outcome, gt *groundTruth) float64 {
	prompts := make(map[string]string, len(outcomes))
	for _, outcome := range outcomes {
		prompts[outcome.Request.ID] = outcome.Request.Prompt
	}
	runs := slices.Clone(gt.runs)
	slices.SortStableFunc(runs, func(a, b target.Run) int { return a.Started.Compare(b.Started) })
	seen := make(map[string]struct{})
	wasted, total := 0, 0
	for _, run := range runs {
		prompt, known := prompts[load.RequestID(run)]
		if !known {
			continue
		}
		total += run.PromptTokens
		wasted += max(0, reusableTokens(prompt, seen)-run.CachedTokens)
	}
	return ratio(float64(wasted), float64(total))
}

// reusableTokens is how many tokens of a prompt's start were seen before; it notes
// the prompt as seen.
func reusableTokens(prompt string, seen map[string]struct{}) int {
	hashes := target.BlockHashes(prompt)
	hitBlocks := 0
	for hitBlocks < len(hashes) {
		if _, ok := seen[hashes[hitBlocks]]; !ok {
			break
		}
		hitBlocks++
	}
	for _, hash := range hashes[hitBlocks:] {
		seen[hash] = struct{}{}
	}
	return hitBlocks * target.BlockTokens
}

// timesToFirstToken are the times to the first token of all whole answers.
func timesToFirstToken(outcomes []*load.Outcome) []time.Duration {
	var times []time.Duration
	for _, outcome := range outcomes {
		final := outcome.Final()
		if final.Verdict == load.VerdictComplete && !final.FirstTokenAt.IsZero() {
			times = append(times, final.FirstTokenAt.Sub(outcome.Attempts[0].SentAt))
		}
	}
	return times
}

// quantile returns the value below which the share q of the values lies; 0
// without values.
func quantile[T cmp.Ordered](values []T, q float64) T {
	var zero T
	if len(values) == 0 {
		return zero
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
