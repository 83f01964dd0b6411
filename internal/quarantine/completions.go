package quarantine

import (
	"sync"
	"time"
)

// maxCompletions bounds each generation of a completionLog.
const maxCompletions = 4096

// completionLog holds the requests that have completed within innocenceTime, as
// far as they fit. It keeps two generations, so that it forgets without a search.
type completionLog struct {
	// mu guards the fields below.
	mu                sync.Mutex
	current, previous map[Fingerprint]time.Time
	// currentSince is when the current generation began.
	currentSince time.Time
}

// add records a completion.
func (l *completionLog) add(fp Fingerprint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || len(l.current) >= maxCompletions || at.Sub(l.currentSince) > innocenceTime {
		l.previous, l.current, l.currentSince = l.current, make(map[Fingerprint]time.Time), at
	}
	l.current[fp] = at
}

// last returns the time of the last completion; zero if none is known.
func (l *completionLog) last(fp Fingerprint) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.current[fp]; ok {
		return at
	}
	return l.previous[fp]
}
