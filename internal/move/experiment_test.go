package move

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	concpool "github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"
)

var (
	seedsFlag  = flag.Int("seeds", 1, "number of seeds for each kind, from 1")
	goodFlag   = flag.Bool("good", false, "run good versions only")
	policyFlag = flag.String("policy", "moves", "policy to simulate: moves, no-control or naive")
)

// moveResult is the outcome of one simulated move.
type moveResult struct {
	defect, disturbance string
	rolledBack, done    bool
	exposedFraction     float64
	lateRequests        int
	reason              string
	seed                uint64
}

// simulateMove simulates one move to its end.
func simulateMove(seed uint64, d defect, dist disturbance, policy string) moveResult {
	sim := newSimulation(seed, d, dist)
	if policy == "naive" {
		sim.fixedPolicy = &fixedThresholdPolicy{}
	}
	for _, m := range sim.managers {
		m.historicalControl = policy == "no-control"
	}
	sim.warmUp()
	ended := func() bool { return sim.rolledBackAt >= 0 && sim.now > sim.rolledBackAt+5*time.Second }
	sim.run(moveTime, ended)
	r := moveResult{defect: d.name, disturbance: dist.name, seed: seed, lateRequests: sim.lateRequests}
	r.exposedFraction = float64(sim.exposedRequests) / (requestsPerSecond * moveTime.Seconds())
	if sim.fixedPolicy != nil {
		r.rolledBack, r.done = sim.fixedPolicy.rolledBack, !sim.fixedPolicy.rolledBack
		return r
	}
	status := sim.managers[0].Status()[0]
	r.rolledBack, r.done, r.reason = sim.rolledBackAt >= 0, status.State == StatusDone, status.Reason
	return r
}

// warmUp ticks with the old version configured and then names the new one.
func (sim *simulation) warmUp() {
	for range 2 {
		sim.clock.Advance(time.Second)
		for _, m := range sim.managers {
			m.tick()
			m.tableTick(context.Background())
		}
	}
	sim.start = sim.clock.Now()
	sim.setConfig(2, newVersion, sim.start.Add(moveTime))
}

// TestMovesByKind simulates moves with every defect of the new version under every
// disturbance and prints the results by kind. With -seeds 10 it is the
// measurement of the design document; with one seed it is a short check.
func TestMovesByKind(t *testing.T) {
	simulations := concpool.NewWithResults[moveResult]().WithMaxGoroutines(5)
	candidates := append([]defect{{}}, defects...)
	if *goodFlag {
		candidates = candidates[:1]
	}
	for i, d := range candidates {
		for k, dist := range disturbances {
			// With one seed, each defect gets one disturbance, a good version two.
			if *seedsFlag == 1 && (i+k)%len(disturbances) != 0 && (d.name != "" || k != 1) {
				continue
			}
			for seed := range *seedsFlag {
				simulations.Go(func() moveResult { return simulateMove(uint64(seed)+1, d, dist, *policyFlag) })
			}
		}
	}
	all := simulations.Wait()
	for _, d := range candidates {
		for _, dist := range disturbances {
			if row := tableRow(all, d.name, dist.name); row != "" {
				t.Log(row)
			}
		}
	}
	totals := summarizeResults(all)
	t.Logf("bad_taken_back_ratio %.3f bad_share_max %.4f bad_after_shown %d good_moved_in_time_ratio %.3f good_taken_back_ratio %.3f",
		totals.badRolledBack, totals.maxExposedFraction, totals.lateRequests, totals.goodDone, totals.goodRolledBack)
	if *policyFlag == "moves" {
		assert.Assert(t, *goodFlag || totals.badRolledBack == 1)
		assert.Assert(t, totals.maxExposedFraction <= 0.05)
		assert.Equal(t, totals.lateRequests, 0)
		assert.Assert(t, totals.goodDone >= 0.99)
		assert.Assert(t, totals.goodRolledBack <= 0.01)
	}
}

type resultSummary struct {
	badRolledBack, maxExposedFraction, goodDone, goodRolledBack float64
	lateRequests                                                int
}

func summarizeResults(all []moveResult) resultSummary {
	var summary resultSummary
	good, bad := 0.0, 0.0
	for _, r := range all {
		if r.defect == "" {
			good++
			summary.goodDone += asNumber(r.done)
			summary.goodRolledBack += asNumber(r.rolledBack)
			continue
		}
		bad++
		summary.badRolledBack += asNumber(r.rolledBack)
		summary.maxExposedFraction = max(summary.maxExposedFraction, r.exposedFraction)
		summary.lateRequests += r.lateRequests
	}
	summary.badRolledBack, summary.goodDone, summary.goodRolledBack = summary.badRolledBack/bad, summary.goodDone/good, summary.goodRolledBack/good
	return summary
}

func asNumber(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func tableRow(all []moveResult, d, dist string) string {
	runs, rolledBack, done, maxExposedFraction, unexpected := 0, 0.0, 0.0, 0.0, ""
	for _, r := range all {
		if r.defect != d || r.disturbance != dist {
			continue
		}
		runs++
		rolledBack += asNumber(r.rolledBack)
		done += asNumber(r.done)
		maxExposedFraction = max(maxExposedFraction, r.exposedFraction)
		if r.rolledBack != (d != "") {
			unexpected += fmt.Sprintf(" [seed %d: %s]", r.seed, r.reason)
		}
	}
	if runs == 0 {
		return ""
	}
	if d == "" {
		d = "good"
	}
	return fmt.Sprintf("| %-22s | %-20s | %2.0f/%d | %2.0f/%d | %.4f |%s", d, dist, rolledBack, runs, done, runs, maxExposedFraction, unexpected)
}
