package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// crashesToRefuse is the number of different targets that a request must
	// have crashed to be refused: fewer may have been at the same place by
	// chance.
	crashesToRefuse = 3
	// confirmTime is how long after a break a target may be found gone for the
	// break to count as its crash.
	confirmTime = 3 * time.Second
	// suspectLife is how long crashes are remembered.
	suspectLife = 2 * time.Minute
	// maxSuspects bounds the requests remembered.
	maxSuspects = 512
	// shareTime is how long a crash is told to other instances, maxShared how
	// many at once.
	shareTime = 5 * time.Second
	maxShared = 12
)

// Crash is one target's crash while it ran a request.
type Crash struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Request uint64
	Target  string
}

// CrashTracker remembers which requests were running on targets that crashed, for
// instances that share what they know in absolute form. It needs no agreement:
// a crash that is heard twice counts once, and a request that has run to its
// end is innocent of all crashes so far.
type CrashTracker struct {
	clock clockwork.Clock

	// mu guards requests.
	mu       sync.Mutex
	requests map[uint64]map[string]*broken
}

// broken is a request's break at one target; Suspects.mu guards it.
type broken struct {
	at time.Time
	// crashed is set once the target was found gone.
	crashed bool
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker(clock clockwork.Clock) *CrashTracker {
	return &CrashTracker{clock: clock, requests: make(map[uint64]map[string]*broken)}
}

// RequestHash names what a request asks for, whoever repeats it.
func RequestHash(account, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(account + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// RecordFailure notes that a target broke a request off.
func (s *CrashTracker) RecordFailure(request uint64, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(request, target, false)
}

// RecordUnreachable notes that a target cannot be reached: requests that it broke off just
// before may have crashed it.
func (s *CrashTracker) RecordUnreachable(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, targets := range s.requests {
		if b := targets[target]; b != nil && now.Sub(b.at) <= confirmTime {
			b.crashed = true
		}
	}
}

// RecordCompletion clears a request that has run to its end.
func (s *CrashTracker) RecordCompletion(request uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, request)
}

// ShouldRefuse reports whether the request has crashed so many targets that it must
// not be sent to another.
func (s *CrashTracker) ShouldRefuse(request uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := 0
	for _, b := range s.requests[request] {
		if b.crashed && s.clock.Since(b.at) <= suspectLife {
			crashes++
		}
	}
	return crashes >= crashesToRefuse
}

// RecentCrashes returns the recent crashes, for other instances.
func (s *CrashTracker) RecentCrashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []Crash
	for request, targets := range s.requests {
		for target, b := range targets {
			if b.crashed && s.clock.Since(b.at) <= shareTime && len(crashes) < maxShared {
				crashes = append(crashes, Crash{Request: request, Target: target})
			}
		}
	}
	return crashes
}

// MergeCrashes takes the crashes that another instance knows.
func (s *CrashTracker) MergeCrashes(crashes []Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range crashes {
		s.note(c.Request, c.Target, true)
	}
}

// note remembers a break; mu is held.
func (s *CrashTracker) note(request uint64, target string, crashed bool) {
	targets := s.requests[request]
	if targets == nil {
		s.makeRoom()
		targets = make(map[string]*broken)
		s.requests[request] = targets
	}
	if b := targets[target]; b != nil {
		b.crashed = b.crashed || crashed
		return
	}
	targets[target] = &broken{at: s.clock.Now(), crashed: crashed}
}

// makeRoom drops what is too old, and any one if that is not enough; mu is
// held.
func (s *CrashTracker) makeRoom() {
	if len(s.requests) < maxSuspects {
		return
	}
	for request, targets := range s.requests {
		for target, b := range targets {
			if s.clock.Since(b.at) > suspectLife {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(s.requests, request)
		}
	}
	for request := range s.requests {
		if len(s.requests) < maxSuspects {
			return
		}
		delete(s.requests, request)
	}
}
