package quarantine

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// maxVerdicts bounds the result of Verdicts.
const maxVerdicts = 64

// Verdict states that a request, or a part of prompts, has crashed targets, all of which are known to
// have ended. Unlike marks, it is meant to be stored: it is what instances need
// that have all been restarted.
type Verdict struct {
	Request Fingerprint
	// At is the time of the last crash.
	At time.Time
}

// Verdicts returns the latest verdicts, the newest first. own is set if an attempt
// of this instance contributed to one of them that was not returned before.
func (r *Registry) Verdicts() (verdicts []Verdict, own bool) {
	if r.suspectCount.Load() == 0 {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspects {
		at := s.quarantinedAt
		if r.endedTargets(s) >= minCrashes && (!s.isPart || r.isChargedAlone(s)) {
			at = latest(at, s.marks[len(s.marks)-1].at)
		}
		if !r.withinRetention(at) {
			continue
		}
		own = own || s.markedHere && s.quarantinedAt.IsZero()
		s.quarantinedAt = at
		verdicts = append(verdicts, Verdict{s.fingerprint, at})
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return b.At.Compare(a.At) })
	return verdicts[:min(len(verdicts), maxVerdicts)], own
}

// endedTargets returns the number of targets with marks that count and that are
// known to have ended; r.mu must be held for reading.
func (r *Registry) endedTargets(s *suspect) int {
	targets := make(map[string]bool)
	for _, m := range s.marks {
		if m.ended && r.counts(s, m) {
			targets[m.target] = true
		}
	}
	return len(targets)
}

// AddVerdict adds a stored verdict, unless the request has completed here since.
func (r *Registry) AddVerdict(v Verdict) {
	if len(v.Request.bytes()) != fingerprintSize || !r.withinRetention(v.At) || r.completions.last(v.Request).After(v.At) {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	s := r.suspectFor(v.Request)
	if s.clearedAt.After(v.At) || !v.At.After(s.quarantinedAt) {
		return
	}
	if s.quarantinedAt.IsZero() {
		r.options.Logger.Info("verdict read from the store", zap.String("content", string(v.Request)),
			zap.Duration("age", r.options.Clock.Since(v.At)))
	}
	s.quarantinedAt, s.latestFactAt = v.At, latest(s.latestFactAt, v.At)
	// The verdict does not tell whether it is about a request or a part.
	r.accused[v.Request], r.partsChanged = s, true
}
