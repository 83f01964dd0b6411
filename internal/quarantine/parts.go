package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// maxParts bounds the parts of a prompt that are considered, maxPartMarks the
	// marks held for one part.
	maxParts     = 256
	maxPartMarks = 32
	// separateTime is the time between two crashes that cannot have one cause
	// beside the requests, such as the end of a host with several targets. Crashes
	// that are closer together count once for a part.
	separateTime = 200 * time.Millisecond
	// separateSilence is separateTime for targets that fell silent, since it is not
	// known exactly when.
	separateSilence = 500 * time.Millisecond
	// minUnexplained is the number of crashes of a part without another suspected
	// part that rules the latter out as their cause.
	minUnexplained = 2
	// trialPause is the time from the last crash of a part until it is tried again,
	// provenTrialPause the same for one that has completed here before. A failed
	// trial multiplies it by trialBackoff. A trial has minTrialTime until another one
	// is sent.
	trialPause       = time.Minute
	provenTrialPause = 2 * time.Second
	trialBackoff     = 30
	minTrialTime     = 5 * time.Second
)

// NewPartFingerprints returns the fingerprints of the parts of a prompt, given by
// their IDs, each once.
func NewPartFingerprints(ids []string) []Fingerprint {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]Fingerprint, 0, min(len(ids), maxParts))
	for _, id := range ids[:min(len(ids), maxParts)] {
		digest := sha256.Sum256([]byte("part\x00" + id))
		part := Fingerprint(hex.EncodeToString(digest[:fingerprintSize]))
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// charge states that a part crashes targets. It does not change.
type charge struct {
	part *suspect
	// crashes are the times of the crashes, one for each target.
	crashes []crash
	// alternatives are the other charged parts that explain the crashes as well. A
	// request is refused if it has all of them.
	alternatives []Fingerprint
	// expiresAt is when the charge lapses.
	expiresAt time.Time
	// mayTry is set if this instance decides when the part is tried again.
	mayTry bool
}

// crash is the end of a target as the marks of one suspect show it.
type crash struct {
	marks []*mark
	at    time.Time
	// silent is set if the target only fell silent.
	silent bool
}

// trial holds when a charged part is tried next.
type trial struct {
	// nextAt is an instant, see Registry.instant; 0 if the part is not charged.
	nextAt atomic.Int64
	// pause is the time until the next trial, in nanoseconds.
	pause atomic.Int64
}

// schedule sets the time of the next trial.
func (t *trial) schedule(r *Registry, now time.Time, pause time.Duration) {
	t.pause.Store(int64(pause))
	t.nextAt.Store(r.instant(now.Add(pause)))
}

// charges returns the charged parts; nil if there are none.
func (r *Registry) chargedParts() map[Fingerprint]*charge {
	if charges := r.charges.Load(); charges != nil {
		return *charges
	}
	return nil
}

// refusesParts reports whether a request must be refused for a part of its prompt.
// A request that may be sent as a trial is not refused; claim takes the trial, so
// that no other request is sent for the same reason.
func (r *Registry) refusesParts(parts []Fingerprint, claim bool) bool {
	charges := r.chargedParts()
	if len(charges) == 0 || len(parts) == 0 {
		return false
	}
	now := r.options.Clock.Now()
	var decisive *charge
	charged := 0
	for _, part := range parts {
		c := charges[part]
		if c == nil || now.After(c.expiresAt) {
			continue
		}
		charged++
		if !slices.ContainsFunc(c.alternatives, func(other Fingerprint) bool { return !slices.Contains(parts, other) }) {
			decisive = c
		}
	}
	if decisive == nil {
		return false
	}
	return charged > 1 || !decisive.mayTry || !r.takeTrial(decisive.part, now, claim)
}

// takeTrial reports whether a part may be tried now, and with claim makes this the
// trial.
func (r *Registry) takeTrial(part *suspect, now time.Time, claim bool) bool {
	next := part.trial.nextAt.Load()
	if next == 0 || next > r.instant(now) {
		return false
	}
	if !claim {
		return true
	}
	pause := max(minTrialTime, time.Duration(part.trial.pause.Load()))
	if !part.trial.nextAt.CompareAndSwap(next, r.instant(now.Add(pause))) {
		return false
	}
	r.Counters.PartsTried.Add(1)
	r.options.Logger.Info("prompt part is tried again", zap.String("part", string(part.fingerprint)))
	return true
}

// attachPart adds a mark to a part of the prompt of its request, unless an attempt
// that started later has completed with the part; r.mu must be held.
func (r *Registry) attachPart(m *mark, part Fingerprint, now time.Time) {
	if r.proven.startedSince(part, r.instant(m.startedAt)) {
		return
	}
	p := r.suspectFor(part)
	if !p.clearedAt.Before(m.at) {
		return
	}
	p.isPart = true
	p.latestFactAt, p.lastMarkReceivedAt = latest(p.latestFactAt, m.at), now
	p.markedHere = p.markedHere || m.madeHere
	if len(p.marks) >= maxPartMarks {
		p.detach(p.marks[0])
	}
	p.marks = append(p.marks, m)
	m.parts = append(m.parts, p)
	if len(p.marks) >= minCrashes {
		r.accused[p.fingerprint] = p
	}
	if r.chargedParts()[part] != nil {
		p.trial.schedule(r, now, min(trialBackoff*time.Duration(p.trial.pause.Load()), r.options.Retention))
	}
	r.partsChanged = true
}

// detach removes a mark from a part; Registry.mu must be held.
func (s *suspect) detach(m *mark) {
	s.marks = slices.DeleteFunc(s.marks, func(other *mark) bool { return other == m })
	m.parts = slices.DeleteFunc(m.parts, func(other *suspect) bool { return other == s })
}

// clearPart records that an attempt has completed with a part, drops the marks
// that this refutes and reports whether there were any: those of attempts that
// started earlier, or that ended before. The times may be zero if they are not
// known. r.mu must be held.
func (r *Registry) clearPart(p *suspect, startedAt, completedAt time.Time) bool {
	p.clearedAt = latest(p.clearedAt, completedAt)
	p.latestFactAt = latest(p.latestFactAt, completedAt)
	refuted := !p.quarantinedAt.IsZero() && completedAt.After(p.quarantinedAt)
	if refuted {
		p.quarantinedAt = time.Time{}
	}
	held := len(p.marks)
	for _, m := range slices.Clone(p.marks) {
		if !m.startedAt.After(startedAt) || !m.at.After(completedAt) {
			p.detach(m)
			refuted = true
		}
	}
	if refuted {
		p.refutedMarks = held - len(p.marks)
		r.Counters.Cleared.Add(1)
		p.clearanceChangedAt = r.options.Clock.Now()
		r.changedAt, r.partsChanged = p.clearanceChangedAt, true
	}
	return refuted
}

// recordAnswer clears the parts of the prompt that an attempt has answered on.
func (r *Registry) recordAnswer(a *Attempt, at time.Time) {
	for _, part := range a.parts {
		r.proven.add(part, r.instant(a.startedAt))
	}
	if !r.isSuspected(a.parts...) {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	for _, part := range a.parts {
		if p := r.suspects[part]; p != nil && r.clearPart(p, a.startedAt, at) {
			r.options.Logger.Debug("suspect prompt part completed", zap.String("part", string(part)))
		}
	}
}

// separateCrashes returns the number of crashes that cannot have had one cause
// beside the requests.
func separateCrashes(crashes []crash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	separate := 0
	var last crash
	for _, c := range sorted {
		distance := separateTime
		if c.silent || last.silent {
			distance = separateSilence
		}
		if separate == 0 || c.at.Sub(last.at) >= distance {
			separate++
			last = c
		}
	}
	return separate
}

// unexplainedBy returns how many of the crashes of a charge another part has no
// mark for.
func (c *charge) unexplainedBy(other *charge) int {
	return separateCrashes(slices.DeleteFunc(slices.Clone(c.crashes), func(own crash) bool {
		return slices.ContainsFunc(other.crashes, func(theirs crash) bool { return own.marks[0].sameCrash(theirs.marks[0]) })
	}))
}

// judgeParts charges the parts that crash targets, and releases the others. It does
// nothing if no mark of a part has changed; r.mu must be held.
func (r *Registry) judgeParts() {
	if !r.partsChanged {
		return
	}
	r.partsChanged = false
	charges := make(map[Fingerprint]*charge)
	for part, p := range r.accused {
		if c := r.newCharge(p); c != nil {
			charges[part] = c
		} else if len(p.marks) < minCrashes {
			delete(r.accused, part)
		}
	}
	for _, c := range charges {
		for part, other := range charges {
			if other != c && len(c.crashes) > 0 && len(other.crashes) > 0 && c.unexplainedBy(other) < minUnexplained {
				c.alternatives = append(c.alternatives, part)
			}
		}
		slices.Sort(c.alternatives)
	}
	previous := r.chargedParts()
	r.charges.Store(&charges)
	r.reportCharges(previous, charges)
}

// newCharge returns the charge against a part, without alternatives; nil if there
// is none. r.mu must be held.
func (r *Registry) newCharge(p *suspect) *charge {
	c := &charge{part: p, crashes: r.crashesOf(p)}
	if separateCrashes(c.crashes) < minCrashes {
		c.crashes = nil
	}
	if len(c.crashes) == 0 && !r.withinRetention(p.quarantinedAt) {
		return nil
	}
	lastAt := p.quarantinedAt
	for _, crash := range c.crashes {
		for _, m := range crash.marks {
			if m.at.After(lastAt) {
				lastAt, c.mayTry = m.at, m.madeHere
			}
		}
	}
	c.expiresAt = lastAt.Add(r.options.Retention)
	return c
}

// reportCharges logs what has changed and schedules trials; r.mu must be held.
func (r *Registry) reportCharges(previous, current map[Fingerprint]*charge) {
	for part, c := range current {
		old := previous[part]
		if old == nil {
			r.Counters.PartsQuarantined.Add(1)
			pause := trialPause
			if r.proven.has(part) {
				pause = provenTrialPause
			}
			c.part.trial.schedule(r, r.options.Clock.Now(), pause)
		}
		if old == nil || !slices.Equal(old.alternatives, c.alternatives) {
			r.options.Logger.Warn("prompt part quarantined", zap.String("part", string(part)),
				zap.Int("crashes", len(c.crashes)), zap.Any("alternatives", c.alternatives), zap.Bool("tried_here", c.mayTry))
		}
	}
	for part, old := range previous {
		if current[part] == nil {
			r.Counters.PartsReleased.Add(1)
			old.part.trial.nextAt.Store(0)
			r.options.Logger.Info("prompt part released", zap.String("part", string(part)))
		}
	}
}

// isChargedAlone reports whether a part is charged and nothing else explains its
// crashes.
func (r *Registry) isChargedAlone(p *suspect) bool {
	c := r.chargedParts()[p.fingerprint]
	return c != nil && len(c.alternatives) == 0
}

// unlock releases r.mu after a change.
func (r *Registry) unlock() {
	r.judgeParts()
	r.mu.Unlock()
}

// crashesOf returns the crashes that the marks of a suspect stand for; r.mu must be
// held for reading.
func (r *Registry) crashesOf(s *suspect) []crash {
	if len(s.marks) == 0 {
		return nil
	}
	marks := slices.Clone(s.marks)
	slices.SortFunc(marks, func(a, b *mark) int {
		return cmp.Or(cmp.Compare(a.target, b.target), a.startedAt.Compare(b.startedAt))
	})
	var crashes []crash
	for i := 0; i < len(marks); {
		end := i + 1
		for end < len(marks) && marks[end].sameCrash(marks[i]) {
			end++
		}
		if r.isCrash(s, marks[i:end]) {
			crashes = append(crashes, newCrash(marks[i:end]))
		}
		i = end
	}
	return crashes
}

// newCrash returns the crash that marks stand for, in the order of their starts. A
// target that falls silent has crashed near the start of the first attempt without
// a response; when that is noticed says nothing.
func newCrash(marks []*mark) crash {
	c := crash{marks: marks, at: marks[0].startedAt, silent: true}
	for _, m := range marks {
		if !m.silent && (c.silent || m.at.Before(c.at)) {
			c.at, c.silent = m.at, false
		}
	}
	return c
}
