package process

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAvailableBytes(t *testing.T) {
	const mb = 1 << 20
	for _, test := range []struct {
		name                                     string
		data, addresses, runtime, dataLimit, all int64
		want                                     int64
	}{
		{"no limit", 80 * mb, 1200 * mb, 12 * mb, 0, 0, unlimited},
		{"data segment", 80 * mb, 1200 * mb, 12 * mb, 134 * mb, 0, 66 * mb},
		{"address space", 80 * mb, 1200 * mb, 12 * mb, 0, 1300 * mb, 112 * mb},
		{"the lower of both", 80 * mb, 1200 * mb, 12 * mb, 134 * mb, 1300 * mb, 66 * mb},
		{"beyond the limit", 80 * mb, 1200 * mb, 12 * mb, 60 * mb, 0, 0},
		{"sizes that are not known", 0, 0, 12 * mb, 134 * mb, 0, 134 * mb},
		{"a limit that no size reaches", 80 * mb, 1200 * mb, 12 * mb, math.MinInt64, 0, unlimited},
	} {
		got := availableBytes(Usage{DataBytes: test.data, AddressSpaceBytes: test.addresses},
			Limits{DataBytes: uint64(test.dataLimit), AddressSpaceBytes: uint64(test.all)}, test.runtime)
		assert.Check(t, got == test.want, "%s: %d", test.name, got)
	}
}

func TestMappedByRuntime(t *testing.T) {
	assert.Assert(t, mappedByRuntime() > 0)
}

func TestMemoryBudget(t *testing.T) {
	const mb = 1 << 20
	for _, test := range []struct{ stated, available, want int64 }{
		{0, unlimited, 0},
		{134 * mb, unlimited, 134 * mb},
		{134 * mb, 66 * mb, 66 * mb},
		{134 * mb, 200 * mb, 134 * mb},
		{0, 66 * mb, 66 * mb},
		{134 * mb, 0, minMemoryBudget},
		{8 * mb, 0, 8 * mb},
	} {
		got := memoryBudget(test.stated, test.available)
		assert.Check(t, got == test.want, "%+v: %d", test, got)
	}
}
