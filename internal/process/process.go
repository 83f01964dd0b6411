// Package process reads what the operating system counts for this process, and its limits.
// The runtime's own figures leave out thread stacks, static data and mapped memory.
package process

import (
	"os"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"
)

// Usage is what the process takes. Fields that the system doesn't tell are 0.
type Usage struct {
	// ResidentBytes are the pages in memory, PeakResidentBytes the most since the start.
	ResidentBytes     int64 `json:"resident_bytes"`
	PeakResidentBytes int64 `json:"peak_resident_bytes"`
	// DataBytes is the size of private writable mappings, used or not, which is what
	// RLIMIT_DATA bounds; AddressSpaceBytes is the size of all mappings, bounded by RLIMIT_AS.
	DataBytes         int64 `json:"data_bytes"`
	AddressSpaceBytes int64 `json:"address_space_bytes"`
	Threads           int64 `json:"threads"`
	Descriptors       int64 `json:"descriptors"`
	// AvailableBytes is what the runtime may map in total within the limits on mappings, -1 without
	// any.
	AvailableBytes int64 `json:"available_bytes"`
	// Processors is GOMAXPROCS.
	Processors int    `json:"processors"`
	Limits     Limits `json:"limits"`
}

// Limits are the limits of the process. 0 stands for no limit, and for one that the system
// doesn't tell.
type Limits struct {
	Descriptors       uint64 `json:"descriptors"`
	DataBytes         uint64 `json:"data_bytes"`
	AddressSpaceBytes uint64 `json:"address_space_bytes"`
	// RuntimeMemoryBytes is the soft limit on the memory of the Go runtime.
	RuntimeMemoryBytes int64 `json:"runtime_memory_bytes"`
}

// ReadUsage returns what the process takes now.
func ReadUsage() Usage {
	mapped := mappedByRuntime()
	u := readUsage()
	u.Processors, u.Limits = runtime.GOMAXPROCS(0), ReadLimits()
	u.AvailableBytes = availableBytes(u, u.Limits, mapped)
	return u
}

// ReadLimits returns the limits in force.
func ReadLimits() Limits {
	l := readLimits()
	l.RuntimeMemoryBytes = debug.SetMemoryLimit(-1)
	return l
}

// StartFields returns the log fields that identify the process and state its limits.
func StartFields() []zap.Field {
	u := ReadUsage()
	l := u.Limits
	return []zap.Field{
		zap.Int("pid", os.Getpid()), zap.Int("processors", runtime.GOMAXPROCS(0)),
		zap.Uint64("limit_descriptors", l.Descriptors), zap.Uint64("limit_data_bytes", l.DataBytes),
		zap.Uint64("limit_address_space_bytes", l.AddressSpaceBytes),
		zap.Int64("limit_runtime_memory_bytes", l.RuntimeMemoryBytes),
		zap.Int64("resident_bytes", u.ResidentBytes), zap.Int64("data_bytes", u.DataBytes),
		zap.Int64("address_space_bytes", u.AddressSpaceBytes), zap.Int64("available_bytes", u.AvailableBytes),
	}
}
