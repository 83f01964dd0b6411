package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

func TestLateDispatches(t *testing.T) {
	leaving := map[string]time.Time{"t": after(0)}
	early := target.Run{Target: "t", StartedAt: after(900)}
	late := target.Run{Target: "t", StartedAt: after(1100)}
	other := target.Run{Target: "u", StartedAt: after(1100)}
	r := &result{
		truth:   newTruth([]target.Run{early, late, other}),
		refused: map[string][]target.Refusal{"t": {{ReceivedAt: after(500)}, {ReceivedAt: after(2000)}}},
	}

	assert.Equal(t, lateDispatches(r, leaving, time.Second), 2)
}

func TestCutByShutdown(t *testing.T) {
	ended := map[string]time.Time{"http://a": after(1000)}
	cases := map[string]struct {
		attempt load.Attempt
		want    int
	}{
		"broken":         {load.Attempt{URL: "http://a", Verdict: load.Broken, Ended: after(1100)}, 1},
		"broken before":  {load.Attempt{URL: "http://a", Verdict: load.Broken, Ended: after(900)}, 0},
		"broken at b":    {load.Attempt{URL: "http://b", Verdict: load.Broken, Ended: after(1100)}, 0},
		"whole":          {load.Attempt{URL: "http://a", Verdict: load.Whole, Ended: after(1100)}, 0},
		"partial":        {load.Attempt{URL: "http://a", Verdict: load.Partial, Ended: after(1100)}, 1},
		"ran in part":    {load.Attempt{URL: "http://a", Verdict: load.Refused, Run: "ran_in_part", Ended: after(1100)}, 1},
		"refused unsent": {load.Attempt{URL: "http://a", Verdict: load.Refused, Run: "not_run", Ended: after(1100)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, cutByShutdown([]*load.Outcome{seen("x", "", c.attempt)}, ended), c.want)
		})
	}
}

func TestConfigHistory(t *testing.T) {
	cases := map[string]struct {
		fill          func(h *history)
		reverts, lost int
		slowest       time.Duration
	}{
		"in force": {func(h *history) {
			h.saw("a", 1, "x", after(0))
			h.accepted(2, "y", after(100))
			h.saw("a", 2, "y", after(350))
		}, 0, 0, 250 * time.Millisecond},
		"went back": {func(h *history) {
			h.saw("a", 2, "y", after(0))
			h.saw("a", 1, "x", after(100))
		}, 1, 0, 0},
		"another content": {func(h *history) {
			h.saw("a", 1, "x", after(0))
			h.accepted(2, "y", after(100))
			h.saw("a", 2, "z", after(200))
		}, 0, 1, 100 * time.Millisecond},
		"accepted twice": {func(h *history) {
			h.accepted(2, "y", after(100))
			h.accepted(2, "z", after(100))
		}, 0, 2, 0},
		"never reached": {func(h *history) {
			h.saw("late", 1, "x", after(200))
			h.accepted(2, "y", after(100))
		}, 0, 1, 0},
		"ended before": {func(h *history) {
			h.saw("a", 1, "x", after(0))
			h.accepted(2, "y", after(100))
			h.ended("a")
		}, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			c.fill(h)
			assert.Equal(t, h.reverts(), c.reverts)
			assert.Equal(t, h.lost(), c.lost)
			assert.Equal(t, h.slowest(), c.slowest)
		})
	}
}
