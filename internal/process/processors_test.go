package process

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUsefulProcessors(t *testing.T) {
	for _, test := range []struct{ cpuShare, memoryMB, processors, want int }{
		{0, 0, 64, 64},
		{-1, 0, 8, 8},
		{40, 0, 64, 2},
		{40, 0, 1, 1},
		{200, 0, 64, 2},
		{201, 0, 64, 3},
		{400, 0, 3, 3},
		{6400, 0, 64, 64},
		{0, 136, 64, 4},
		{0, 136, 3, 3},
		{0, 32, 64, 2},
		{0, 4096, 64, 64},
		{300, 136, 64, 3},
		{6400, 136, 64, 4},
	} {
		assert.Check(t, usefulProcessors(test.cpuShare, int64(test.memoryMB)<<20, test.processors) == test.want, "%+v", test)
	}
}
