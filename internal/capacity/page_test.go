package capacity

import (
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const pageFile = "../../docs/CAPACITY.md"

// TestPageIsTheArithmeticOfTheSlopes redoes the page from the recorded slopes.
func TestPageIsTheArithmeticOfTheSlopes(t *testing.T) {
	list, slopes, err := RecordedSlopes()
	assert.NilError(t, err)
	page := Page(TwoYearSize, list, slopes)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(page), 0o644))
	}
	written, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	assert.Equal(t, string(written), page)
}

// TestRecordedLinesFitTheirPoints fits every line again.
func TestRecordedLinesFitTheirPoints(t *testing.T) {
	list, _, err := RecordedSlopes()
	assert.NilError(t, err)
	for _, s := range list {
		again := s.Refit()
		near(t, s.Name+" base", s.Fit.Base, again.Base)
		near(t, s.Name+" slope", s.Fit.Slope, again.Slope)
		near(t, s.Name+" R2", s.Fit.R2, again.R2)
		assert.Assert(t, s.Command != "" && s.Commit != "" && s.Date != "" && s.Unit != "", s.Name)
	}
}

func near(t *testing.T, name string, recorded, again float64) {
	t.Helper()
	const part = 1e-6
	assert.Assert(t, math.Abs(recorded-again) <= part*max(1e-3, math.Abs(again)), "%s: %v, fitted again %v", name, recorded, again)
}

// TestEveryCostHasARecordedSlope finds figures whose slope is missing.
func TestEveryCostHasARecordedSlope(t *testing.T) {
	_, slopes, err := RecordedSlopes()
	assert.NilError(t, err)
	for _, r := range append(Roles(TwoYearSize, slopes), WholeInstance(TwoYearSize, slopes)) {
		for _, c := range []Cost{r.MessagesPerS, r.BytesPerS, r.CPU, r.MemoryMB, r.WritesPerS, r.ReadsPerS} {
			for _, name := range c.SlopeNames {
				assert.Assert(t, slopes[name] != nil, "%s: %s", r.Name, name)
			}
		}
	}
}

func TestCostWithoutItsSlopeIsNotKnown(t *testing.T) {
	for _, r := range Roles(TwoYearSize, nil) {
		assert.Assert(t, !r.BytesPerS.Known, r.Name)
		assert.Equal(t, r.BytesPerS.text(0), "not measured")
	}
}

// TestArithmetic redoes single figures by hand.
func TestArithmetic(t *testing.T) {
	slopes := Slopes{
		"fleet.peer_bytes.by_targets": {Fit: Fit{Base: 5, Slope: 100}},
		"control.cpu.by_requests":     {Fit: Fit{Base: 1, Slope: 0.001}},
	}
	size := Size{Instances: 10, Targets: 50, RequestsPerS: 200}
	roles := Roles(size, slopes)
	assert.DeepEqual(t, roles[3].BytesPerS, known(5000, "fleet.peer_bytes.by_targets"))
	assert.DeepEqual(t, roles[2].CPU, known(0.08, "control.cpu.by_requests"))
	assert.Equal(t, against(roles[3].BytesPerS, ControlBudget.BytesPerS, 0), "**5000** (over 4096)")
	assert.Equal(t, share(roles[2].CPU), "**8.00** (over 1.1) %")
}
