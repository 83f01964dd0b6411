package process

import (
	"math"
	"runtime/metrics"
)

// minMemoryBudget keeps a runtime that has little left from collecting garbage all the time.
const minMemoryBudget = 16 << 20

// mappedMetric is the memory that the runtime has mapped, including what it has released since: limits
// on mappings count that as well.
const mappedMetric = "/memory/classes/total:bytes"

// MemoryBudget returns the memory that the bounds of the instance are shares of: the stated memory, or
// what the limits on mappings leave to the runtime if that is less. 0 stands for no bound, in both.
func MemoryBudget(statedBytes int64) int64 {
	l := readLimits()
	if l.DataBytes == 0 && l.AddressSpaceBytes == 0 {
		return statedBytes
	}
	// The heap may grow in between: read in this order, that leaves less and not more.
	mapped := mappedByRuntime()
	return memoryBudget(statedBytes, availableBytes(readUsage(), l, mapped))
}

func memoryBudget(stated, available int64) int64 {
	if available == unlimited {
		return stated
	}
	available = max(available, minMemoryBudget)
	if stated == 0 {
		return available
	}
	return min(stated, available)
}

// unlimited stands for a memory without bound.
const unlimited = -1

// availableBytes returns how much a runtime that has mapped runtimeBytes may map in total within the
// limits on mappings, or unlimited.
func availableBytes(u Usage, l Limits, runtimeBytes int64) int64 {
	available := int64(unlimited)
	for _, mapping := range []struct {
		limit uint64
		taken int64
	}{{l.DataBytes, u.DataBytes}, {l.AddressSpaceBytes, u.AddressSpaceBytes}} {
		if mapping.limit == 0 || mapping.limit > math.MaxInt64 {
			continue
		}
		// What is taken is 0 where the system does not tell.
		left := min(int64(mapping.limit), max(0, int64(mapping.limit)-mapping.taken+runtimeBytes))
		if available == unlimited || left < available {
			available = left
		}
	}
	return available
}

// mappedByRuntime returns the memory that the runtime has mapped.
func mappedByRuntime() int64 {
	sample := []metrics.Sample{{Name: mappedMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
