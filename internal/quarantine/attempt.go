package quarantine

import (
	"sync/atomic"
	"time"
)

// Outcome is how an attempt ended at its target.
type Outcome int

// The outcomes of an attempt.
const (
	// Completed means that the target's response was complete.
	Completed Outcome = iota
	// CompletedWithError means that it was complete but reported an error, so that
	// the target may not have answered on the prompt.
	CompletedWithError
	// EndedInOrder means that the target's response looked complete, but ended with
	// its connection, as it may if the target crashes.
	EndedInOrder
	// NoEvidence means that the target has not run the request, or that the response
	// is not its own.
	NoEvidence
	// Unreachable means that no process listens at the target's address any more.
	Unreachable
	// Broken means that the target broke the connection or its response was
	// unusable.
	Broken
	// Unanswered means that the caller left or a timeout passed before a complete
	// response.
	Unanswered
)

const (
	// silenceTime is how long nothing may arrive from a target before the requests
	// that wait for it are marked, silenceExpected the same for one that has not
	// responded at all, in multiples of the expected time.
	silenceTime     = 2 * time.Second
	silenceExpected = 2
	// heardRecently is the time since the last part of a response within which a
	// caller that leaves is no sign of a crash.
	heardRecently = 100 * time.Millisecond
	// survivalMargin is how long after an attempt something must arrive from its
	// target to show that the target survived. It covers what was sent before a
	// crash and read after it.
	survivalMargin = 500 * time.Millisecond
	// connectionMargin is by how much a connection must be older than an attempt
	// to show that its target survived. It covers the inaccuracy of times that
	// were received from other instances.
	connectionMargin = 500 * time.Millisecond
	// minRestartTime is the time within which no target is back after a crash. One
	// that is heard that soon after the start of an attempt has merely reset its
	// connection, for example because it has too many.
	minRestartTime = 150 * time.Millisecond
)

// Attempt is a request in flight at a target. Its methods may be called from
// several goroutines.
type Attempt struct {
	registry *Registry
	request  Fingerprint
	// parts are the parts of the request's prompt.
	parts     []Fingerprint
	runs      *targetRuns
	target    string
	startedAt time.Time
	// patience is the time without a response after which the attempt is silent.
	patience time.Duration
	// heardAt is the time of the last part of the response; see Registry.instant. It
	// is 0 if there was none.
	heardAt atomic.Int64
	ended   atomic.Bool
	// markID is the ID of the mark made while the attempt was silent; 0 if there
	// is none.
	markID atomic.Uint32
}

// Start records that a request, whose prompt has the given parts, is sent to a
// target, which is expected to respond within a time; 0 if that is unknown.
func (r *Registry) Start(fp Fingerprint, target string, expected time.Duration, parts ...Fingerprint) *Attempt {
	a := &Attempt{
		registry: r, request: fp, parts: parts, target: target, startedAt: r.options.Clock.Now(),
		patience: max(silenceTime, silenceExpected*expected),
	}
	r.running.add(a)
	return a
}

// Heard records that a part of the response has arrived, on a connection opened
// at the given time.
func (a *Attempt) Heard(openedAt time.Time) {
	now := a.registry.options.Clock.Now()
	a.heardAt.Store(a.registry.instant(now))
	a.runs.heardAt.Store(a.registry.instant(now))
	if a.registry.unresolvedCount.Load() > 0 {
		a.registry.resolveHeard(a, openedAt, now)
	}
	if a.registry.suspectCount.Load() > 0 {
		a.registry.confirmOrderlyEnds(a.target, openedAt, now)
	}
}

// instant returns a time in nanoseconds since before the registry was made. It
// follows the monotonic clock, and is positive for times of the registry's life.
func (r *Registry) instant(t time.Time) int64 { return int64(t.Sub(r.origin)) }

// heardWithin reports whether a part of the response has arrived within a time
// before now.
func (a *Attempt) heardWithin(span time.Duration, now time.Time) bool {
	return a.heardAt.Load() > a.registry.instant(now.Add(-span))
}

// isSilent reports whether the attempt has waited so long that it should have
// been heard again.
func (a *Attempt) isSilent(now time.Time) bool {
	if a.heardAt.Load() != 0 {
		return !a.heardWithin(silenceTime, now)
	}
	return now.Sub(a.startedAt) >= a.patience
}

// End records the end of the attempt; further calls have no effect.
func (a *Attempt) End(outcome Outcome) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	r := a.registry
	r.running.remove(a)
	now := r.options.Clock.Now()
	switch outcome {
	case Completed:
		r.recordAnswer(a, now)
		r.recordCompletion(a, now)
	case CompletedWithError:
		r.recordCompletion(a, now)
	case EndedInOrder:
		r.endInOrder(a, now)
	case Broken:
		r.markAttempt(a, now, false)
		r.endTogether(a, now)
	case Unanswered:
		if !a.heardWithin(heardRecently, now) {
			r.markAttempt(a, now, true)
		}
	case NoEvidence:
		r.withdrawMark(a)
	case Unreachable:
		r.withdrawMark(a)
		r.endUnreachable(a.target, now)
	}
}

// RecordEnded records that a target has ended: the requests that are marked for it
// since endConfirmTime were running when it crashed. It must not be called for a
// target that was merely unreachable.
func (r *Registry) RecordEnded(target string) {
	r.endMarks(target, func(*mark) bool { return true })
}

// RecordBroken records that a target broke a connection, which is taken for its
// end, but not for that of attempts that got no response.
func (r *Registry) RecordBroken(target string) {
	r.endMarks(target, func(m *mark) bool { return !m.silent })
}

// MarkSilent marks the requests that wait for targets from which nothing arrives
// any more. Call it several times within silenceTime.
func (r *Registry) MarkSilent() {
	now := r.options.Clock.Now()
	for _, a := range r.silentAttempts(now) {
		if a.markID.Load() == 0 {
			r.markAttempt(a, now, true)
		}
	}
}
