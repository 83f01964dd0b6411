package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A figure that must be 0 for the system is meaningful only if its check detects
// violations. The baseline does not prevent them, so its figures must be positive.
func TestBaselineHasViolations(t *testing.T) {
	o := Options{Seed: 1, Duration: 3 * time.Second}
	pressureResult, err := pressureExperiment(o).run(t.Context(), startNaiveFleet)
	assert.NilError(t, err)
	onceResult, err := onceExperiment(o).run(t.Context(), startNaiveFleet)
	assert.NilError(t, err)

	figures := append(pressureFigures(pressureResult), onceFigures(onceResult)...)

	wantPositive := map[string]bool{
		"shed_higher_while_lower_ran": true, "duplicate_dispatches": true, "non_idempotent_doubles": true,
	}
	for _, figure := range figures {
		if wantPositive[figure.Name] {
			assert.Assert(t, figure.Value > 0, figure.Name)
			delete(wantPositive, figure.Name)
		}
	}
	assert.Equal(t, len(wantPositive), 0)
}

func TestBaselineHasLateDispatches(t *testing.T) {
	o := Options{Seed: 1, Duration: 8 * time.Second}
	figures, err := measureDrain(t.Context(), o, startNaiveFleet)
	assert.NilError(t, err)
	assert.Equal(t, figures[0].Name, "late_dispatches_to_leaving")
	assert.Assert(t, figures[0].Value > 0)
}
