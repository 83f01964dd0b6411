package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestControlCostIsDivided(t *testing.T) {
	before := usage{rss: 10 * bytesPerMB, live: bytesPerMB}
	first := usage{at: after(0), bytes: 1000, cpu: time.Second, rss: 12 * bytesPerMB}
	last := usage{at: after(2000), bytes: 9000, cpu: 2 * time.Second, rss: 18 * bytesPerMB, live: 5 * bytesPerMB}

	cost := costBetween(before, first, last, 4)

	assert.Equal(t, cost, controlCost{bytesPerS: 1000, cpuShare: 0.125, rssMB: 2, liveMB: 1})
}
