package quarantine

import (
	"cmp"
	"encoding/hex"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// shareTime is how long after a change a fact is part of each digest,
	// learnedShareTime the same for a fact received from another instance.
	shareTime        = time.Second
	learnedShareTime = 500 * time.Millisecond
	// shareDelay is how long a mark is kept back, since most targets show within
	// that time that they have survived. It is waived for a request that is about
	// to be refused, and for a target that has been silent for long.
	shareDelay = survivalMargin + 100*time.Millisecond
	// digestReuseTime is how long a digest is used again, for several recipients.
	digestReuseTime = 50 * time.Millisecond
	// MaxDigestMarks and MaxDigestCompletions bound the facts in one digest.
	MaxDigestMarks       = 16
	MaxDigestCompletions = 8
	// maxReportedParts bounds the parts in one report, maxDigestParts those in one
	// digest.
	maxReportedParts = 8
	maxDigestParts   = 32
)

// Digest is the facts that an instance shares with others.
type Digest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Marks       []MarkReport
	Completions []CompletionReport
}

// MarkReport states that a request may have crashed a target. Times are given as
// ages in milliseconds when the report is sent.
type MarkReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the mark.
	ID uint32
	// Request is the binary form of the request's fingerprint, followed by those of
	// the parts of its prompt that the mark counts for.
	Request []byte
	Target  string
	// StartedAgoMs and EndedAgoMs are the ages of the start and the end of the
	// attempt.
	StartedAgoMs, EndedAgoMs uint32
	Flags                    MarkFlags
}

// MarkFlags are the properties of a mark.
type MarkFlags uint8

// The properties of a mark: see mark.
const (
	FlagSilent MarkFlags = 1 << iota
	FlagSurvived
	FlagEnded
)

// CompletionReport states that a suspect request has completed, or another one
// with a suspect part.
type CompletionReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Request is the binary form of the fingerprint of the request or part.
	Request []byte
	AgoMs   uint32
}

// IsEmpty reports whether the digest states nothing.
func (d *Digest) IsEmpty() bool { return len(d.Marks) == 0 && len(d.Completions) == 0 }

// Split divides the facts into two digests, for a message that is too long.
func (d *Digest) Split() (Digest, Digest) {
	marks, completions := len(d.Marks)/2, len(d.Completions)/2
	return Digest{Marks: d.Marks[:marks], Completions: d.Completions[:completions]},
		Digest{Marks: d.Marks[marks:], Completions: d.Completions[completions:]}
}

// timedDigest is a digest with the time at which it was made.
type timedDigest struct {
	digest Digest
	at     time.Time
}

// sharedMark is a mark that is considered for a digest.
type sharedMark struct {
	suspect *suspect
	mark    *mark
	// crashes is the largest number of crashes of the request or one of its parts.
	crashes int
}

// Scope selects the facts of a digest.
type Scope int

const (
	// Changes are the facts that have changed lately. A mark is passed on by others
	// than the instance that made it only if there are others for the request or a
	// part: most suspects are innocent and are not seen again.
	Changes Scope = iota
	// Repeated are also the older facts about suspects with several marks, for
	// instances that could not be reached.
	Repeated
	// Everything is for an instance that has just started.
	Everything
)

// minMarks returns the number of marks with which a request is within the scope
// even if nothing has changed.
func (s Scope) minMarks() int {
	switch s {
	case Everything:
		return 1
	case Repeated:
		return minCrashes - 1
	case Changes:
	}
	return math.MaxInt
}

// Digest returns the facts of a scope, as far as there is room; those about
// requests that are refused go first.
func (r *Registry) Digest(scope Scope) Digest {
	var d Digest
	if r.suspectCount.Load() == 0 {
		return d
	}
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if scope == Changes && now.Sub(r.changedAt) > shareTime {
		return d
	}
	if last := r.digests[scope]; now.Sub(last.at) < digestReuseTime {
		return last.digest
	}
	d = r.makeDigest(scope, now)
	r.digests[scope] = timedDigest{d, now}
	return d
}

// makeDigest makes a new digest; r.mu must be held.
func (r *Registry) makeDigest(scope Scope, now time.Time) Digest {
	var d Digest
	var marks []sharedMark
	var completed []*suspect
	for _, s := range r.suspects {
		if now.Sub(s.clearanceChangedAt) <= shareTime {
			completed = append(completed, s)
		}
		if !s.isPart {
			marks = r.appendShared(marks, s, scope, now)
		}
	}
	slices.SortFunc(completed, func(a, b *suspect) int { return cmp.Compare(b.refutedMarks, a.refutedMarks) })
	for _, s := range completed[:min(len(completed), MaxDigestCompletions)] {
		d.Completions = append(d.Completions, CompletionReport{Request: s.fingerprint.bytes(), AgoMs: ageMillis(now, s.clearedAt)})
	}
	slices.SortFunc(marks, func(a, b sharedMark) int {
		return cmp.Or(cmp.Compare(min(b.crashes, minCrashes), min(a.crashes, minCrashes)), a.mark.sharedAt.Compare(b.mark.sharedAt))
	})
	parts := 0
	for _, shared := range marks {
		if len(d.Marks) >= MaxDigestMarks || parts >= maxDigestParts {
			break
		}
		parts += min(len(shared.mark.parts), maxReportedParts)
		shared.mark.sharedAt = now
		d.Marks = append(d.Marks, shared.report(now))
	}
	return d
}

