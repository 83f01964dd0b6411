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
	// maxMarks is the number of crashed targets beyond which a request is
	// quarantined even if others were running beside it each time.
	maxMarks = 3
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
	// known counts the fingerprints in cases, so that requests need no lock
	// while there are none.
	known atomic.Int64

	// running counts the requests under way.
	running runs

	// mu guards cases.
	mu    sync.RWMutex
	cases map[Fingerprint]*suspicion
}

// suspicion is what is known of one fingerprint; List.mu guards it.
type suspicion struct {
	// marks holds the time of the crash by target.
	marks map[string]time.Time
	// pardoned is the time of the newest pardon.
	pardoned time.Time
	// quarantined is the time of the quarantine; zero means none.
	quarantined time.Time
	// newest is the time of the newest fact.
	newest time.Time
	// heard is when the last new mark came in here.
	heard time.Time
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
	l := &Registry{
		options: options,
		cases:   make(map[Fingerprint]*suspicion),
	}
	options.Rumors.Subscribe(membership.RumorQuarantine, l.hear)
	return l
}

// RecordStart notes that a request is sent to a target.
func (l *Registry) RecordStart(fp Fingerprint, target string) { l.running.add(fp, target) }

// RecordEnd notes that a request has ended at a target. Finished is set when it has
// run to its end there; then it is innocent of earlier crashes.
func (l *Registry) RecordEnd(fp Fingerprint, target string, finished bool) {
	l.running.remove(fp, target)
	if finished && l.IsSuspect(fp) {
		l.publish(factPardon, fp, "")
	}
}

// RecordCrash marks the requests that were running on a target when it crashed. A
// target that was merely unreachable must not be reported.
func (l *Registry) RecordCrash(target string) {
	for _, fp := range l.running.on(target) {
		l.publish(factMark, fp, target)
	}
}

// ShouldRefuse tells whether a request must be refused: for good, or because the
// verdict on it is still open.
func (l *Registry) ShouldRefuse(fp Fingerprint) bool {
	if l.known.Load() == 0 {
		return false
	}
	refuse, guilty := l.verdict(fp)
	if guilty {
		l.publish(factQuarantine, fp, "")
	}
	return refuse
}

// verdict tells whether to refuse a request, and whether that is news.
func (l *Registry) verdict(fp Fingerprint) (refuse, guilty bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.cases[fp]
	switch {
	case s == nil:
		return false, false
	case l.fresh(s.quarantined):
		return true, false
	case len(l.valid(s)) < 2:
		return false, false
	case l.options.Clock.Since(s.heard) < PropagationTime:
		return true, false
	default:
		guilty = l.guilty(fp)
		return guilty, guilty
	}
}

// IsSuspect tells whether a request was running when a target crashed, and has
// not been pardoned since.
func (l *Registry) IsSuspect(fp Fingerprint) bool {
	if l.known.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.cases[fp]
	return s != nil && len(l.valid(s)) > 0
}

// MayDispatch tells whether a request may be sent to a target: a suspect not to one
// that it was seen to crash, nor to one where this instance runs another.
func (l *Registry) MayDispatch(fp Fingerprint, target string) bool {
	if l.known.Load() == 0 || !l.IsSuspect(fp) {
		return true
	}
	if l.marked(fp, target) {
		return false
	}
	for _, other := range l.running.on(target) {
		if other != fp && l.IsSuspect(other) {
			return false
		}
	}
	return true
}

func (l *Registry) marked(fp Fingerprint, target string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.valid(l.cases[fp])[target]
	return ok
}

// fact is the kind of a rumour's subject.
type fact string

const (
	factMark       fact = "m"
	factPardon     fact = "p"
	factQuarantine fact = "q"
)

func (l *Registry) publish(kind fact, fp Fingerprint, target string) {
	subject := string(kind) + "/" + string(fp)
	if target != "" {
		subject += "/" + target
	}
	l.options.Rumors.Publish(membership.Rumor{
		Kind: membership.RumorQuarantine, Subject: subject,
		Rank: uint64(l.options.Clock.Now().UnixMilli()),
	})
}

// hear takes in a fact.
func (l *Registry) hear(r membership.Rumor) {
	parts := strings.SplitN(r.Subject, "/", 3)
	at := time.UnixMilli(int64(r.Rank))
	if len(parts) < 2 || !l.fresh(at) {
		return
	}
	target := ""
	if len(parts) == 3 {
		target = parts[2]
	}
	l.note(fact(parts[0]), Fingerprint(parts[1]), target, at)
}

// note records a fact.
func (l *Registry) note(kind fact, fp Fingerprint, target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(fp)
	s.newest = later(s.newest, at)
	switch kind {
	case factMark:
		s.marks[target] = later(s.marks[target], at)
		s.heard = l.options.Clock.Now()
	case factPardon:
		s.pardoned = later(s.pardoned, at)
	case factQuarantine:
		s.quarantined = later(s.quarantined, at)
	}
}

// open returns the suspicion of a fingerprint; l.mu is held.
func (l *Registry) open(fp Fingerprint) *suspicion {
	if s := l.cases[fp]; s != nil {
		return s
	}
	l.makeRoom()
	s := &suspicion{marks: make(map[string]time.Time)}
	l.cases[fp] = s
	l.known.Store(int64(len(l.cases)))
	return s
}

// makeRoom drops what has aged, and the oldest while the list is full; l.mu is
// held.
func (l *Registry) makeRoom() {
	for len(l.cases) >= l.options.MaxFingerprints {
		var oldest Fingerprint
		for fp, s := range l.cases {
			if !l.fresh(s.newest) {
				delete(l.cases, fp)
				continue
			}
			if known := l.cases[oldest]; known == nil || s.newest.Before(known.newest) {
				oldest = fp
			}
		}
		if len(l.cases) >= l.options.MaxFingerprints {
			delete(l.cases, oldest)
		}
	}
}

func (l *Registry) fresh(at time.Time) bool {
	return !at.IsZero() && l.options.Clock.Since(at) <= l.options.Retention
}

// valid returns the marks of a suspicion that count; l.mu is held for reading.
func (l *Registry) valid(s *suspicion) map[string]time.Time {
	valid := make(map[string]time.Time)
	if s == nil {
		return valid
	}
	for target, at := range s.marks {
		if at.After(s.pardoned) && l.fresh(at) {
			valid[target] = at
		}
	}
	return valid
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
