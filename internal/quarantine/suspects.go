package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

// suspect holds the facts about a request or a part of prompts; Registry.mu guards
// it.
type suspect struct {
	fingerprint Fingerprint
	// isPart is set for a part that is known as such.
	isPart bool
	marks  []*mark
	// trial is when a part that is refused is tried next.
	trial trial
	// clearedAt is the time of the latest completion; zero if none is known.
	clearedAt time.Time
	// clearanceChangedAt is when clearedAt was last found to matter to others.
	clearanceChangedAt time.Time
	// refutedMarks is the number of marks that the latest completion refuted.
	refutedMarks int
	// quarantinedAt is the time of the quarantine; zero means none.
	quarantinedAt time.Time
	// latestFactAt is the time of the latest fact.
	latestFactAt time.Time
	// lastMarkReceivedAt is when this instance last made or received a mark.
	lastMarkReceivedAt time.Time
	// markedHere is set if an attempt of this instance was marked.
	markedHere bool
}

// mark states that a request may have crashed a target; Registry.mu guards it.
type mark struct {
	// id identifies the mark among those of all instances.
	id     uint32
	target string
	// startedAt and at are the start of the attempt and its end, or the time at
	// which its silence was noticed.
	startedAt, at time.Time
	// silent is set if the attempt got no response, rather than a broken one.
	silent bool
	// survived and ended are set once the target is known to have survived the
	// attempt or to have ended. The latter goes first.
	survived, ended bool
	// madeHere is set if the mark is for an attempt of this instance.
	madeHere bool
	// parts are those of the prompt that no attempt has completed with since.
	parts []*suspect
	// changedAt is the time of the last change, sharedAt that of the last digest
	// with the mark; zero if there was none.
	changedAt, sharedAt time.Time
}

// isShared reports whether other instances may know of the mark.
func (m *mark) isShared() bool { return !m.sharedAt.IsZero() }

// sameCrash reports whether two marks are for the same crash.
func (m *mark) sameCrash(other *mark) bool {
	earlier, later := m, other
	if later.startedAt.Before(earlier.startedAt) {
		earlier, later = later, earlier
	}
	span := crashSpan
	if later.silent {
		span = silenceSpan
	}
	return m.target == other.target && !later.startedAt.After(earlier.at.Add(span))
}

// isLongSilence reports whether the attempt got no response for silenceTime.
func (m *mark) isLongSilence() bool { return m.silent && m.at.Sub(m.startedAt) >= silenceTime }

// resolved reports whether it is known what became of the target.
func (m *mark) resolved() bool { return m.survived || m.ended }

// markAttempt marks the request of an attempt for its target.
func (r *Registry) markAttempt(a *Attempt, now time.Time, silent bool) {
	if r.options.IsLeaving(a.target) {
		return
	}
	if completedAt := r.completions.last(a.request); !completedAt.IsZero() && now.Sub(completedAt) <= innocenceTime {
		return
	}
	r.mu.Lock()
	s := r.suspectFor(a.request)
	m := s.find(a.markID.Load())
	isNew := m == nil
	if isNew {
		m = &mark{id: max(1, rand.Uint32()), target: a.target, startedAt: a.startedAt, at: now, silent: silent, madeHere: true}
		if s.isInnocent(now) || s.findEquivalent(m) != nil {
			r.mu.Unlock()
			return
		}
		a.markID.Store(m.id)
		s.markedHere = true
		r.Counters.Marked.Add(1)
	}
	m.at, m.silent, m.survived = now, silent, false
	r.storeMark(s, m, now)
	if isNew {
		for _, part := range a.parts {
			r.attachPart(m, part, now)
		}
	}
	crashes := r.crashes(s)
	r.unlock()
	r.options.Logger.Info("attempt may have crashed its target", zap.String("content", string(a.request)),
		zap.String("target", a.target), zap.Bool("silent", silent), zap.Duration("took", now.Sub(a.startedAt)),
		zap.Int("crashes", crashes))
}

// storeMark adds a mark, or indexes it again after a change; r.mu must be held.
func (r *Registry) storeMark(s *suspect, m *mark, now time.Time) {
	if s.find(m.id) == nil {
		s.marks = append(s.marks, m)
	}
	m.changedAt, s.lastMarkReceivedAt, r.changedAt = now, now, now
	s.latestFactAt = latest(s.latestFactAt, m.at)
	r.index(s, m)
}

// index adds a mark to unresolved or removes it, as it is; r.mu must be held.
func (r *Registry) index(s *suspect, m *mark) {
	marks := r.unresolved[m.target]
	_, indexed := marks[m]
	switch {
	case m.resolved() && indexed:
		delete(marks, m)
		if len(marks) == 0 {
			delete(r.unresolved, m.target)
		}
		r.unresolvedCount.Add(-1)
	case !m.resolved() && !indexed:
		if marks == nil {
			marks = make(map[*mark]*suspect)
			r.unresolved[m.target] = marks
		}
		marks[m] = s
		r.unresolvedCount.Add(1)
	}
}

