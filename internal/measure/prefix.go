package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// The load of measure "prefix": conversations that share a start.
const (
	prefixDeadline      = 6 * time.Second
	conversations       = 40
	conversationBytes   = 24 << 10 // the shared start
	turnBytes           = 512      // added by each turn
	prefixOutput        = 20       // tokens
	prefixLoad          = 0.2      // of the decode capacity; prefill without reuse takes more
	prefixPrefill       = 2e4      // tokens a second
	prefixBlocks        = 1024     // a quarter of all conversations
	cacheEventDelay     = 200 * time.Millisecond
	cacheEventLoss      = 0.05
	firstTokenPercent   = 0.95
	conversationsStream = 2 // the stream of random numbers for the starts
)

func prefillMeasure() Measure {
	return Measure{
		Name:    "prefix",
		Summary: "prefill that a cache elsewhere could have spared, and time to the first token",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runPrefix(ctx, o, startSystem) },
	}
}

// prefixPlan gives each call the next turn of a conversation. Some
// conversations are more frequent than others.
func prefixPlan(o Options, capacity float64) []*load.Call {
	calls := load.Plan(o.Seed, []load.Source{{
		Template: load.Call{Path: "/v1/completions", Model: modelOf(0), Prompt: "-"},
		Rate:     capacity * prefixLoad / prefixOutput, Until: o.duration(),
		Accounts: accounts, Weights: accountWeights,
		MinTokens: prefixOutput, MaxTokens: prefixOutput, StreamRatio: 1,
	}})
	random := rand.New(rand.NewPCG(o.Seed, conversationsStream))
	texts := make([]string, conversations)
	for i := range texts {
		texts[i] = load.Text(random, conversationBytes)
	}
	for _, call := range calls {
		chosen := load.LogUniform(random, 1, conversations) - 1
		texts[chosen] += load.Text(random, turnBytes)
		call.Prompt = texts[chosen]
	}
	return calls
}

func runPrefix(ctx context.Context, o Options, start starter) ([]Figure, error) {
	engines := unlikeEngines(o.Seed)
	for i := range engines {
		engines[i].PrefillTokensPerSecond = prefixPrefill
		engines[i].CacheBlocks = prefixBlocks
		engines[i].CacheEventDelay = cacheEventDelay
		engines[i].CacheEventLossProbability = cacheEventLoss
	}
	e := &experiment{
		engines: engines,
		setup:   setup{seed: o.Seed, deadline: prefixDeadline},
		calls:   prefixPlan(o, capacity(engines)),
	}
	return e.compare(ctx, start, prefixFigures)
}

func prefixFigures(r *result) []Figure {
	first := percentile(firstTokens(r.outcomes), firstTokenPercent)
	return []Figure{
		{Name: "wasted_prefill_ratio", Value: wastedPrefill(r.outcomes, r.truth), Unit: unitRatio},
		{Name: fmt.Sprintf("first_token_p%d_ms", int(100*firstTokenPercent)), Value: first.Seconds() * 1e3, Unit: unitMillis},
	}
}
