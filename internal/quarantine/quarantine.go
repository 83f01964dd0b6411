// Package quarantine detects requests that crash targets and keeps them from
// further targets.
//
// A target that a request crashes need not show it. It may refuse connections,
// accept them and stay silent, or be back at once under its own or another name,
// and the instance that sent the request may never call it again. So the registry
// asks for evidence that a target survived, rather than that it crashed. An
// attempt that ends without a complete response, for whatever reason, marks its
// request for its target, and so does one that is in flight at a target from which
// nothing arrives any more. A mark counts unless the target is known to have
// survived:
//
//   - something arrived from it after the attempt, on a connection that is older
//     than the attempt and that a crash would have broken;
//   - it responded sooner after the start of the attempt than a target can be
//     back; or
//   - its entry in the list of targets was renewed after the attempt.
//
// A target whose entry has expired or begins anew has ended. Its marks count
// whatever else is known, and three of them are a Verdict, which may be stored.
// Without Options.CountsUnresolved, only marks of targets that have ended count,
// and the owner reports those ends.
//
// A request that is marked for minCrashes crashes is refused; marks for one
// target of about the same time are one crash. With Options.AloneSuffices, two
// targets that have ended suffice if no other request is marked for both. A
// request that runs to its end is innocent: the marks before it, and those within
// innocenceTime after it, do not count. This keeps a popular request in service
// that was running at several targets when they crashed.
//
// A part of a prompt may crash targets in requests of which no two are alike. So a
// mark counts for each part of the prompt that nothing has been answered on since.
// A part with minCrashes crashes that cannot have had another common cause is
// charged. Parts that travel with it may be charged as well; as long as another one
// explains the crashes of a part too, only requests with both are refused, and the
// others show which is the cause. A part that is refused is tried again by single
// requests: soon if it has been answered on before, else late.
//
// Marks and completions of suspects are facts that instances exchange, since
// several instances have requests on one target and a retry may arrive at any
// instance. Their order does not matter, and a fact received twice counts once.
// They travel as rumors if Options.Rumors is given, and else as a Digest in the
// messages of the owner. MayDispatch keeps suspects from running on the same
// target, which resolves ambiguous cases sooner.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

const (
	// DefaultRetention is how long marks, completions and quarantines are valid.
	DefaultRetention = time.Hour
	// DefaultMaxFingerprints bounds the number of fingerprints held.
	DefaultMaxFingerprints = 4096
	// minCrashes is the number of crashes after which a request is refused even if
	// other requests were running beside it each time.
	minCrashes = 3
	// PropagationTime is the time in which marks reach all instances.
	PropagationTime = 2 * time.Second
	// innocenceTime is how long after its last completion a request is not marked.
	innocenceTime = 30 * time.Second
	// fingerprintSize is the number of digest bytes in a fingerprint.
	fingerprintSize = 12
)

// Fingerprint identifies a request by its content, in hexadecimal digits; it is
// the same for retries.
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
	// Rumors carries the facts; if nil, the owner exchanges them with Digest and
	// Merge.
	Rumors membership.Rumors
	// Clock is the wall clock; nil means the real one.
	Clock clockwork.Clock
	// Logger receives a line for each change of what is known; nil discards them.
	Logger *zap.Logger
	// Retention is how long facts are valid; 0 means DefaultRetention.
	Retention time.Duration
	// MaxFingerprints bounds the number of fingerprints held; 0 means
	// DefaultMaxFingerprints.
	MaxFingerprints int
	// AloneSuffices quarantines a request at two crashes of targets that have
	// ended if no other request is marked for both.
	AloneSuffices bool
	// CountsUnresolved counts marks whose targets are neither known to have ended
	// nor to have survived. It requires an owner that calls Attempt.Heard and
	// Resolve, or marks for live targets are never dropped.
	CountsUnresolved bool
	// IsLeaving reports whether a target is about to end as planned, in which case
	// the end is no crash; nil means that none is.
	IsLeaving func(target string) bool
}