// drop removes a mark; r.mu must be held.
func (r *Registry) drop(s *suspect, m *mark) {
	m.survived = true
	r.index(s, m)
	s.marks = slices.DeleteFunc(s.marks, func(other *mark) bool { return other == m })
	for _, p := range slices.Clone(m.parts) {
		p.detach(m)
		r.partsChanged = true
	}
}

// release removes a mark from a suspect; r.mu must be held.
func (r *Registry) release(s *suspect, m *mark) {
	if s.isPart {
		s.detach(m)
		r.partsChanged = true
	} else {
		r.drop(s, m)
	}
}

// sweep removes what no longer counts and has been shared, at most once in
// sweepInterval; r.mu must be held.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt, r.partsChanged = now, true
	for _, s := range r.suspects {
		for _, m := range slices.Clone(s.marks) {
			if now.Sub(m.changedAt) > sweepInterval && (m.survived && !m.ended || !r.withinRetention(m.at)) {
				r.release(s, m)
			}
		}
		if len(s.marks) == 0 && now.Sub(s.latestFactAt) > innocenceTime && !r.withinRetention(s.quarantinedAt) {
			r.remove(s)
		}
	}
	r.suspectCount.Store(int64(len(r.suspects)))
}

func (s *suspect) find(id uint32) *mark {
	for _, m := range s.marks {
		if m.id == id {
			return m
		}
	}
	return nil
}

// findEquivalent returns a mark that states the same crash and is not resolved, or
// nil. A popular request has many attempts at a target that crashes.
func (s *suspect) findEquivalent(m *mark) *mark {
	for _, other := range s.marks {
		if !other.resolved() && other.sameCrash(m) {
			return other
		}
	}
	return nil
}

// withdrawMark drops the mark that was made while the attempt was silent.
func (r *Registry) withdrawMark(a *Attempt) {
	id := a.markID.Load()
	if id == 0 {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	if s := r.suspects[a.request]; s != nil {
		if m := s.find(id); m != nil {
			r.setSurvived(s, m, r.options.Clock.Now())
		}
	}
}

// setSurvived records that a target survived; r.mu must be held.
func (r *Registry) setSurvived(s *suspect, m *mark, now time.Time) {
	r.Counters.Survived.Add(1)
	if !m.isShared() {
		r.drop(s, m)
		return
	}
	m.survived, m.changedAt, r.changedAt = true, now, now
	r.partsChanged = r.partsChanged || len(m.parts) > 0
	r.index(s, m)
}

// setEnded records that a target has ended; r.mu must be held.
func (r *Registry) setEnded(s *suspect, m *mark, now time.Time) {
	r.Counters.Ended.Add(1)
	r.partsChanged = r.partsChanged || len(m.parts) > 0
	m.ended, m.changedAt, r.changedAt = true, now, now
	r.index(s, m)
}

// recordCompletion clears the request of an attempt that has completed.
func (r *Registry) recordCompletion(a *Attempt, at time.Time) {
	r.completions.add(a.request, at)
	if !r.isSuspected(a.request) {
		return
	}
	r.mu.Lock()
	s := r.suspects[a.request]
	cleared := s != nil && r.clear(s, at)
	r.unlock()
	if cleared {
		r.options.Logger.Info("suspect request completed", zap.String("content", string(a.request)))
		r.publish(factClear, a.request, "", at)
	}
}

// isSuspected reports whether anything is known about one of several requests or
// parts.
func (r *Registry) isSuspected(fingerprints ...Fingerprint) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.ContainsFunc(fingerprints, func(fp Fingerprint) bool {
		s := r.suspects[fp]
		return s != nil && (!s.isPart || len(s.marks) > 0 || !s.quarantinedAt.IsZero())
	})
}

// clear records a completion, drops the marks that it refutes and reports whether
// there were any; r.mu must be held.
func (r *Registry) clear(s *suspect, at time.Time) bool {
	s.clearedAt = latest(s.clearedAt, at)
	s.latestFactAt = latest(s.latestFactAt, at)
	refuted := !s.quarantinedAt.IsZero() && at.After(s.quarantinedAt)
	if refuted {
		s.quarantinedAt = time.Time{}
	}
	held := len(s.marks)
	for _, m := range slices.Clone(s.marks) {
		if s.isInnocent(m.at) {
			r.drop(s, m)
			refuted = true
		}
	}
	if refuted {
		s.refutedMarks = held - len(s.marks)
		r.Counters.Cleared.Add(1)
		s.clearanceChangedAt = r.options.Clock.Now()
		r.changedAt = s.clearanceChangedAt
	}
	return refuted
}

// sweepInterval is the interval at which entries that no longer count are removed.
const sweepInterval = 10 * time.Second

// endConfirmTime is how long after an attempt its target may be found to refuse
// connections for this to be the end that the attempt is marked for.
const endConfirmTime = 5 * time.Second

