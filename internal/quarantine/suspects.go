package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// minCrashesToRefuse is the number of different targets that a request must
	// have crashed to be refused: fewer may have been at the same place by
	// chance.
	minCrashesToRefuse = 3
	// crashConfirmTime is how long after a break a target may be found gone for the
	// break to count as its crash.
	crashConfirmTime = 3 * time.Second
	// crashRetention is how long crashes are remembered.
	crashRetention = 2 * time.Minute
	// maxTrackedRequests bounds the requests remembered.
	maxTrackedRequests = 512
	// crashShareTime is how long a crash is told to other instances, maxShared how
	// many at once.
	crashShareTime   = 5 * time.Second
	maxSharedCrashes = 12
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
	failures map[uint64]map[string]*targetFailure
}

// targetFailure is a request's break at one target; Suspects.mu guards it.
type targetFailure struct {
	failedAt time.Time
	// crashed is set once the target was found gone.
	crashed bool
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker(clock clockwork.Clock) *CrashTracker {
	return &CrashTracker{clock: clock, failures: make(map[uint64]map[string]*targetFailure)}
}

// RequestHash names what a request asks for, whoever repeats it.
func RequestHash(account, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(account + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// RecordFailure notes that a target broke a request off.
func (t *CrashTracker) RecordFailure(request uint64, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(request, target, false)
}

// RecordUnreachable notes that a target cannot be reached: requests that it broke off just
// before may have crashed it.
func (t *CrashTracker) RecordUnreachable(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, targets := range t.failures {
		if f := targets[target]; f != nil && now.Sub(f.failedAt) <= crashConfirmTime {
			f.crashed = true
		}
	}
}

// RecordCompletion clears a request that has run to its end.
func (t *CrashTracker) RecordCompletion(request uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, request)
}

// ShouldRefuse reports whether the request has crashed so many targets that it must
// not be sent to another.
func (t *CrashTracker) ShouldRefuse(request uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := 0
	for _, f := range t.failures[request] {
		if f.crashed && t.clock.Since(f.failedAt) <= crashRetention {
			crashes++
		}
	}
	return crashes >= minCrashesToRefuse
}

// RecentCrashes returns the recent crashes, for other instances.
func (t *CrashTracker) RecentCrashes() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []Crash
	for request, targets := range t.failures {
		for target, f := range targets {
			if f.crashed && t.clock.Since(f.failedAt) <= crashShareTime && len(crashes) < maxSharedCrashes {
				crashes = append(crashes, Crash{Request: request, Target: target})
			}
		}
	}
	return crashes
}

// MergeCrashes takes the crashes that another instance knows.
func (t *CrashTracker) MergeCrashes(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		t.record(c.Request, c.Target, true)
	}
}

// record remembers a break; mu is held.
func (t *CrashTracker) record(request uint64, target string, crashed bool) {
	targets := t.failures[request]
	if targets == nil {
		t.evict()
		targets = make(map[string]*targetFailure)
		t.failures[request] = targets
	}
	if f := targets[target]; f != nil {
		f.crashed = f.crashed || crashed
		return
	}
	targets[target] = &targetFailure{failedAt: t.clock.Now(), crashed: crashed}
}

// evict drops what is too old, and any one if that is not enough; mu is
// held.
func (t *CrashTracker) evict() {
	if len(t.failures) < maxTrackedRequests {
		return
	}
	for request, targets := range t.failures {
		for target, f := range targets {
			if t.clock.Since(f.failedAt) > crashRetention {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(t.failures, request)
		}
	}
	for request := range t.failures {
		if len(t.failures) < maxTrackedRequests {
			return
		}
		delete(t.failures, request)
	}
}
