package routing

import "time"

const (
	// failuresToEject is the number of failures in a row that ejects a target.
	failuresToEject = 3
	// firstEjectionTime is the length of a first ejection; each further one that
	// follows without full recovery is twice as long, up to maxEjection.
	firstEjectionTime = time.Second
	maxEjectionTime   = 30 * time.Second
	// maxReentryLimit is the number of requests at once that ends the re-entry.
	maxReentryLimit = 64
)

// Ejector decides whether one target may take requests, by the outcomes of
// earlier ones. After an ejection the target is tried with one request at a
// time; each success doubles the number, a failure ejects it again. It needs
// the caller's lock.
//
// The floor on how many targets of a pool may be ejected is the caller's: it
// ignores ejections beyond it. See Floor.
type Ejector struct {
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	// reentryLimit bounds requests at once during re-entry; 0 means no bound.
	reentryLimit int
}

// RecordSuccess records an answer.
func (e *Ejector) RecordSuccess() {
	e.consecutiveFailures = 0
	if e.reentryLimit == 0 {
		return
	}
	e.reentryLimit *= 2
	if e.reentryLimit >= maxReentryLimit {
		e.reentryLimit = 0
		e.ejectionTime = 0
	}
}

// RecordFailure records a failure that speaks against the target; it reports
// whether the target is newly ejected.
func (e *Ejector) RecordFailure(now time.Time) bool {
	if now.Before(e.ejectedUntil) {
		return false
	}
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject && e.reentryLimit == 0 {
		return false
	}
	e.consecutiveFailures = 0
	e.ejectionTime = min(max(firstEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedUntil = now.Add(e.ejectionTime)
	e.reentryLimit = 1
	return true
}

// Ejected reports whether the target is left alone now.
func (e *Ejector) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// EjectedUntil returns when the last ejection ends.
func (e *Ejector) EjectedUntil() time.Time { return e.ejectedUntil }

// ConcurrencyLimit returns how many requests may run at once; negative means no bound.
func (e *Ejector) ConcurrencyLimit() int {
	if e.reentryLimit == 0 {
		return -1
	}
	return e.reentryLimit
}

// maxEjectedShare is the largest share of a pool that may be ejected.
const maxEjectedShare = 0.5

// TooManyEjected reports whether so many ejected targets of a pool are too many, so
// that ejections must be ignored.
func TooManyEjected(ejected, targets int) bool {
	return float64(ejected) > maxEjectedShare*float64(targets)
}
