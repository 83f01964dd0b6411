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

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atMS(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func newRun(id string, startMS, endMS int) target.Run {
	return target.Run{User: id, StartedAt: atMS(startMS), EndedAt: atMS(endMS), Status: target.StatusComplete}
}

func newOutcome(id, key string, attempts ...load.Attempt) *load.Outcome {
	return &load.Outcome{Request: &load.Request{ID: id, IdempotencyKey: key, Prompt: "abcd", MaxTokens: 1}, Attempts: attempts}
}

func TestDispatchViolationCounts(t *testing.T) {
	refused := load.Attempt{Verdict: load.VerdictRefused, RunStatus: "not_run", EndedAt: atMS(500)}
	connectionLost := load.Attempt{Verdict: load.VerdictConnectionLost, EndedAt: atMS(100)}
	complete := load.Attempt{Verdict: load.VerdictComplete, EndedAt: atMS(100)}
	cases := map[string]struct {
		outcome                         *load.Outcome
		runs                            []target.Run
		wantDuplicates, wantFalseNotRun int
	}{
		"one run":                     {newOutcome("a", "k", complete), []target.Run{newRun("a", 0, 9)}, 0, 0},
		"key, run twice":              {newOutcome("a", "k", connectionLost, complete), []target.Run{newRun("a", 0, 9), newRun("a", 1, 9)}, 1, 0},
		"no key, run twice":           {newOutcome("a", "", complete), []target.Run{newRun("a", 0, 9), newRun("a", 1, 9)}, 1, 0},
		"no key, sent and run twice":  {newOutcome("a", "", connectionLost, complete), []target.Run{newRun("a", 0, 9), newRun("a", 1, 9)}, 0, 0},
		"no key, resumed, run twice":  {newOutcome("a", "", connectionLost, load.Attempt{Verdict: load.VerdictComplete, IsResumption: true}), []target.Run{newRun("a", 0, 9), newRun("a", 1, 9)}, 1, 0},
		"refused and not run":         {newOutcome("a", "", refused), nil, 0, 0},
		"refused and run":             {newOutcome("a", "", refused), []target.Run{newRun("a", 0, 9)}, 0, 1},
		"refused and run later":       {newOutcome("a", "", refused), []target.Run{newRun("a", 600, 700)}, 0, 1},
		"key, refused after a run":    {newOutcome("a", "k", connectionLost, refused), []target.Run{newRun("a", 0, 9)}, 0, 1},
		"key, refused before its run": {newOutcome("a", "k", refused, complete), []target.Run{newRun("a", 600, 700)}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gt := newGroundTruth(c.runs)
			outcomes := []*load.Outcome{c.outcome}
			assert.Equal(t, gt.duplicateDispatches(outcomes), c.wantDuplicates)
			assert.Equal(t, gt.falseNotRun(outcomes), c.wantFalseNotRun)
			c.outcome.Request.Kind = load.KindService
			assert.Equal(t, gt.nonIdempotentDoubles(outcomes), c.wantDuplicates)
		})
	}
	assert.Equal(t, countWrongOrTruncated([]*load.Outcome{
		newOutcome("a", "", load.Attempt{Verdict: load.VerdictWrong}), newOutcome("b", "", load.Attempt{Verdict: load.VerdictTruncated}),
		newOutcome("c", "", complete), newOutcome("d", "", connectionLost),
	}), 2)
}

func TestCountShedWhileLowerRan(t *testing.T) {
	shed := load.Attempt{Verdict: load.VerdictRefused, RunStatus: "not_run", EndedAt: atMS(1000)}
	high := newOutcome("high", "", shed)
	low := newOutcome("low", "")
	low.Request.Tier = 3
	cases := map[string]struct {
		lowRun target.Run
		want   int
	}{
		"lower tier running":                {newRun("low", 500, 1500), 1},
		"lower tier ended before":           {newRun("low", 500, 999), 0},
		"lower tier started during transit": {newRun("low", 970, 1500), 0},
		"lower tier without an end time":    {target.Run{User: "low", StartedAt: atMS(500)}, 1},
		"same tier":                         {newRun("high", 500, 1500), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := countShedWhileLowerRan([]*load.Outcome{high, low}, newGroundTruth([]target.Run{c.lowRun}))
			assert.Equal(t, got, c.want)
		})
	}
}

func TestGoodputAndFairness(t *testing.T) {
	answered := load.Attempt{Verdict: load.VerdictComplete, SentAt: atMS(0), EndedAt: atMS(1000)}
	late := load.Attempt{Verdict: load.VerdictComplete, SentAt: atMS(0), EndedAt: atMS(3000)}
	outcomes := []*load.Outcome{newOutcome("1", "", answered), newOutcome("2", "", late), newOutcome("3", "", answered), newOutcome("4", "", answered)}
	outcomes[1].Request.Account = "slow"

	assert.Equal(t, goodputByTier(outcomes, 2*time.Second)[0], 0.75)
	assert.Equal(t, worstAccountFairness(outcomes, 2*time.Second), 0.0)
	assert.Equal(t, worstAccountFairness(outcomes, 4*time.Second), 1.0)
}

func TestWastedPrefillRatio(t *testing.T) {
	block := string(make([]byte, target.BlockBytes))
	first, second := newOutcome("1", ""), newOutcome("2", "")
	first.Request.Prompt, second.Request.Prompt = block, block
	runs := []target.Run{newRun("1", 0, 1), newRun("2", 2, 3)}
	runs[0].PromptTokens, runs[1].PromptTokens = target.BlockTokens, target.BlockTokens

	assert.Equal(t, wastedPrefillRatio([]*load.Outcome{first, second}, newGroundTruth(runs)), 0.5)
	runs[1].CachedTokens = target.BlockTokens
	assert.Equal(t, wastedPrefillRatio([]*load.Outcome{first, second}, newGroundTruth(runs)), 0.0)
}

func TestWriteJSONOneObjectPerLine(t *testing.T) {
	value := 2.0
	var out bytes.Buffer
	assert.NilError(t, WriteJSON(&out, []Figure{{Measure: "m", Seed: 3, Name: "n", Value: 1, Unit: "s", Baseline: &value}}))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.DeepEqual(t, line, map[string]any{
		"measure": "m", "seed": 3.0, "name": "n", "value": 1.0, "unit": "s", "baseline": 2.0,
	})
}
