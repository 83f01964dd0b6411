package measure

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
)

// statmFile contains the memory use of this process in pages; its second field is
// the resident set size.
const statmFile = "/proc/self/statm"

// resourceUsage is the resource usage of this process at one time.
type resourceUsage struct {
	takenAt      time.Time
	networkBytes uint64 // total between instances, and to and from the platform
	cpuTime      time.Duration
	rssBytes     int64 // resident set
	inUseBytes   int64 // heap and stacks in use after a garbage collection
}

// readResourceUsage reads the resource usage of this process after a garbage
// collection. With a nil server, the bytes of the platform are not counted.
func readResourceUsage(server *platform.Server) (resourceUsage, error) {
	debug.FreeOSMemory()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	rss, err := residentBytes()
	if err != nil {
		return resourceUsage{}, err
	}
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return resourceUsage{}, errors.Wrap(err, "read processor time")
	}
	usage := resourceUsage{
		takenAt:      time.Now(),
		networkBytes: peer.BytesTransferred(),
		cpuTime:      time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		rssBytes:     rss,
		inUseBytes:   int64(memory.HeapInuse + memory.StackInuse),
	}
	if server != nil {
		usage.networkBytes += server.BytesTransferred()
	}
	return usage, nil
}

// residentBytes returns the resident set size of this process.
func residentBytes() (int64, error) {
	content, err := os.ReadFile(statmFile)
	if err != nil {
		return 0, errors.Wrap(err, "read resident set size")
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, errors.Newf("parse %s: want at least 2 fields, got %q", statmFile, content)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, statmFile)
	}
	return pages * int64(os.Getpagesize()), nil
}
