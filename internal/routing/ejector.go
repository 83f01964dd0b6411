package routing

import "time"

const (
	// ejectAfter is the number of failures in a row that ejects a target.
	ejectAfter = 3
	// firstEjection is the length of a first ejection; each further one that
	// follows without full recovery is twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// fullTrust is the number of requests at once that ends the re-entry.
	fullTrust = 64
)

// Ejector decides whether one target may take requests, by the outcomes of
// earlier ones. After an ejection the target is tried with one request at a
// time; each success doubles the number, a failure ejects it again. It needs
// the caller's lock.
//
// The floor on how many targets of a pool may be ejected is the caller's: it
// ignores ejections beyond it. See Floor.
type Ejector struct {
	failures int
	length   time.Duration
	until    time.Time
	// allowed bounds requests at once during re-entry; 0 means no bound.
	allowed int
}

// RecordSuccess records an answer.
func (e *Ejector) RecordSuccess() {
	e.failures = 0
	if e.allowed == 0 {
		return
	}
	e.allowed *= 2
	if e.allowed >= fullTrust {
		e.allowed = 0
		e.length = 0
	}
}

// RecordFailure records a failure that speaks against the target; it reports
// whether the target is newly ejected.
func (e *Ejector) RecordFailure(now time.Time) bool {
	if now.Before(e.until) {
		return false
	}
	e.failures++
	if e.failures < ejectAfter && e.allowed == 0 {
		return false
	}
	e.failures = 0
	e.length = min(max(firstEjection, 2*e.length), maxEjection)
	e.until = now.Add(e.length)
	e.allowed = 1
	return true
}

// Ejected reports whether the target is left alone now.
func (e *Ejector) Ejected(now time.Time) bool { return now.Before(e.until) }

// EjectedUntil returns when the last ejection ends.
func (e *Ejector) EjectedUntil() time.Time { return e.until }

// ConcurrencyLimit returns how many requests may run at once; negative means no bound.
func (e *Ejector) ConcurrencyLimit() int {
	if e.allowed == 0 {
		return -1
	}
	return e.allowed
}

// maxEjectedShare is the largest share of a pool that may be ejected.
const maxEjectedShare = 0.5

// TooManyEjected reports whether so many ejected targets of a pool are too many, so
// that ejections must be ignored.
func TooManyEjected(ejected, targets int) bool {
	return float64(ejected) > maxEjectedShare*float64(targets)
}
