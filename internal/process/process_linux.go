package process

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// bytesPerKB is the unit of sizes in /proc/self/status.
const bytesPerKB = 1 << 10

func readUsage() Usage {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return Usage{}
	}
	u := parseStatus(string(text))
	u.Descriptors = countDescriptors()
	return u
}

// parseStatus parses the content of /proc/self/status.
func parseStatus(text string) Usage {
	var u Usage
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		number, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			continue
		}
		switch name {
		case "VmRSS":
			u.ResidentBytes = number * bytesPerKB
		case "VmHWM":
			u.PeakResidentBytes = number * bytesPerKB
		case "VmData":
			u.DataBytes = number * bytesPerKB
		case "VmSize":
			u.AddressSpaceBytes = number * bytesPerKB
		case "Threads":
			u.Threads = number
		}
	}
	return u
}

// countDescriptors returns the number of open descriptors, 0 if it is not known.
func countDescriptors() int64 {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return 0
	}
	// The descriptor of the directory itself is among them.
	return int64(len(names)) - 1
}

func readLimits() Limits {
	return Limits{
		Descriptors: readLimit(syscall.RLIMIT_NOFILE), DataBytes: readLimit(syscall.RLIMIT_DATA),
		AddressSpaceBytes: readLimit(syscall.RLIMIT_AS),
	}
}

// readLimit returns the soft limit of a resource, 0 if there is none.
func readLimit(resource int) uint64 {
	const infinity = ^uint64(0)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(resource, &limit); err != nil || limit.Cur == infinity {
		return 0
	}
	return limit.Cur
}
