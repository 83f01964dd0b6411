// Package quarantine finds requests that crash targets, and keeps them away
// from further ones.
//
// Each instance notes which requests it has running on which target. When a
// target crashes, it marks those as suspects and spreads the marks as rumours,
// since several instances have requests on one target and a resend may come in
// anywhere. A request that was running at the crashes of two different targets
// is quarantined, provided that it is the only one marked for both: of several,
// the innocent cannot be told from the guilty yet. To tell them apart soon,
// MayRun keeps suspects from running beside each other. A request marked for
// maxMarks targets is quarantined in any case. For the verdict the marks of all
// instances are needed, so a request with two marks is held back for SettleTime
// first.
//
// A suspect that finishes is innocent: its marks up to then are void.
//
// All facts are rumours of one kind, of which the newest of each subject
// stands, so that every instance comes to the same verdict whatever the order
// in which it hears of them: marks "m/fingerprint/target", pardons
// "p/fingerprint" and quarantines "q/fingerprint", ranked by wall clock. A
// quarantine stays until it is Keep old.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

const (
	// DefaultRetention is how long marks, pardons and quarantines count.
	DefaultRetention = time.Hour
	// DefaultMaxFingerprints bounds the fingerprints remembered.
	DefaultMaxFingerprints = 4096
	// unconditionalMarks is the number of crashed targets beyond which a request is
	// quarantined even if others were running beside it each time.
	unconditionalMarks = 3
	// PropagationTime is how long marks may take to reach all instances.
	PropagationTime = 2 * time.Second
	// fingerprintSize is the number of digest bytes in a fingerprint.
	fingerprintSize = 12
)

// Fingerprint names what a request asks for, whoever resends it.
type Fingerprint string

// NewFingerprint digests account, path and body.
func NewFingerprint(account, path string, body []byte) Fingerprint {
	digest := sha256.New()
	digest.Write([]byte(account + "\x00" + path + "\x00"))
	digest.Write(body)
	return Fingerprint(hex.EncodeToString(digest.Sum(nil)[:fingerprintSize]))
}

// Options join a List to the rest of an instance.
type Options struct {
	Rumors membership.Rumors
	// Clock gives the wall clock; nil means the real one.
	Clock clockwork.Clock
	// Retention is how long facts count; 0 means DefaultKeep.
	Retention time.Duration
	// MaxFingerprints bounds the fingerprints remembered; 0 means DefaultLimit.
	MaxFingerprints int
}

// Registry is one instance's picture of suspects and quarantined requests.
type Registry struct {
	options Options
	// suspectCount counts the fingerprints in cases, so that requests need no lock
	// while there are none.
	suspectCount atomic.Int64

	// running counts the requests under way.
	running runTable

	// mu guards cases.
	mu       sync.RWMutex
	suspects map[Fingerprint]*suspect
}

// suspect is what is known of one fingerprint; List.mu guards it.
type suspect struct {
	// marks holds the time of the crash by target.
	marks map[string]time.Time
	// clearedAt is the time of the newest pardon.
	clearedAt time.Time
	// quarantinedAt is the time of the quarantine; zero means none.
	quarantinedAt time.Time
	// latestFactAt is the time of the latestFactAt fact.
	latestFactAt time.Time
	// lastMarkReceivedAt is when the last new mark came in here.
	lastMarkReceivedAt time.Time
}

// New returns a list fed by the rumours. Call it before the membership starts.
func New(options Options) *Registry {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	if options.MaxFingerprints == 0 {
		options.MaxFingerprints = DefaultMaxFingerprints
	}
	r := &Registry{
		options:  options,
		suspects: make(map[Fingerprint]*suspect),
	}
	options.Rumors.Subscribe(membership.RumorQuarantine, r.applyRumor)
	return r
}

// RecordStart notes that a request is sent to a target.
func (r *Registry) RecordStart(fp Fingerprint, target string) { r.running.add(fp, target) }

// RecordEnd notes that a request has ended at a target. Finished is set when it has
// run to its end there; then it is innocent of earlier crashes.
func (r *Registry) RecordEnd(fp Fingerprint, target string, completed bool) {
	r.running.remove(fp, target)
	if completed && r.IsSuspect(fp) {
		r.publish(factClear, fp, "")
	}
}

// RecordCrash marks the requests that were running on a target when it crashed. A
// target that was merely unreachable must not be reported.
func (r *Registry) RecordCrash(target string) {
	for _, fp := range r.running.fingerprints(target) {
		r.publish(factMark, fp, target)
	}
}

// ShouldRefuse tells whether a request must be refused: for good, or because the
// verdict on it is still open.
func (r *Registry) ShouldRefuse(fp Fingerprint) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	refuse, newlyQuarantined := r.decide(fp)
	if newlyQuarantined {
		r.publish(factQuarantine, fp, "")
	}
	return refuse
}

