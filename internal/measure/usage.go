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

// statmFile gives this process's memory in pages; its second field is the
// resident set.
const statmFile = "/proc/self/statm"

// usage is what the process has used up to a time.
type usage struct {
	at    time.Time
	bytes uint64 // between instances, and to and from the platform
	cpu   time.Duration
	rss   int64 // resident bytes
	live  int64 // bytes of heap and stacks in use after a collection
}

// takeUsage reads what this process has used; server may be nil.
func takeUsage(server *platform.Server) (usage, error) {
	debug.FreeOSMemory()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	rss, err := residentBytes()
	if err != nil {
		return usage{}, err
	}
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		return usage{}, errors.Wrap(err, "processor time")
	}
	u := usage{
		at:    time.Now(),
		bytes: peer.Carried(),
		cpu:   time.Duration(spent.Utime.Nano() + spent.Stime.Nano()),
		rss:   rss,
		live:  int64(memory.HeapInuse + memory.StackInuse),
	}
	if server != nil {
		u.bytes += server.BytesTransferred()
	}
	return u, nil
}

// residentBytes is the resident set of this process.
func residentBytes() (int64, error) {
	text, err := os.ReadFile(statmFile)
	if err != nil {
		return 0, errors.Wrap(err, "resident set")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Newf("%s: %q", statmFile, text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, statmFile)
	}
	return pages * int64(os.Getpagesize()), nil
}