// appendShared appends the marks of a suspect that are to be shared; r.mu must be
// held.
func (r *Registry) appendShared(marks []sharedMark, s *suspect, scope Scope, now time.Time) []sharedMark {
	if len(s.marks) == 0 {
		return marks
	}
	own := r.crashes(s)
	for _, m := range s.marks {
		crashes, news := own, false
		for _, p := range m.parts {
			news = news || m.madeHere && !r.proven.has(p.fingerprint)
			if len(p.marks) > crashes {
				crashes = max(crashes, separateCrashes(r.crashesOf(p)))
			}
		}
		known := max(len(s.marks), crashes)
		fresh := now.Sub(m.changedAt) <= shareTime && (m.madeHere || known >= minCrashes-1) &&
			(news || m.isShared() || m.ended || m.isLongSilence() || crashes >= minCrashes-1 || now.Sub(m.at) >= shareDelay)
		if fresh || known >= scope.minMarks() {
			marks = append(marks, sharedMark{s, m, crashes})
		}
	}
	return marks
}

func (s sharedMark) report(now time.Time) MarkReport {
	m := s.mark
	report := MarkReport{
		ID: m.id, Request: s.suspect.fingerprint.bytes(), Target: m.target,
		StartedAgoMs: ageMillis(now, m.startedAt), EndedAgoMs: ageMillis(now, m.at),
	}
	parts := slices.SortedFunc(slices.Values(m.parts), func(a, b *suspect) int { return cmp.Compare(len(b.marks), len(a.marks)) })
	for _, p := range parts[:min(len(parts), maxReportedParts)] {
		report.Request = append(report.Request, p.fingerprint.bytes()...)
	}
	for flag, set := range map[MarkFlags]bool{FlagSilent: m.silent, FlagSurvived: m.survived, FlagEnded: m.ended} {
		if set {
			report.Flags |= flag
		}
	}
	return report
}

func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), 1<<32-1))
}

// bytes returns the binary form of a fingerprint; nil if it is invalid.
func (fp Fingerprint) bytes() []byte {
	decoded, err := hex.DecodeString(string(fp))
	if err != nil {
		return nil
	}
	return decoded
}

// Merge adds the facts received from another instance.
func (r *Registry) Merge(from string, d Digest) {
	if d.IsEmpty() {
		return
	}
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.unlock()
	for _, c := range d.Completions {
		r.mergeCompletion(from, c, now)
	}
	for _, report := range d.Marks {
		if len(report.Request) >= fingerprintSize && len(report.Request)%fingerprintSize == 0 {
			r.mergeMark(from, report, now)
		}
	}
}

// mergeCompletion adds a completion received from another instance; r.mu must be
// held.
func (r *Registry) mergeCompletion(from string, c CompletionReport, now time.Time) {
	s, at := r.suspects[Fingerprint(hex.EncodeToString(c.Request))], timeOfAge(now, c.AgoMs)
	switch {
	case s == nil:
	case s.isPart:
		if r.clearPart(s, time.Time{}, at) {
			r.options.Logger.Debug("completion of suspect prompt part learned from peer",
				zap.String("part", string(s.fingerprint)), zap.String("from", from), zap.Uint32("age_ms", c.AgoMs))
		}
	case r.clear(s, at):
		r.options.Logger.Info("completion of suspect request learned from peer",
			zap.String("content", string(s.fingerprint)), zap.String("from", from), zap.Uint32("age_ms", c.AgoMs))
	}
}

func timeOfAge(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// mergeMark adds a mark received from another instance; r.mu must be held.
func (r *Registry) mergeMark(from string, report MarkReport, now time.Time) {
	fp := Fingerprint(hex.EncodeToString(report.Request[:fingerprintSize]))
	at := timeOfAge(now, report.EndedAgoMs)
	if !r.withinRetention(at) {
		return
	}
	if r.suspects[fp] == nil && report.Flags&FlagSurvived != 0 {
		return
	}
	s := r.suspectFor(fp)
	if completedAt := r.completions.last(fp); !completedAt.IsZero() {
		r.clear(s, completedAt)
	}
	if s.isInnocent(at) {
		s.clearanceChangedAt, s.latestFactAt, r.changedAt = now, latest(s.latestFactAt, at), now
		return
	}
	learned := &mark{
		id: report.ID, target: report.Target, startedAt: timeOfAge(now, report.StartedAgoMs), at: at, sharedAt: now,
		silent: report.Flags&FlagSilent != 0,
	}
	m := s.find(report.ID)
	if m == nil {
		m = s.findEquivalent(learned)
	}
	if m == nil {
		if report.Flags&FlagSurvived != 0 && report.Flags&FlagEnded == 0 {
			return
		}
		m = learned
		r.Counters.Learned.Add(1)
		r.storeMark(s, m, now)
		m.changedAt = now.Add(learnedShareTime - shareTime)
		for part := range slices.Chunk(report.Request[fingerprintSize:], fingerprintSize) {
			r.attachPart(m, Fingerprint(hex.EncodeToString(part)), now)
		}
		r.options.Logger.Info("possible crash learned from peer", zap.String("content", string(fp)),
			zap.String("target", m.target), zap.String("from", from), zap.Uint32("age_ms", report.EndedAgoMs),
			zap.Int("crashes", r.crashes(s)))
	}
	if report.Flags&FlagEnded != 0 && !m.ended {
		r.setEnded(s, m, now)
		r.logResolution(s, m, "end of a target learned from peer")
	}
	if report.Flags&FlagSurvived != 0 && !m.resolved() && !m.at.After(at.Add(survivalMargin)) {
		r.setSurvived(s, m, now)
		r.logResolution(s, m, "survival of a target learned from peer")
	}
}
