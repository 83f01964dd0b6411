package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRunTableIgnoresExtraRemove(t *testing.T) {
	r := New(Options{})
	first, second := r.Start("f", "t", 0), r.Start("f", "t", 0)
	r.running.remove(first)
	r.running.remove(first)
	assert.DeepEqual(t, r.running.fingerprints("t"), []Fingerprint{"f"})
	r.running.remove(second)
	r.running.remove(second)
	assert.Equal(t, len(r.running.fingerprints("t")), 0)
	assert.Equal(t, len(r.running.fingerprints("other")), 0)
}
