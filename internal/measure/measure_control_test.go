package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestControlCostPerInstance(t *testing.T) {
	before := resourceUsage{rssBytes: 10 * bytesPerMB, inUseBytes: bytesPerMB}
	first := resourceUsage{takenAt: atMS(0), networkBytes: 1000, cpuTime: time.Second, rssBytes: 12 * bytesPerMB}
	last := resourceUsage{takenAt: atMS(2000), networkBytes: 9000, cpuTime: 2 * time.Second, rssBytes: 18 * bytesPerMB, inUseBytes: 5 * bytesPerMB}

	cost := costBetween(before, first, last, 4)

	assert.Equal(t, cost, controlCost{bytesPerSecond: 1000, cpuShare: 0.125, rssMB: 2, liveMB: 1})
}
