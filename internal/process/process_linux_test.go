package process

import (
	"os"
	"runtime/debug"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseStatus(t *testing.T) {
	u := parseStatus("Name:\thibiscuspost\nUmask:\t0022\nVmSize:\t 1700000 kB\nVmHWM:\t   22000 kB\n" +
		"VmRSS:\t   21000 kB\nVmData:\t  155000 kB\nThreads:\t11\nSigQ:\t0/1\nVmLck:\n")
	assert.DeepEqual(t, u, Usage{
		ResidentBytes: 21000 << 10, PeakResidentBytes: 22000 << 10, DataBytes: 155000 << 10,
		AddressSpaceBytes: 1700000 << 10, Threads: 11,
	})
}

func TestUsageOfThisProcess(t *testing.T) {
	before := ReadUsage()
	assert.Assert(t, before.ResidentBytes > 0 && before.PeakResidentBytes >= before.ResidentBytes, "%+v", before)
	assert.Assert(t, before.DataBytes > 0 && before.AddressSpaceBytes >= before.DataBytes, "%+v", before)
	assert.Assert(t, before.Threads > 0 && before.Processors > 0, "%+v", before)
	const opened = 5
	for range opened {
		f, err := os.Open(os.DevNull)
		assert.NilError(t, err)
		defer f.Close()
	}
	assert.Equal(t, ReadUsage().Descriptors, before.Descriptors+opened)
}

func TestLimitsOfThisProcess(t *testing.T) {
	var limit syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	previous := debug.SetMemoryLimit(1 << 30)
	defer debug.SetMemoryLimit(previous)
	got := ReadLimits()
	assert.Equal(t, got.Descriptors, limit.Cur)
	assert.Equal(t, got.RuntimeMemoryBytes, int64(1<<30))
}
