//go:build !linux

package node

import "time"

// bootTime returns 0: the time is not known.
func bootTime() time.Duration { return 0 }
