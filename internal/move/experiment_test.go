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
	seedsFlag  = flag.Int("seeds", 1, "seeds of the experiment, from 1")
	goodFlag   = flag.Bool("good", false, "run good versions only")
	policyFlag = flag.String("policy", "moves", "moves, no-control or naive")
)

// moveResult is the end of one move.
type moveResult struct {
	defect, disturbance string
	rolledBack, done    bool
	exposedFraction     float64
	lateRequests        int
	reason              string
	seed                uint64
}

// simulateMove runs one move to its end.
func simulateMove(seed uint64, d defect, disturbance disturbance, policy string) moveResult {
	sim := newSimulation(seed, d, disturbance)
	if policy == "naive" {
		sim.fixedPolicy = &fixedThresholdPolicy{}
	}
	for _, m := range sim.managers {
		m.historicalControl = policy == "no-control"
	}
	sim.warmUp()
	ended := func() bool { return sim.rolledBackAt >= 0 && sim.now > sim.rolledBackAt+5*time.Second }
	sim.run(moveTime, ended)
	r := moveResult{defect: d.name, disturbance: disturbance.name, seed: seed, lateRequests: sim.late}
	r.exposedFraction = float64(sim.exposed) / (requestsPerSecond * moveTime.Seconds())
	if sim.fixedPolicy != nil {
		r.rolledBack, r.done = sim.fixedPolicy.rolledBack, !sim.fixedPolicy.rolledBack
		return r
	}
	status := sim.managers[0].Status()[0]
	r.rolledBack, r.done, r.reason = sim.rolledBackAt >= 0, status.State == StatusDone, status.Reason
	return r
}

// warmUp lets the old version serve and then names the new one.
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

// TestMovesByKind runs every kind of version under every trouble and prints
// the figures by kind. With -seeds 10 it is the measurement of the design note;
// with one seed it is a short check.
func TestMovesByKind(t *testing.T) {
	simulations := concpool.NewWithResults[moveResult]().WithMaxGoroutines(5)
	candidates := append([]defect{{}}, defects...)
	if *goodFlag {
		candidates = candidates[:1]
	}
	for i, d := range candidates {
		for k, disturbance := range disturbances {
			// With one seed each kind meets one trouble, good versions two.
			if *seedsFlag == 1 && (i+k)%len(disturbances) != 0 && (d.name != "" || k != 1) {
				continue
			}
			for seed := range *seedsFlag {
				simulations.Go(func() moveResult { return simulateMove(uint64(seed)+1, d, disturbance, *policyFlag) })
			}
		}
	}
	all := simulations.Wait()
	for _, d := range candidates {
		for _, disturbance := range disturbances {
			if row := tableRow(all, d.name, disturbance.name); row != "" {
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
	var f resultSummary
	good, bad := 0.0, 0.0
	for _, r := range all {
		if r.defect == "" {
			good++
			f.goodDone += asNumber(r.done)
			f.goodRolledBack += asNumber(r.rolledBack)
			continue
		}
		bad++
		f.badRolledBack += asNumber(r.rolledBack)
		f.maxExposedFraction = max(f.maxExposedFraction, r.exposedFraction)
		f.lateRequests += r.lateRequests
	}
	f.badRolledBack, f.goodDone, f.goodRolledBack = f.badRolledBack/bad, f.goodDone/good, f.goodRolledBack/good
	return f
}

func asNumber(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

func tableRow(all []moveResult, defect, disturbance string) string {
	runs, rolledBack, done, maxExposedFraction, unexpected := 0, 0.0, 0.0, 0.0, ""
	for _, r := range all {
		if r.defect != defect || r.disturbance != disturbance {
			continue
		}
		runs++
		rolledBack += asNumber(r.rolledBack)
		done += asNumber(r.done)
		maxExposedFraction = max(maxExposedFraction, r.exposedFraction)
		if r.rolledBack != (defect != "") {
			unexpected += fmt.Sprintf(" [seed %d: %s]", r.seed, r.reason)
		}
	}
	if runs == 0 {
		return ""
	}
	if defect == "" {
		defect = "good"
	}
	return fmt.Sprintf("| %-22s | %-20s | %2.0f/%d | %2.0f/%d | %.4f |%s", defect, disturbance, rolledBack, runs, done, runs, maxExposedFraction, unexpected)
}
