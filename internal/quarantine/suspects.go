package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// minCrashesToRefuse is the number of different targets that a request must
	// have crashed to be refused. With fewer, it may have been running there by
	// chance.
	minCrashesToRefuse = 3
	// crashConfirmTime is how long after a failure the target may be found
	// unreachable for the failure to count as its crash.
	crashConfirmTime = 3 * time.Second
	// crashRetention is how long crashes are remembered.
	crashRetention = 2 * time.Minute
	// maxTrackedRequests bounds the number of requests held.
	maxTrackedRequests = 512
	// crashShareTime is how long after the failure a crash is sent to other
	// instances, maxSharedCrashes the number of crashes sent at once.
	crashShareTime   = 5 * time.Second
	maxSharedCrashes = 12
)

// Crash is the crash of a target while it ran a request.
type Crash struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Request uint64
	Target  string
}

// CrashTracker holds the requests that were running on targets that crashed.
// Instances exchange complete facts, so a crash received twice counts once and
// no agreement is needed. A request that completes is cleared of all crashes so
// far.
type CrashTracker struct {
	clock clockwork.Clock

	// mu guards failures.
	mu       sync.Mutex
	failures map[uint64]map[string]*targetFailure
}

// targetFailure is a request's failure at one target; CrashTracker.mu guards
// it.
type targetFailure struct {
	failedAt time.Time
	// crashed is set once the target was found unreachable.
	crashed bool
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker(clock clockwork.Clock) *CrashTracker {
	return &CrashTracker{clock: clock, failures: make(map[uint64]map[string]*targetFailure)}
}

// RequestHash identifies a request by its content; it is the same for retries.
func RequestHash(account, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(account + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// RecordFailure records that a request failed at a target.
func (t *CrashTracker) RecordFailure(request uint64, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(request, target, false)
}

// RecordUnreachable records that a target is unreachable: requests that failed
// there shortly before may have crashed it.
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

// RecordCompletion clears a request that has completed.
func (t *CrashTracker) RecordCompletion(request uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, request)
}

// ShouldRefuse reports whether the request has crashed too many targets to be
// sent to another.
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

// RecentCrashes returns the recent crashes, to be sent to other instances.
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

// MergeCrashes adds the crashes received from another instance.
func (t *CrashTracker) MergeCrashes(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		t.record(c.Request, c.Target, true)
	}
}

// record adds a failure or crash; t.mu must be held.
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

// evict removes expired failures, and arbitrary requests if the tracker is
// still full; t.mu must be held.
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
