package once

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// maxCrashes bounds the crashes remembered.
const maxCrashes = 1024

// crash is the disappearance of an instance that had not announced it.
type crash struct {
	// Identity names the process.
	Identity string `json:"identity"`
	// AgeMillis is how long ago it was seen, when the message was made.
	AgeMillis int64 `json:"age_ms"`
}

// crashLog remembers which instances have crashed within the resend window.
// With them their records of forwarded requests are lost.
type crashLog struct {
	clock  clockwork.Clock
	window time.Duration

	// mu guards the fields below.
	mu   sync.Mutex
	view *membership.View
	seen map[string]time.Time
	gone map[string]time.Time
}

func newCrashLog(clock clockwork.Clock, window time.Duration, viewer membership.Viewer) *crashLog {
	c := &crashLog{
		clock: clock, window: window, view: viewer.View(),
		seen: make(map[string]time.Time), gone: make(map[string]time.Time),
	}
	viewer.OnChange(c.change)
	return c
}

// change compares a view with the one before.
func (c *crashLog) change(view *membership.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, m := range c.view.Members {
		if present(view, m.Name, m.ProcessID()) {
			continue
		}
		if m.Leaving {
			c.gone[identity(m)] = now
		} else {
			c.seen[identity(m)] = now
		}
	}
	for _, m := range view.Members {
		delete(c.seen, identity(m)) // a paused one has come back
	}
	c.view = view
	c.prune(now)
}

// prune forgets what is older than the window; c.mu is held.
func (c *crashLog) prune(now time.Time) {
	for _, times := range []map[string]time.Time{c.seen, c.gone} {
		for id, at := range times {
			if now.Sub(at) > c.window {
				delete(times, id)
			}
		}
	}
}

// left tells whether the member left in good order.
func (c *crashLog) left(m membership.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.gone[identity(m)]
	return ok
}

// recent returns the crashes within the window.
func (c *crashLog) recent() []crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.prune(now)
	var crashes []crash
	for id, at := range c.seen {
		crashes = append(crashes, crash{Identity: id, AgeMillis: now.Sub(at).Milliseconds()})
	}
	return crashes
}

// learn adds what another instance has seen.
func (c *crashLog) learn(crashes []crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, other := range crashes {
		at := now.Add(-time.Duration(other.AgeMillis) * time.Millisecond)
		known, ok := c.seen[other.Identity]
		if c.lives(other.Identity) {
			continue
		}
		if (ok && !known.Before(at)) || len(c.seen) >= maxCrashes {
			continue
		}
		c.seen[other.Identity] = at
	}
}

// lives tells whether the process is in the present view; c.mu is held.
func (c *crashLog) lives(id string) bool {
	for _, m := range c.view.Members {
		if identity(m) == id {
			return true
		}
	}
	return false
}

// doubtUntil returns until when requests known only to crashed instances, the
// given holder aside, may be sent again.
func (c *crashLog) doubtUntil(holder membership.Member) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	for id, at := range c.seen {
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