// endMarks records for the concerned ones of the recent marks of a target that it
// has ended.
func (r *Registry) endMarks(target string, concerned func(*mark) bool) {
	if r.unresolvedCount.Load() == 0 {
		return
	}
	now := r.options.Clock.Now()
	var ended []endedMark
	r.mu.Lock()
	for m, s := range r.unresolved[target] {
		if now.Sub(m.at) <= endConfirmTime && concerned(m) {
			r.setEnded(s, m, now)
			ended = append(ended, endedMark{s.fingerprint, m.at})
		}
	}
	r.unlock()
	for _, m := range ended {
		r.publish(factMark, m.request, target, m.at)
	}
}

// endedMark is what is published about a mark whose target has ended.
type endedMark struct {
	request Fingerprint
	at      time.Time
}

// isRefutedBy reports whether the target has survived if something arrives from it
// now, on a connection that was opened at the given time.
func (m *mark) isRefutedBy(openedAt, now time.Time) bool {
	if openedAt.After(m.at) {
		return now.Sub(m.startedAt) <= minRestartTime
	}
	return openedAt.Add(connectionMargin).Before(m.startedAt) && now.Sub(m.at) >= survivalMargin
}

// resolveHeard records what the arrival of a part of a response on a connection
// says about the marks for its target.
func (r *Registry) resolveHeard(a *Attempt, openedAt, now time.Time) {
	r.mu.RLock()
	concerned := len(r.unresolved[a.target]) > 0
	r.mu.RUnlock()
	if !concerned {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	for m, s := range r.unresolved[a.target] {
		own := m.id == a.markID.Load()
		if own {
			a.markID.Store(0)
		}
		if own || m.isRefutedBy(openedAt, now) {
			r.setSurvived(s, m, now)
			r.logResolution(s, m, "target survived an attempt")
		}
	}
}

// Liveness is what the list of targets says about a target at a past moment.
type Liveness int

// What the list says.
const (
	// Undecided means that the list does not tell yet.
	Undecided Liveness = iota
	// Survived means that the incarnation renewed its entry after the moment.
	Survived
	// Ended means that the incarnation did not.
	Ended
)

// Resolve asks, for each mark whose target is not known to have survived or
// ended, what became of the target after the mark. What it learns is not published
// as rumors.
func (r *Registry) Resolve(liveness func(target string, after time.Time) Liveness) {
	if r.suspectCount.Load() == 0 {
		return
	}
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.unlock()
	r.sweep(now)
	for target, marks := range r.unresolved {
		for m, s := range marks {
			switch liveness(target, m.at) {
			case Survived:
				r.setSurvived(s, m, now)
				r.logResolution(s, m, "target survived an attempt")
			case Ended:
				r.setEnded(s, m, now)
				r.logResolution(s, m, "target ended after an attempt")
			case Undecided:
			}
		}
	}
}

func (r *Registry) logResolution(s *suspect, m *mark, message string) {
	r.options.Logger.Info(message, zap.String("content", string(s.fingerprint)), zap.String("target", m.target),
		zap.Duration("age", r.options.Clock.Since(m.at)), zap.Int("crashes", r.crashes(s)))
}

// suspectFor returns the entry of a fingerprint, adding it if necessary; r.mu
// must be held.
func (r *Registry) suspectFor(fp Fingerprint) *suspect {
	if s := r.suspects[fp]; s != nil {
		return s
	}
	r.evict()
	s := &suspect{fingerprint: fp}
	r.suspects[fp] = s
	r.suspectCount.Store(int64(len(r.suspects)))
	return s
}

// evict makes room in a full registry: it removes expired entries, and if this is
// not enough a quarter of all, those with the fewest crashes and the oldest first;
// r.mu must be held.
func (r *Registry) evict() {
	if len(r.suspects) < r.options.MaxFingerprints {
		return
	}
	type candidate struct {
		suspect *suspect
		crashes int
	}
	candidates := make([]candidate, 0, len(r.suspects))
	for _, s := range r.suspects {
		if !r.withinRetention(s.latestFactAt) {
			r.remove(s)
			continue
		}
		crashes := r.crashes(s)
		if r.withinRetention(s.quarantinedAt) {
			crashes = max(crashes, minCrashes)
		}
		candidates = append(candidates, candidate{s, crashes})
	}
	if len(r.suspects) < r.options.MaxFingerprints {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.suspect.latestFactAt.Compare(b.suspect.latestFactAt))
	})
	const removedPart = 4
	for _, c := range candidates[:max(1, len(candidates)/removedPart)] {
		r.remove(c.suspect)
	}
}

// remove removes an entry with its marks; r.mu must be held.
func (r *Registry) remove(s *suspect) {
	for _, m := range slices.Clone(s.marks) {
		r.release(s, m)
	}
	delete(r.suspects, s.fingerprint)
	delete(r.accused, s.fingerprint)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
