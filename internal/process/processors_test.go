package process

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUsefulProcessors(t *testing.T) {
	for _, test := range []struct{ cpuShare, processors, want int }{
		{0, 64, 64},
		{-1, 8, 8},
		{40, 64, 2},
		{40, 1, 1},
		{200, 64, 2},
		{201, 64, 3},
		{400, 3, 3},
		{6400, 64, 64},
	} {
		assert.Check(t, usefulProcessors(test.cpuShare, test.processors) == test.want, "%+v", test)
	}
}
