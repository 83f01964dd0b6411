package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, which goes on while the machine is
// suspended, unlike the steady clock; 0 if it is not known.
func bootTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