// Registry holds the suspects and quarantined requests known to one instance.
type Registry struct {
	options Options
	// origin is the origin of instants.
	origin time.Time
	// Counters may be read at any time.
	Counters Counters
	// suspectCount is the size of suspects; while it is 0, requests take no lock.
	suspectCount atomic.Int64
	// unresolvedCount is the number of marks in unresolved.
	unresolvedCount atomic.Int64

	// running holds the attempts in flight.
	running runTable
	// completions holds the requests that have recently run to their end here.
	completions completionLog
	// proven holds the parts that attempts have completed with here.
	proven provenTable
	// charges holds the parts that are refused; nil before the first one.
	charges atomic.Pointer[map[Fingerprint]*charge]

	// mu guards the fields below.
	mu       sync.RWMutex
	suspects map[Fingerprint]*suspect
	// unresolved holds the marks that count but may still turn out to be of a
	// target that has survived, by target.
	unresolved map[string]map[*mark]*suspect
	// accused holds the parts that may have to be charged, partsChanged is set if
	// their marks have changed since charges was stored.
	accused      map[Fingerprint]*suspect
	partsChanged bool
	// changedAt is the time of the last change that is to be shared, sweptAt that of
	// the last sweep.
	changedAt, sweptAt time.Time
	// digests holds the last digest made of each scope.
	digests map[Scope]timedDigest
}

// Counters count what a Registry has learned and decided.
type Counters struct {
	// Marked counts marks by own attempts, Learned those received from other
	// instances.
	Marked, Learned atomic.Uint64
	// Survived and Ended count marks whose targets were found to have survived or
	// ended.
	Survived, Ended atomic.Uint64
	// Cleared counts requests whose marks were dropped because they completed,
	// Refused requests refused.
	Cleared, Refused atomic.Uint64
	// PartsQuarantined and PartsReleased count parts of prompts found to crash
	// targets, and those that no longer count as such; PartsTried counts requests
	// sent to find out.
	PartsQuarantined, PartsReleased, PartsTried atomic.Uint64
}

// Snapshot returns the counters by metric name.
func (c *Counters) Snapshot() map[string]uint64 {
	return map[string]uint64{
		"marked": c.Marked.Load(), "learned": c.Learned.Load(), "survived": c.Survived.Load(),
		"ended": c.Ended.Load(), "cleared": c.Cleared.Load(), "refused": c.Refused.Load(),
		"parts_quarantined": c.PartsQuarantined.Load(), "parts_released": c.PartsReleased.Load(), "parts_tried": c.PartsTried.Load(),
	}
}

// New returns a registry; if there are rumors, it is subscribed to them. Call it
// before the membership starts.
func New(options Options) *Registry {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	if options.MaxFingerprints == 0 {
		options.MaxFingerprints = DefaultMaxFingerprints
	}
	if options.IsLeaving == nil {
		options.IsLeaving = func(string) bool { return false }
	}
	r := &Registry{
		options: options, origin: options.Clock.Now().Add(-time.Second), suspects: make(map[Fingerprint]*suspect),
		unresolved: make(map[string]map[*mark]*suspect), digests: make(map[Scope]timedDigest),
		accused: make(map[Fingerprint]*suspect),
	}
	if options.Rumors != nil {
		options.Rumors.Subscribe(membership.RumorQuarantine, r.applyRumor)
	}
	return r
}

// ShouldRefuse reports whether a request must be refused, because it or a part of
// its prompt is quarantined or because the decision is pending.
func (r *Registry) ShouldRefuse(fp Fingerprint, parts ...Fingerprint) bool {
	return r.shouldRefuse(fp, parts, false)
}

// RefuseDispatch is ShouldRefuse for a request that is sent to a target at once if
// it is not refused.
func (r *Registry) RefuseDispatch(fp Fingerprint, parts ...Fingerprint) bool {
	return r.shouldRefuse(fp, parts, true)
}

func (r *Registry) shouldRefuse(fp Fingerprint, parts []Fingerprint, dispatch bool) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	refuse, newlyQuarantined := r.decide(fp)
	if newlyQuarantined {
		r.quarantine(fp)
	}
	refuse = refuse || r.refusesParts(parts, dispatch)
	if refuse {
		r.Counters.Refused.Add(1)
	}
	return refuse
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
	return s != nil && len(r.markedTargets(s)) > 0
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
	s := r.suspects[fp]
	return s != nil && r.markedTargets(s)[target]
}

func (r *Registry) withinRetention(at time.Time) bool {
	return !at.IsZero() && r.options.Clock.Since(at) <= r.options.Retention
}
