package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRunTableIgnoresExtraRemove(t *testing.T) {
	var r runTable
	r.remove("f", "t")
	r.add("f", "t")
	r.add("f", "t")
	r.remove("f", "t")
	assert.DeepEqual(t, r.fingerprints("t"), []Fingerprint{"f"})
	r.remove("f", "t")
	r.remove("f", "t")
	assert.Equal(t, len(r.fingerprints("t")), 0)
	assert.Equal(t, len(r.fingerprints("other")), 0)
}
