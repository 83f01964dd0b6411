package schedule

import (
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// Terms are what a target states in the header of a response about the requests that it
// takes. All but Rest hold for all instances and for as long as the target states them;
// Rest holds for the instance that received the response, until it is over. The zero
// value states nothing.
type Terms struct {
	// HasRateLimit is set if RateLimit is stated: the requests a second that the
	// target takes from all instances together.
	HasRateLimit bool
	RateLimit    float64
	// IsBrittle is set if RejectionLimit is stated: the requests that the target can
	// reject in a second for want of a slot without failing.
	IsBrittle      bool
	RejectionLimit int
	// IsLeaving is set if the target states that it is leaving.
	IsLeaving bool
	// Rest is how long the target wants no request from the instance that received the
	// response; 0 if it does not ask for rest.
	Rest time.Duration
}

// AreStated reports whether the terms restrict anything.
func (t Terms) AreStated() bool { return t.HasRateLimit || t.IsBrittle || t.IsLeaving || t.Rest > 0 }

// String returns the terms for log lines.
func (t Terms) String() string {
	var stated []string
	if t.HasRateLimit {
		stated = append(stated, strconv.FormatFloat(t.RateLimit, 'g', -1, 64)+" requests a second")
	}
	if t.IsBrittle {
		stated = append(stated, strconv.Itoa(t.RejectionLimit)+" rejections a second")
	}
	if t.IsLeaving {
		stated = append(stated, "leaving")
	}
	if t.Rest > 0 {
		stated = append(stated, "no requests from the instance for "+t.Rest.String())
	}
	if len(stated) == 0 {
		return "none"
	}
	return strings.Join(stated, ", ")
}

// HeardTerms are the last terms that are known of a target.
type HeardTerms struct {
	Terms
	// At is when an instance received the response that stated them, By the
	// address of that instance; "" is this one.
	At time.Time
	By string
	// OmitsLeaving is set if By is an instance of an earlier build, which does not tell
	// whether the target is leaving.
	OmitsLeaving bool
}

// TargetTerms are the terms known of one target.
type TargetTerms struct {
	Key catalog.TargetKey
	HeardTerms
}

// RecordTerms records terms of a target that were stated in the response to a
// request sent at sentAt; the newest hold. That a target no longer states any is
// known only from a request sent after it last did, since responses overtake each
// other. It reports whether the known terms have changed, and the terms before.
func (s *Scheduler) RecordTerms(key catalog.TargetKey, heard HeardTerms, sentAt time.Time) (before Terms, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[key]
	if t == nil {
		return Terms{}, false
	}
	return s.recordTerms(t, heard, sentAt)
}

func (s *Scheduler) recordTerms(t *target, heard HeardTerms, sentAt time.Time) (before Terms, changed bool) {
	before = t.terms.Terms
	now := s.clock.Now()
	rests := t.rests.record(heard, now)
	heard.Rest = 0
	if heard.OmitsLeaving {
		heard.IsLeaving = t.terms.IsLeaving
	}
	if heard.At.Before(t.terms.At) || !heard.AreStated() && !sentAt.After(t.terms.At) {
		return before, rests
	}
	t.terms = heard
	t.limiter.setTerms(heard.Terms, t.share.rate(), now)
	return before, rests || before != heard.Terms
}

// Terms returns what is known of a target's terms, without a rest.
func (s *Scheduler) Terms(key catalog.TargetKey) HeardTerms {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[key]; t != nil {
		return t.terms
	}
	return HeardTerms{}
}

// StatedTerms returns the terms of all targets that state any, with what is left of the
// rest that they asked this instance for.
func (s *Scheduler) StatedTerms() []TargetTerms {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var stated []TargetTerms
	for key, t := range s.targets {
		heard := t.terms
		if end := t.rests.end("", now); !end.IsZero() {
			if heard.At.IsZero() {
				heard.At = now
			}
			heard.Rest = end.Sub(heard.At)
		}
		if heard.AreStated() {
			stated = append(stated, TargetTerms{key, heard})
		}
	}
	return stated
}
