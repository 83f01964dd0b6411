package process

import "runtime"

const (
	// hundredthsPerCore is the number of units of a CPU share in a core.
	hundredthsPerCore = 100
	// minProcessors lets the garbage collector and system calls run beside requests.
	minProcessors = 2
	// memoryPerProcessor is the memory of the instance for each processor: all of them may allocate
	// a long body until a collection has ended.
	memoryPerProcessor = 32 << 20
)

// LimitProcessors lowers GOMAXPROCS to what the CPU share, in hundredths of a core, can use and
// the memory, in bytes, allows: each processor takes memory for its caches, at least one thread and
// what it allocates during a collection. What is 0 is unknown and changes nothing.
func LimitProcessors(cpuShare int, memoryBytes int64) {
	if n := usefulProcessors(cpuShare, memoryBytes, runtime.GOMAXPROCS(0)); n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
}

// usefulProcessors returns how many of the processors a CPU share can use and the memory allows.
func usefulProcessors(cpuShare int, memoryBytes int64, processors int) int {
	limit := processors
	if cpuShare > 0 {
		limit = min(limit, (cpuShare+hundredthsPerCore-1)/hundredthsPerCore)
	}
	if memoryBytes > 0 {
		limit = min(limit, int(memoryBytes/memoryPerProcessor))
	}
	return min(processors, max(minProcessors, limit))
}
