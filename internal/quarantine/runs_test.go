package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestARunThatEndsTwiceIsCountedOnce(t *testing.T) {
	var r runs
	r.remove("f", "t")
	r.add("f", "t")
	r.add("f", "t")
	r.remove("f", "t")
	assert.DeepEqual(t, r.on("t"), []Fingerprint{"f"})
	r.remove("f", "t")
	r.remove("f", "t")
	assert.Equal(t, len(r.on("t")), 0)
	assert.Equal(t, len(r.on("other")), 0)
}
