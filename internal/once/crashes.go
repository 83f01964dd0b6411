package once

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// maxCrashes bounds the crashes recorded.
const maxCrashes = 1024

// crash is the disappearance of an instance that was not leaving.
type crash struct {
	// Identity identifies the process.
	Identity string `json:"identity"`
	// AgeMillis is how long before the message the crash was detected.
	AgeMillis int64 `json:"age_ms"`
}

// crashLog records which instances have crashed within the resend window. The
// records of requests that they had forwarded are lost with them.
type crashLog struct {
	clock  clockwork.Clock
	window time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	view      *membership.View
	crashedAt map[string]time.Time
	leftAt    map[string]time.Time
}

func newCrashLog(clock clockwork.Clock, window time.Duration, viewer membership.Viewer) *crashLog {
	c := &crashLog{
		clock: clock, window: window, view: viewer.View(),
		crashedAt: make(map[string]time.Time), leftAt: make(map[string]time.Time),
	}
	viewer.OnChange(c.onViewChange)
	return c
}

// onViewChange records the members that have disappeared since the last view.
func (c *crashLog) onViewChange(view *membership.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, m := range c.view.Members {
		if inView(view, m.Name, m.ProcessID()) {
			continue
		}
		if m.Leaving {
			c.leftAt[identity(m)] = now
		} else {
			c.crashedAt[identity(m)] = now
		}
	}
	for _, m := range view.Members {
		delete(c.crashedAt, identity(m)) // the process was only paused
	}
	c.view = view
	c.prune(now)
}

// prune removes what is older than the window; c.mu is held.
func (c *crashLog) prune(now time.Time) {
	for _, times := range []map[string]time.Time{c.crashedAt, c.leftAt} {
		for id, at := range times {
			if now.Sub(at) > c.window {
				delete(times, id)
			}
		}
	}
}

// leftGracefully reports whether the member was leaving when it disappeared.
func (c *crashLog) leftGracefully(m membership.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.leftAt[identity(m)]
	return ok
}

// recent returns the crashes within the window.
func (c *crashLog) recent() []crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.prune(now)
	var crashes []crash
	for id, at := range c.crashedAt {
		crashes = append(crashes, crash{Identity: id, AgeMillis: now.Sub(at).Milliseconds()})
	}
	return crashes
}

// addReported adds crashes that another instance has detected.
func (c *crashLog) addReported(crashes []crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, reported := range crashes {
		at := now.Add(-time.Duration(reported.AgeMillis) * time.Millisecond)
		known, ok := c.crashedAt[reported.Identity]
		if c.isLive(reported.Identity) {
			continue
		}
		if (ok && !known.Before(at)) || len(c.crashedAt) >= maxCrashes {
			continue
		}
		c.crashedAt[reported.Identity] = at
	}
}

// isLive reports whether the process is in the current view; c.mu is held.
func (c *crashLog) isLive(id string) bool {
	for _, m := range c.view.Members {
		if identity(m) == id {
			return true
		}
	}
	return false
}

// unknownUntil returns when the resend window of the last crash ends, not
// counting a crash of the given holder. Until then a request may be sent again
// whose only records were lost.
func (c *crashLog) unknownUntil(holder membership.Member) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	for id, at := range c.crashedAt {
		if id == identity(holder) {
			continue
		}
		if end := at.Add(c.window); end.After(until) {
			until = end
		}
	}
	return until
}

func (l *Ledger) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, l.options.Clock, d)
}
