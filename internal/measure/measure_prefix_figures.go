package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// wastedPrefillRatio returns the share of all prompt tokens that were prefilled
// although an earlier run on any target of the pool had the same prefix.
func wastedPrefillRatio(outcomes []*load.Outcome, gt *groundTruth) float64 {
	prompts := make(map[string]string, len(outcomes))
	for _, outcome := range outcomes {
		prompts[outcome.Request.ID] = outcome.Request.Prompt
	}
	runs := slices.Clone(gt.runs)
	slices.SortStableFunc(runs, func(a, b target.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	seenBlocks := make(map[string]struct{})
	wasted, total := 0, 0
	for _, run := range runs {
		prompt, known := prompts[load.RequestID(run)]
		if !known {
			continue
		}
		total += run.PromptTokens
		wasted += max(0, reusableTokens(prompt, seenBlocks)-run.CachedTokens)
	}
	return ratio(float64(wasted), float64(total))
}

// reusableTokens returns how many tokens at the start of a prompt are in blocks that
// were seen before, and adds the prompt's blocks to seen.
func reusableTokens(prompt string, seenBlocks map[string]struct{}) int {
	hashes := target.BlockHashes(prompt)
	hitBlocks := 0
	for hitBlocks < len(hashes) {
		if _, ok := seenBlocks[hashes[hitBlocks]]; !ok {
			break
		}
		hitBlocks++
	}
	for _, hash := range hashes[hitBlocks:] {
		seenBlocks[hash] = struct{}{}
	}
	return hitBlocks * target.BlockTokens
}

// timesToFirstToken returns the time from the first attempt to the first token of each
// complete response.
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

// quantile returns the value below which the share q of the values lies, or 0
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
