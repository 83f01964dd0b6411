package measure

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func run(id string, startMS, endMS int) target.Run {
	return target.Run{User: id, StartedAt: after(startMS), EndedAt: after(endMS), Status: target.StatusComplete}
}

func seen(id, key string, attempts ...load.Attempt) *load.Outcome {
	return &load.Outcome{Call: &load.Call{ID: id, Key: key, Prompt: "abcd", MaxTokens: 1}, Attempts: attempts}
}

func TestOnceChecksCountEachViolation(t *testing.T) {
	refused := load.Attempt{Verdict: load.Refused, Run: "not_run", Ended: after(500)}
	broken := load.Attempt{Verdict: load.Broken, Ended: after(100)}
	whole := load.Attempt{Verdict: load.Whole, Ended: after(100)}
	cases := map[string]struct {
		outcome           *load.Outcome
		runs              []target.Run
		duplicates, false int
	}{
		"one run":                     {seen("a", "k", whole), []target.Run{run("a", 0, 9)}, 0, 0},
		"keyed and run twice":         {seen("a", "k", broken, whole), []target.Run{run("a", 0, 9), run("a", 1, 9)}, 1, 0},
		"unkeyed and run twice":       {seen("a", "", whole), []target.Run{run("a", 0, 9), run("a", 1, 9)}, 1, 0},
		"unkeyed, sent and run twice": {seen("a", "", broken, whole), []target.Run{run("a", 0, 9), run("a", 1, 9)}, 0, 0},
		"unkeyed, resumed, run twice": {seen("a", "", broken, load.Attempt{Verdict: load.Whole, Resumed: true}), []target.Run{run("a", 0, 9), run("a", 1, 9)}, 1, 0},
		"refused and not run":         {seen("a", "", refused), nil, 0, 0},
		"refused and run":             {seen("a", "", refused), []target.Run{run("a", 0, 9)}, 0, 1},
		"refused and run later":       {seen("a", "", refused), []target.Run{run("a", 600, 700)}, 0, 1},
		"key refused after a run":     {seen("a", "k", broken, refused), []target.Run{run("a", 0, 9)}, 0, 1},
		"key refused before its run":  {seen("a", "k", refused, whole), []target.Run{run("a", 600, 700)}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			truth := newTruth(c.runs)
			outcomes := []*load.Outcome{c.outcome}
			assert.Equal(t, truth.duplicateDispatches(outcomes), c.duplicates)
			assert.Equal(t, truth.falseNotRun(outcomes), c.false)
			c.outcome.Call.Kind = load.KindService
			assert.Equal(t, truth.nonIdempotentDoubles(outcomes), c.duplicates)
		})
	}
	assert.Equal(t, wrongOrPartial([]*load.Outcome{
		seen("a", "", load.Attempt{Verdict: load.Wrong}), seen("b", "", load.Attempt{Verdict: load.Partial}),
		seen("c", "", whole), seen("d", "", broken),
	}), 2)
}

func TestShedWhileLowerRan(t *testing.T) {
	shed := load.Attempt{Verdict: load.Refused, Run: "not_run", Ended: after(1000)}
	high := seen("high", "", shed)
	low := seen("low", "")
	low.Call.Tier = 3
	cases := map[string]struct {
		lowRun target.Run
		want   int
	}{
		"lower runs":              {run("low", 500, 1500), 1},
		"lower had ended":         {run("low", 500, 999), 0},
		"lower began on the way":  {run("low", 970, 1500), 0},
		"lower has no end so far": {target.Run{User: "low", StartedAt: after(500)}, 1},
		"same tier":               {run("high", 500, 1500), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := shedWhileLowerRan([]*load.Outcome{high, low}, newTruth([]target.Run{c.lowRun}))
			assert.Equal(t, got, c.want)
		})
	}
}

func TestGoodputAndFairness(t *testing.T) {
	answered := load.Attempt{Verdict: load.Whole, Sent: after(0), Ended: after(1000)}
	late := load.Attempt{Verdict: load.Whole, Sent: after(0), Ended: after(3000)}
	outcomes := []*load.Outcome{seen("1", "", answered), seen("2", "", late), seen("3", "", answered), seen("4", "", answered)}
	outcomes[1].Call.Account = "slow"

	assert.Equal(t, goodputByTier(outcomes, 2*time.Second)[0], 0.75)
	assert.Equal(t, worstAccount(outcomes, 2*time.Second), 0.0)
	assert.Equal(t, worstAccount(outcomes, 4*time.Second), 1.0)
}

func TestWastedPrefill(t *testing.T) {
	block := string(make([]byte, target.BlockBytes))
	first, second := seen("1", ""), seen("2", "")
	first.Call.Prompt, second.Call.Prompt = block, block
	runs := []target.Run{run("1", 0, 1), run("2", 2, 3)}
	runs[0].PromptTokens, runs[1].PromptTokens = target.BlockTokens, target.BlockTokens

	assert.Equal(t, wastedPrefill([]*load.Outcome{first, second}, newTruth(runs)), 0.5)
	runs[1].CachedTokens = target.BlockTokens
	assert.Equal(t, wastedPrefill([]*load.Outcome{first, second}, newTruth(runs)), 0.0)
}

func TestFiguresAreOneObjectALine(t *testing.T) {
	value := 2.0
	var out bytes.Buffer
	assert.NilError(t, WriteJSON(&out, []Figure{{Measure: "m", Seed: 3, Name: "n", Value: 1, Unit: "s", Baseline: &value}}))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.DeepEqual(t, line, map[string]any{
		"measure": "m", "seed": 3.0, "name": "n", "value": 1.0, "unit": "s", "baseline": 2.0,
	})
}
