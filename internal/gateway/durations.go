package gateway

import (
	"sync"
	"time"
)

// durationWindow is how long the time of a response counts, at least; twice as long at most.
const durationWindow = 30 * time.Second

// recentDurations holds the longest recent time of each route's requests at targets.
type recentDurations struct {
	// mu guards the fields below. current began at since; previous is the window before it.
	mu                sync.Mutex
	since             time.Time
	current, previous map[string]time.Duration
}

// rotate begins a new window if the current one is over. The caller holds mu.
func (d *recentDurations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if d.current != nil && age < durationWindow {
		return
	}
	d.previous = d.current
	if age >= 2*durationWindow {
		d.previous = nil
	}
	d.current, d.since = make(map[string]time.Duration), now
}

// observe records the time that a request has taken at targets.
func (d *recentDurations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.current[route] = max(d.current[route], took)
}

// longest returns the longest recent time of a route, 0 if there is none.
func (d *recentDurations) longest(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	return max(d.current[route], d.previous[route])
}
