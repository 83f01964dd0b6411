package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

func TestCountLateDispatches(t *testing.T) {
	leaving := map[string]time.Time{"t": atMS(0)}
	early := target.Run{Target: "t", StartedAt: atMS(900)}
	late := target.Run{Target: "t", StartedAt: atMS(1100)}
	otherTarget := target.Run{Target: "u", StartedAt: atMS(1100)}
	r := &experimentResult{
		groundTruth:      newGroundTruth([]target.Run{early, late, otherTarget}),
		refusalsByEngine: map[string][]target.Refusal{"t": {{ReceivedAt: atMS(500)}, {ReceivedAt: atMS(2000)}}},
	}

	assert.Equal(t, countLateDispatches(r, leaving, time.Second), 2)
}

func TestCountCutByShutdown(t *testing.T) {
	shutdownStarts := map[string]time.Time{"http://a": atMS(1000)}
	cases := map[string]struct {
		attempt load.Attempt
		want    int
	}{
		"connection lost":                     {load.Attempt{URL: "http://a", Verdict: load.VerdictConnectionLost, EndedAt: atMS(1100)}, 1},
		"connection lost before the shutdown": {load.Attempt{URL: "http://a", Verdict: load.VerdictConnectionLost, EndedAt: atMS(900)}, 0},
		"connection lost at another instance": {load.Attempt{URL: "http://b", Verdict: load.VerdictConnectionLost, EndedAt: atMS(1100)}, 0},
		"complete":                            {load.Attempt{URL: "http://a", Verdict: load.VerdictComplete, EndedAt: atMS(1100)}, 0},
		"truncated":                           {load.Attempt{URL: "http://a", Verdict: load.VerdictTruncated, EndedAt: atMS(1100)}, 1},
		"refused, ran in part":                {load.Attempt{URL: "http://a", Verdict: load.VerdictRefused, RunStatus: "ran_in_part", EndedAt: atMS(1100)}, 1},
		"refused, not run":                    {load.Attempt{URL: "http://a", Verdict: load.VerdictRefused, RunStatus: "not_run", EndedAt: atMS(1100)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, countCutByShutdown([]*load.Outcome{newOutcome("x", "", c.attempt)}, shutdownStarts), c.want)
		})
	}
}

func TestConfigHistory(t *testing.T) {
	cases := map[string]struct {
		record                func(h *configHistory)
		wantReverts, wantLost int
		wantMaxPropagation    time.Duration
	}{
		"reached by the instance": {func(h *configHistory) {
			h.recordObservation("a", 1, "x", atMS(0))
			h.recordAcceptance(2, "y", atMS(100))
			h.recordObservation("a", 2, "y", atMS(350))
		}, 0, 0, 250 * time.Millisecond},
		"reverted to a lower version": {func(h *configHistory) {
			h.recordObservation("a", 2, "y", atMS(0))
			h.recordObservation("a", 1, "x", atMS(100))
		}, 1, 0, 0},
		"another marker at an instance": {func(h *configHistory) {
			h.recordObservation("a", 1, "x", atMS(0))
			h.recordAcceptance(2, "y", atMS(100))
			h.recordObservation("a", 2, "z", atMS(200))
		}, 0, 1, 100 * time.Millisecond},
		"version accepted twice": {func(h *configHistory) {
			h.recordAcceptance(2, "y", atMS(100))
			h.recordAcceptance(2, "z", atMS(100))
		}, 0, 2, 0},
		"not reached by a live instance": {func(h *configHistory) {
			h.recordObservation("late", 1, "x", atMS(200))
			h.recordAcceptance(2, "y", atMS(100))
		}, 0, 1, 0},
		"instance ended before": {func(h *configHistory) {
			h.recordObservation("a", 1, "x", atMS(0))
			h.recordAcceptance(2, "y", atMS(100))
			h.recordEnd("a")
		}, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newConfigHistory()
			c.record(h)
			assert.Equal(t, h.revertCount(), c.wantReverts)
			assert.Equal(t, h.lostCount(), c.wantLost)
			assert.Equal(t, h.maxPropagationTime(), c.wantMaxPropagation)
		})
	}
}
