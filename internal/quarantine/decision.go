package quarantine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// crashSpan is the time within which marks for one target are for one crash:
	// the attempts of several instances end at slightly different times.
	crashSpan = time.Second
	// silenceSpan is crashSpan for attempts that got no response. One that starts
	// while the target is silent is not the cause of the silence.
	silenceSpan = 5 * time.Second
)

// decide reports whether to refuse a request, and whether this newly
// quarantines it.
func (r *Registry) decide(fp Fingerprint) (refuse, newlyQuarantined bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.suspects[fp]
	switch {
	case s == nil:
		return false, false
	case r.withinRetention(s.quarantinedAt):
		return true, false
	case !r.options.AloneSuffices:
		// Marks may still be dropped, so that there is no lasting verdict.
		return r.crashes(s) >= minCrashes, false
	case len(r.markedTargets(s)) < 2 && r.crashes(s) < minCrashes:
		return false, false
	case r.options.Clock.Since(s.lastMarkReceivedAt) < PropagationTime:
		return true, false
	default:
		newlyQuarantined = r.crashes(s) >= minCrashes || r.onlySuspectAtTwo(fp, s)
		return newlyQuarantined, newlyQuarantined
	}
}

// quarantine records a verdict and publishes it.
func (r *Registry) quarantine(fp Fingerprint) {
	r.options.Logger.Warn("request quarantined", zap.String("content", string(fp)))
	r.publish(factQuarantine, fp, "", r.options.Clock.Now())
}

// counts reports whether a mark counts; r.mu must be held for reading.
func (r *Registry) counts(s *suspect, m *mark) bool {
	if !r.withinRetention(m.at) || !s.isPart && s.isInnocent(m.at) {
		return false
	}
	return m.ended || (!m.survived && r.options.CountsUnresolved)
}

// isInnocent reports whether the request completed after a time, or shortly
// before it.
func (s *suspect) isInnocent(at time.Time) bool {
	return !s.clearedAt.IsZero() && !at.After(s.clearedAt.Add(innocenceTime))
}

// markedTargets returns the targets with marks that count; r.mu must be held for
// reading.
func (r *Registry) markedTargets(s *suspect) map[string]bool {
	targets := make(map[string]bool)
	for _, m := range s.marks {
		if r.counts(s, m) {
			targets[m.target] = true
		}
	}
	return targets
}

// crashes returns the number of crashes that the marks of a suspect stand for;
// r.mu must be held for reading.
func (r *Registry) crashes(s *suspect) int { return len(r.crashesOf(s)) }

// isCrash reports whether marks for the same end of a target count. One of them
// that shows that the target survived does so for all of them, unless the target
// is known to have ended; r.mu must be held for reading.
func (r *Registry) isCrash(s *suspect, marks []*mark) bool {
	counted, survived, ended := false, false, false
	for _, m := range marks {
		counted = counted || r.counts(s, m)
		survived = survived || m.survived
		ended = ended || m.ended
	}
	return counted && (ended || !survived)
}

// onlySuspectAtTwo reports whether there are two targets that only this request
// is marked for; r.mu must be held for reading.
func (r *Registry) onlySuspectAtTwo(fp Fingerprint, s *suspect) bool {
	targets := r.markedTargets(s)
	for first := range targets {
		for second := range targets {
			if first < second && r.onlySuspectAtBoth(fp, first, second) {
				return true
			}
		}
	}
	return false
}

// onlySuspectAtBoth reports whether no other request is marked for both
// targets; r.mu must be held for reading.
func (r *Registry) onlySuspectAtBoth(fp Fingerprint, first, second string) bool {
	for other, s := range r.suspects {
		if other == fp || s.isPart {
			continue
		}
		if targets := r.markedTargets(s); targets[first] && targets[second] {
			return false
		}
	}
	return true
}
