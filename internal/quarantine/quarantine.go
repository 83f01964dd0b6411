// Package quarantine detects requests that crash targets and keeps them from
// further targets.
//
// Registry does so by gossip. Each instance records which of its requests run
// on which target. When a target crashes, the instance marks those requests as
// suspects and gossips the marks, since several instances have requests on one
// target and a retry may arrive at any instance. A request that was running at
// the crashes of two different targets is quarantined if it is the only one
// marked for both; with several, the cause is still ambiguous. To resolve this
// soon, MayDispatch keeps suspects from running on the same target. A request
// marked for unconditionalMarks targets is always quarantined. The decision
// requires the marks of all instances, so a request with two marks is refused
// for PropagationTime first.
//
// A suspect that completes is cleared: its marks up to then are ignored.
//
// All facts are rumors of one kind. For each subject the one with the highest
// rank, a wall-clock time, wins, so every instance reaches the same decision
// whatever the order of arrival. The subjects are marks "m/fingerprint/target",
// clearances "p/fingerprint" and quarantines "q/fingerprint". A quarantine ends
// after Retention.
//
// CrashTracker does so from the lists of crashes that instances exchange: it
// refuses a request after minCrashesToRefuse crashes.
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
	// DefaultRetention is how long marks, clearances and quarantines are valid.
	DefaultRetention = time.Hour
	// DefaultMaxFingerprints bounds the number of fingerprints held.
	DefaultMaxFingerprints = 4096
	// unconditionalMarks is the number of crashed targets at which a request is
	// quarantined even if other requests were running beside it each time.
	unconditionalMarks = 3
	// PropagationTime is the time in which marks reach all instances.
	PropagationTime = 2 * time.Second
	// fingerprintSize is the number of digest bytes in a fingerprint.
	fingerprintSize = 12
)

// Fingerprint identifies a request by its content; it is the same for retries.
type Fingerprint string

// NewFingerprint returns the fingerprint of account, path and body.
func NewFingerprint(account, path string, body []byte) Fingerprint {
	digest := sha256.New()
	digest.Write([]byte(account + "\x00" + path + "\x00"))
	digest.Write(body)
	return Fingerprint(hex.EncodeToString(digest.Sum(nil)[:fingerprintSize]))
}

// Options configure a Registry.
type Options struct {
	Rumors membership.Rumors
	// Clock is the wall clock; nil means the real one.
	Clock clockwork.Clock
	// Retention is how long facts are valid; 0 means DefaultRetention.
	Retention time.Duration
	// MaxFingerprints bounds the number of fingerprints held; 0 means
	// DefaultMaxFingerprints.
	MaxFingerprints int
}

// Registry holds the suspects and quarantined requests known to one instance.
type Registry struct {
	options Options
	// suspectCount is the size of suspects; while it is 0, requests take no lock.
	suspectCount atomic.Int64

	// running counts the requests in flight.
	running runTable

	// mu guards suspects.
	mu       sync.RWMutex
	suspects map[Fingerprint]*suspect
}

// suspect holds the facts about one fingerprint; Registry.mu guards it.
type suspect struct {
	// marks holds the time of the crash by target.
	marks map[string]time.Time
	// clearedAt is the time of the latest clearance.
	clearedAt time.Time
	// quarantinedAt is the time of the quarantine; zero means none.
	quarantinedAt time.Time
	// latestFactAt is the time of the latest fact.
	latestFactAt time.Time
	// lastMarkReceivedAt is when this instance last received a mark.
	lastMarkReceivedAt time.Time
}

// New returns a registry that is subscribed to the rumors. Call it before the
// membership starts.
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

// RecordStart records that a request is sent to a target.
func (r *Registry) RecordStart(fp Fingerprint, target string) { r.running.add(fp, target) }

// RecordEnd records that a request has ended at a target. completed is set if
// it ran to its end there, which clears it of earlier crashes.
func (r *Registry) RecordEnd(fp Fingerprint, target string, completed bool) {
	r.running.remove(fp, target)
	if completed && r.IsSuspect(fp) {
		r.publish(factClear, fp, "")
	}
}

// RecordCrash marks the requests that were running on a target when it crashed.
// It must not be called for a target that was merely unreachable.
func (r *Registry) RecordCrash(target string) {
	for _, fp := range r.running.fingerprints(target) {
		r.publish(factMark, fp, target)
	}
}

// ShouldRefuse reports whether a request must be refused, because it is
// quarantined or because the decision is pending.
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
	case len(r.validMarks(s)) < 2:
		return false, false
	case r.options.Clock.Since(s.lastMarkReceivedAt) < PropagationTime:
		return true, false
	default:
		newlyQuarantined = r.causedCrashes(fp)
		return newlyQuarantined, newlyQuarantined
	}
}

// IsSuspect reports whether a request was running when a target crashed and has
// not been cleared since.
func (r *Registry) IsSuspect(fp Fingerprint) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.suspects[fp]
	return s != nil && len(r.validMarks(s)) > 0
}

// MayDispatch reports whether a request may be sent to a target. A suspect must
// not be sent to a target that it is marked for, nor to one where this instance
// runs another suspect.
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

// factKind is the first part of a rumor's subject.
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

// applyRumor parses and records a fact unless it is older than the retention.
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

// suspectFor returns the entry of a fingerprint, adding it if necessary; r.mu
// must be held.
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

// evict removes expired entries, and the oldest one while the registry is full;
// r.mu must be held.
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

// validMarks returns the marks that are neither cleared nor expired; r.mu must
// be held for reading.
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