// decide tells whether to refuse a request, and whether that is news.
func (r *Registry) decide(fp Fingerprint) (refuse, newlyQuarantined bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.suspects[fp]
	switch {
	case s == nil:
		return false, false
	case r.withinRetention(s.quarantinedAt):
		return true, false
	case len(r.validMarks(s)) < 2:
		return false, false
	case r.options.Clock.Since(s.lastMarkReceivedAt) < PropagationTime:
		return true, false
	default:
		newlyQuarantined = r.causedCrashes(fp)
		return newlyQuarantined, newlyQuarantined
	}
}

// IsSuspect tells whether a request was running when a target crashed, and has
// not been pardoned since.
func (r *Registry) IsSuspect(fp Fingerprint) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.suspects[fp]
	return s != nil && len(r.validMarks(s)) > 0
}

// MayDispatch tells whether a request may be sent to a target: a suspect not to one
// that it was seen to crash, nor to one where this instance runs another.
func (r *Registry) MayDispatch(fp Fingerprint, target string) bool {
	if r.suspectCount.Load() == 0 || !r.IsSuspect(fp) {
		return true
	}
	if r.isMarkedFor(fp, target) {
		return false
	}
	for _, other := range r.running.fingerprints(target) {
		if other != fp && r.IsSuspect(other) {
			return false
		}
	}
	return true
}

func (r *Registry) isMarkedFor(fp Fingerprint, target string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.validMarks(r.suspects[fp])[target]
	return ok
}

// factKind is the kind of a rumour's subject.
type factKind string

const (
	factMark       factKind = "m"
	factClear      factKind = "p"
	factQuarantine factKind = "q"
)

func (r *Registry) publish(kind factKind, fp Fingerprint, target string) {
	subject := string(kind) + "/" + string(fp)
	if target != "" {
		subject += "/" + target
	}
	r.options.Rumors.Publish(membership.Rumor{
		Kind: membership.RumorQuarantine, Subject: subject,
		Rank: uint64(r.options.Clock.Now().UnixMilli()),
	})
}

// applyRumor takes in a fact.
func (r *Registry) applyRumor(rumor membership.Rumor) {
	parts := strings.SplitN(rumor.Subject, "/", 3)
	publishedAt := time.UnixMilli(int64(rumor.Rank))
	if len(parts) < 2 || !r.withinRetention(publishedAt) {
		return
	}
	target := ""
	if len(parts) == 3 {
		target = parts[2]
	}
	r.recordFact(factKind(parts[0]), Fingerprint(parts[1]), target, publishedAt)
}

// recordFact records a fact.
func (r *Registry) recordFact(kind factKind, fp Fingerprint, target string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspectFor(fp)
	s.latestFactAt = latest(s.latestFactAt, at)
	switch kind {
	case factMark:
		s.marks[target] = latest(s.marks[target], at)
		s.lastMarkReceivedAt = r.options.Clock.Now()
	case factClear:
		s.clearedAt = latest(s.clearedAt, at)
	case factQuarantine:
		s.quarantinedAt = latest(s.quarantinedAt, at)
	}
}

// suspectFor returns the suspicion of a fingerprint; l.mu is held.
func (r *Registry) suspectFor(fp Fingerprint) *suspect {
	if s := r.suspects[fp]; s != nil {
		return s
	}
	r.evict()
	s := &suspect{marks: make(map[string]time.Time)}
	r.suspects[fp] = s
	r.suspectCount.Store(int64(len(r.suspects)))
	return s
}

// evict drops what has aged, and the oldest while the list is full; l.mu is
// held.
func (r *Registry) evict() {
	for len(r.suspects) >= r.options.MaxFingerprints {
		var oldest Fingerprint
		for fp, s := range r.suspects {
			if !r.withinRetention(s.latestFactAt) {
				delete(r.suspects, fp)
				continue
			}
			if known := r.suspects[oldest]; known == nil || s.latestFactAt.Before(known.latestFactAt) {
				oldest = fp
			}
		}
		if len(r.suspects) >= r.options.MaxFingerprints {
			delete(r.suspects, oldest)
		}
	}
}

func (r *Registry) withinRetention(at time.Time) bool {
	return !at.IsZero() && r.options.Clock.Since(at) <= r.options.Retention
}

// validMarks returns the marks of a suspicion that count; l.mu is held for reading.
func (r *Registry) validMarks(s *suspect) map[string]time.Time {
	marks := make(map[string]time.Time)
	if s == nil {
		return marks
	}
	for target, at := range s.marks {
		if at.After(s.clearedAt) && r.withinRetention(at) {
			marks[target] = at
		}
	}
	return marks
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
