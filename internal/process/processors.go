package process

import "runtime"

const (
	// hundredthsPerCore is the number of units of a CPU share in a core.
	hundredthsPerCore = 100
	// minProcessors lets the garbage collector and system calls run beside requests.
	minProcessors = 2
)

// LimitProcessors lowers GOMAXPROCS to what the CPU share, in hundredths of a core, can use:
// each processor takes memory for its caches and at least one thread. A share of 0 is unknown
// and changes nothing.
func LimitProcessors(cpuShare int) {
	if n := usefulProcessors(cpuShare, runtime.GOMAXPROCS(0)); n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
}

// usefulProcessors returns how many of the processors a CPU share can use.
func usefulProcessors(cpuShare, processors int) int {
	if cpuShare <= 0 {
		return processors
	}
	cores := (cpuShare + hundredthsPerCore - 1) / hundredthsPerCore
	return min(processors, max(minProcessors, cores))
}
