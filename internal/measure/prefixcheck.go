package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

// wastedPrefill is the share of all prompt tokens that were prefilled although
// some target of the pool had prefilled the same prefix before.
func wastedPrefill(outcomes []*load.Outcome, t *truth) float64 {
	prompts := make(map[string]string, len(outcomes))
	for _, outcome := range outcomes {
		prompts[outcome.Call.ID] = outcome.Call.Prompt
	}
	runs := slices.Clone(t.runs)
	slices.SortStableFunc(runs, func(a, b target.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	seen := make(map[string]struct{})
	wasted, total := 0, 0
	for _, run := range runs {
		prompt, known := prompts[load.RunID(run)]
		if !known {
			continue
		}
		total += run.PromptTokens
		wasted += max(0, reusable(prompt, seen)-run.CachedTokens)
	}
	return ratio(float64(wasted), float64(total))
}

// reusable is how many tokens of a prompt's start were seen before; it notes
// the prompt as seen.
func reusable(prompt string, seen map[string]struct{}) int {
	hashes := target.BlockHashes(prompt)
	hit := 0
	for hit < len(hashes) {
		if _, ok := seen[hashes[hit]]; !ok {
			break
		}
		hit++
	}
	for _, hash := range hashes[hit:] {
		seen[hash] = struct{}{}
	}
	return hit * target.BlockTokens
}

// firstTokens are the times to the first token of all whole answers.
func firstTokens(outcomes []*load.Outcome) []time.Duration {
	var times []time.Duration
	for _, outcome := range outcomes {
		final := outcome.Final()
		if final.Verdict == load.Whole && !final.FirstToken.IsZero() {
			times = append(times, final.FirstToken.Sub(outcome.Attempts[0].Sent))
		}
	}
	return times
}

// percentile returns the value below which the share q of the values lies; 0
// without values.
func percentile[T cmp.Ordered](values []T, q float64) T {
	var none T
	if len(values) == 0 {
		return none
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
