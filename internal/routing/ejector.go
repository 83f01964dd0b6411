package routing

import "time"

const (
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 3
	// firstEjectionTime is the duration of a first ejection. Each further ejection
	// before full recovery lasts twice as long, up to maxEjectionTime.
	firstEjectionTime = time.Second
	maxEjectionTime   = 30 * time.Second
	// maxReentryLimit is the concurrency limit at which the re-entry ends.
	maxReentryLimit = 64
)

// Ejector decides by the outcomes of earlier requests whether one target may
// take requests. After an ejection, the target re-enters with a limit of one
// concurrent request; each success doubles the limit, a failure ejects the
// target again. The caller must serialize access.
//
// The caller also limits the share of a pool that is ejected, by ignoring
// ejections beyond it; see TooManyEjected.
type Ejector struct {
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	// reentryLimit bounds concurrent requests during re-entry; 0 means no bound.
	reentryLimit int
}

// RecordSuccess records a successful response.
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

// RecordFailure records a failure that is attributed to the target; it reports
// whether this ejects the target.
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

// Ejected reports whether the target is ejected at the given time.
func (e *Ejector) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// EjectedUntil returns the end of the last ejection.
func (e *Ejector) EjectedUntil() time.Time { return e.ejectedUntil }

// ConcurrencyLimit returns the limit on concurrent requests; negative means no
// limit.
func (e *Ejector) ConcurrencyLimit() int {
	if e.reentryLimit == 0 {
		return -1
	}
	return e.reentryLimit
}

// maxEjectedShare is the largest share of a pool that may be ejected.
const maxEjectedShare = 0.5

// TooManyEjected reports whether the ejected targets exceed the allowed share
// of a pool, so that ejections must be ignored.
func TooManyEjected(ejected, targets int) bool {
	return float64(ejected) > maxEjectedShare*float64(targets)
}
