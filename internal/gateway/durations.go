package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationWindow is how long the time of a response counts, at least; twice as long at
	// most.
	durationWindow = 30 * time.Second
	// durationSamples bounds the times kept of a route in a window: the last ones.
	durationSamples = 32
	// usualShare is the share of a route's requests that take no longer than usual.
	usualShare = 0.95
)

// recentDurations holds the recent times of each route's requests at targets.
type recentDurations struct {
	// mu guards the fields below. current began at since; previous is the window before it.
	mu                sync.Mutex
	since             time.Time
	current, previous map[string]*routeDurations
}

// routeDurations are the last times of one route in a window.
type routeDurations struct {
	samples [durationSamples]time.Duration
	count   int
}

// kept returns the times that are kept; a nil receiver has none.
func (d *routeDurations) kept() []time.Duration {
	if d == nil {
		return nil
	}
	return d.samples[:min(d.count, durationSamples)]
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
	d.current, d.since = make(map[string]*routeDurations), now
}

// observe records the time that a request has taken at targets.
func (d *recentDurations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	durations := d.current[route]
	if durations == nil {
		durations = &routeDurations{}
		d.current[route] = durations
	}
	durations.samples[durations.count%durationSamples] = took
	durations.count++
}

// usual returns the time that usualShare of the recent requests of a route took no longer than,
// 0 if there are none.
func (d *recentDurations) usual(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	all := slices.Concat(d.current[route].kept(), d.previous[route].kept())
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(usualShare*float64(len(all)-1))]
}
