package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// Load of measure "prefix": conversations whose turns repeat the earlier text.
const (
	prefixDeadline          = 6 * time.Second
	conversationCount       = 40
	conversationPrefixBytes = 24 << 10 // start of each conversation
	turnBytes               = 512      // added to the prompt by each turn
	prefixOutputTokens      = 20
	prefixLoadFactor        = 0.2  // of decode capacity; prefill without cache hits needs more
	prefixPrefillPerSecond  = 2e4  // tokens
	prefixCacheBlocks       = 1024 // of each engine; about a quarter of the blocks of all conversations
	cacheEventDelay         = 200 * time.Millisecond
	cacheEventLossRatio     = 0.05
	firstTokenQuantile      = 0.95
	prefixRandStream        = 2 // stream of the random number generator for the texts
)

// prefixMeasure returns measure "prefix", which measures how well requests are routed
// to targets that have their prompt prefix in the cache.
func prefixMeasure() Measure {
	return Measure{
		Name:    "prefix",
		Summary: "prefill that a cache elsewhere could have spared, and time to the first token",
		Run:     func(ctx context.Context, o Options) ([]Figure, error) { return runPrefix(ctx, o, startSystem) },
	}
}

// prefixPlan makes each request the next turn of a conversation. Conversations are
// drawn log-uniformly, so that some are more frequent than others.
func prefixPlan(options Options, capacity float64) []*load.Request {
	requests := load.GeneratePlan(options.Seed, []load.Source{{
		Template:          load.Request{Path: "/v1/completions", Model: tierModel(0), Prompt: "-"},
		RequestsPerSecond: capacity * prefixLoadFactor / prefixOutputTokens, End: options.duration(),
		Accounts: clientAccounts, Weights: accountWeights,
		MinTokens: prefixOutputTokens, MaxTokens: prefixOutputTokens, StreamRatio: 1,
	}})
	random := rand.New(rand.NewPCG(options.Seed, prefixRandStream))
	texts := make([]string, conversationCount)
	for i := range texts {
		texts[i] = load.RandomText(random, conversationPrefixBytes)
	}
	for _, request := range requests {
		index := load.LogUniform(random, 1, conversationCount) - 1
		texts[index] += load.RandomText(random, turnBytes)
		request.Prompt = texts[index]
	}
	return requests
}

func runPrefix(ctx context.Context, options Options, startFleet fleetStarter) ([]Figure, error) {
	engines := heterogeneousEngines(options.Seed)
	for i := range engines {
		engines[i].PrefillTokensPerSecond = prefixPrefillPerSecond
		engines[i].CacheBlocks = prefixCacheBlocks
		engines[i].CacheEventDelay = cacheEventDelay
		engines[i].CacheEventLossProbability = cacheEventLossRatio
	}
	e := &experiment{
		engines:     engines,
		fleetConfig: fleetConfig{seed: options.Seed, deadline: prefixDeadline},
		requests:    prefixPlan(options, capacity(engines)),
	}
	return e.runWithBaseline(ctx, startFleet, prefixFigures)
}

func prefixFigures(r *experimentResult) []Figure {
	firstToken := quantile(timesToFirstToken(r.outcomes), firstTokenQuantile)
	return []Figure{
		{Name: "wasted_prefill_ratio", Value: wastedPrefillRatio(r.outcomes, r.groundTruth), Unit: unitRatio},
		{Name: fmt.Sprintf("first_token_p%d_ms", int(100*firstTokenQuantile)), Value: firstToken.Seconds() * 1e3, Unit: unitMilliseconds},
	}
}
