package capacity

import (
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const pageFile = "../../docs/CAPACITY.md"

// docs/CAPACITY.md must be what Page generates from the recorded slopes.
func TestPageMatchesRecordedSlopes(t *testing.T) {
	ordered, slopes, err := RecordedSlopes()
	assert.NilError(t, err)
	page := Page(TwoYearSize, ordered, slopes)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(page), 0o644))
	}
	written, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	assert.Equal(t, string(written), page)
}

// The recorded line of each slope must be the least-squares fit of its
// points.
func TestRecordedFitsMatchTheirPoints(t *testing.T) {
	ordered, _, err := RecordedSlopes()
	assert.NilError(t, err)
	for _, s := range ordered {
		refitted := s.Refit()
		assertNear(t, s.Name+" base", s.Fit.Base, refitted.Base)
		assertNear(t, s.Name+" slope", s.Fit.Slope, refitted.Slope)
		assertNear(t, s.Name+" R2", s.Fit.R2, refitted.R2)
		assert.Assert(t, s.Command != "" && s.Commit != "" && s.Date != "" && s.Unit != "", s.Name)
	}
}

func assertNear(t *testing.T, name string, recorded, refitted float64) {
	t.Helper()
	const tolerance = 1e-6
	assert.Assert(t, math.Abs(recorded-refitted) <= tolerance*max(1e-3, math.Abs(refitted)), "%s: recorded %v, fitted again %v", name, recorded, refitted)
}

// No cost may refer to a slope that is not recorded.
func TestEveryCostHasARecordedSlope(t *testing.T) {
	_, slopes, err := RecordedSlopes()
	assert.NilError(t, err)
	for _, r := range append(Roles(TwoYearSize, slopes), WholeInstance(TwoYearSize, slopes)) {
		for _, c := range []Cost{r.MessagesPerS, r.BytesPerS, r.CPU, r.MemoryMB, r.WritesPerS, r.ReadsPerS} {
			for _, name := range c.SlopeNames {
				assert.Assert(t, slopes[name] != nil, "role %s: slope %s is not recorded", r.Name, name)
			}
		}
	}
}

func TestCostWithoutItsSlopeIsUnknown(t *testing.T) {
	for _, r := range Roles(TwoYearSize, nil) {
		assert.Assert(t, !r.BytesPerS.Known, r.Name)
		assert.Equal(t, r.BytesPerS.format(0), "not measured")
	}
}

// The costs of single roles are compared with values calculated by hand.
func TestCostCalculation(t *testing.T) {
	slopes := Slopes{
		"fleet.peer_bytes.by_targets": {Fit: Fit{Base: 5, Slope: 100}},
		"control.cpu.by_requests":     {Fit: Fit{Base: 1, Slope: 0.001}},
	}
	size := Size{Instances: 10, Targets: 50, RequestsPerS: 200}
	roles := Roles(size, slopes)
	assert.DeepEqual(t, roles[3].BytesPerS, knownCost(5000, "fleet.peer_bytes.by_targets"))
	assert.DeepEqual(t, roles[2].CPU, knownCost(0.08, "control.cpu.by_requests"))
	assert.Equal(t, formatWithLimit(roles[3].BytesPerS, ControlBudget.BytesPerS, 0), "**5000** (over 4096)")
	assert.Equal(t, formatCoreShare(roles[2].CPU), "**8.00** (over 1.1) %")
}
