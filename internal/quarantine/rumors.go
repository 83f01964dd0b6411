package quarantine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// factKind is the first part of a rumor's subject.
//
// For each subject the rumor with the highest rank, a wall-clock time, wins, so
// every instance reaches the same decision whatever the order of arrival. The
// subjects are marks "m/fingerprint/target", completions "p/fingerprint" and
// quarantines "q/fingerprint".
type factKind string

const (
	factMark       factKind = "m"
	factClear      factKind = "p"
	factQuarantine factKind = "q"
)

// publish publishes a fact as a rumor; it is a no-op without rumors. r.mu must
// not be held: the rumor is applied here as well.
func (r *Registry) publish(kind factKind, fp Fingerprint, target string, at time.Time) {
	if r.options.Rumors == nil {
		return
	}
	subject := string(kind) + "/" + string(fp)
	if target != "" {
		subject += "/" + target
	}
	r.options.Rumors.Publish(membership.Rumor{
		Kind: membership.RumorQuarantine, Subject: subject, Rank: uint64(at.UnixMilli()),
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
	defer r.unlock()
	s := r.suspectFor(fp)
	s.latestFactAt = latest(s.latestFactAt, at)
	switch kind {
	case factMark:
		if completedAt := r.completions.last(fp); !completedAt.IsZero() {
			r.clear(s, completedAt)
		}
		if s.isInnocent(at) {
			return
		}
		r.storeMark(s, &mark{
			id: rumorID(target, at), target: target, startedAt: at, at: at, ended: true,
		}, r.options.Clock.Now())
	case factClear:
		r.clear(s, at)
	case factQuarantine:
		s.quarantinedAt = latest(s.quarantinedAt, at)
	}
}

// rumorID returns the ID of a mark that a rumor states.
func rumorID(target string, at time.Time) uint32 {
	return uint32(xxhash.Sum64String(target + "/" + at.String()))
}
