package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
)

const (
	// testDelay is the time without a connection to a target after which the instance's
	// own links are tested: several times the setup of a connection.
	testDelay = 50 * time.Millisecond
	// maxTested bounds the other targets that are tried for a test, testDialTimeout the
	// connection to each.
	maxTested       = 3
	testDialTimeout = 50 * time.Millisecond
)

// testLinks returns a function that reports whether the instance has reached a target other
// than the one at the address since the given time. An instance that has just lost its
// links and does not know yet must not call targets unreachable. Other targets are tried
// from testDelay on or once the function is called, unless the context has ended.
func (s *Server) testLinks(ctx context.Context, address string, since time.Time) func() bool {
	reaches := sync.OnceValue(func() bool { return s.reachesOther(ctx, address) })
	heard := func() bool { return s.Paths.HeardOther(address, since) }
	timer := time.AfterFunc(testDelay, func() {
		contain.Run(s.Logger, "test of the links", func() {
			if ctx.Err() == nil && !heard() {
				reaches()
			}
		})
	})
	return func() bool {
		timer.Stop()
		return heard() || reaches()
	}
}

// reachesOther tries to connect to other targets. If none is known, nothing speaks against
// the instance's links.
func (s *Server) reachesOther(ctx context.Context, address string) bool {
	others := s.Others(address, maxTested)
	for _, other := range others {
		dialCtx, cancel := context.WithTimeout(ctx, testDialTimeout)
		conn, err := s.Paths.DialDirect(dialCtx, other)
		cancel()
		if err == nil {
			_ = conn.Close()
			return true
		}
	}
	return len(others) == 0
}
