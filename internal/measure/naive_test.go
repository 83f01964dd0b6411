package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The naive policy has none of the protecting mechanisms, so each check that
// must give 0 for the system has to rise with it.
func TestChecksRiseWithoutProtection(t *testing.T) {
	o := Options{Seed: 1, Duration: 3 * time.Second}
	pressure, err := pressureExperiment(o).run(t.Context(), startNaive)
	assert.NilError(t, err)
	once, err := onceExperiment(o).run(t.Context(), startNaive)
	assert.NilError(t, err)

	figures := append(pressureFigures(pressure), onceFigures(once)...)

	risen := map[string]bool{
		"shed_higher_while_lower_ran": true, "duplicate_dispatches": true, "non_idempotent_doubles": true,
	}
	for _, figure := range figures {
		if risen[figure.Name] {
			assert.Assert(t, figure.Value > 0, figure.Name)
			delete(risen, figure.Name)
		}
	}
	assert.Equal(t, len(risen), 0)
}

func TestLateDispatchesRiseWithoutProtection(t *testing.T) {
	o := Options{Seed: 1, Duration: 8 * time.Second}
	figures, err := drainOnce(t.Context(), o, startNaive)
	assert.NilError(t, err)
	assert.Equal(t, figures[0].Name, "late_dispatches_to_leaving")
	assert.Assert(t, figures[0].Value > 0)
}
