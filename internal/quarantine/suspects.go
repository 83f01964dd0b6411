package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
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
	clock  clockwork.Clock
	logger *zap.Logger
	// Counters may be read at any time.
	Counters CrashCounters

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

// CrashCounters count what a CrashTracker has learned and decided.
type CrashCounters struct {
	// Failures counts attempts that failed here, Crashes those that were found to
	// be crashes of the target, Learned the crashes received from other instances.
	Failures, Crashes, Learned atomic.Uint64
	// Refused counts the requests refused.
	Refused atomic.Uint64
}

// Snapshot returns the counters by metric name.
func (c *CrashCounters) Snapshot() map[string]uint64 {
	return map[string]uint64{
		"failures": c.Failures.Load(), "crashes": c.Crashes.Load(), "crashes_learned": c.Learned.Load(),
		"refused": c.Refused.Load(),
	}
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker(clock clockwork.Clock, logger *zap.Logger) *CrashTracker {
	return &CrashTracker{clock: clock, logger: logger, failures: make(map[uint64]map[string]*targetFailure)}
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
	t.Counters.Failures.Add(1)
	t.record(request, target, false)
	t.logChange("attempt failed", request, target)
}

// RecordUnreachable records that a target is unreachable: requests that failed
// there shortly before may have crashed it.
func (t *CrashTracker) RecordUnreachable(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for request, targets := range t.failures {
		if f := targets[target]; f != nil && !f.crashed && now.Sub(f.failedAt) <= crashConfirmTime {
			f.crashed = true
			t.Counters.Crashes.Add(1)
			t.logChange("crash recorded", request, target)
		}
	}
}

// RecordCompletion clears a request that has completed.
func (t *CrashTracker) RecordCompletion(request uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures[request]) > 0 {
		t.logChange("request cleared of crashes", request, "")
	}
	delete(t.failures, request)
}

// logChange logs a change of what is known about a request; t.mu must be held.
func (t *CrashTracker) logChange(message string, request uint64, target string) {
	t.logger.Info(message, zap.Uint64("content", request), zap.String("target", target),
		zap.Int("failures", len(t.failures[request])), zap.Int("crashes", t.crashes(request)))
}

// ShouldRefuse reports whether the request has crashed too many targets to be
// sent to another.
func (t *CrashTracker) ShouldRefuse(request uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	refuse := t.crashes(request) >= minCrashesToRefuse
	if refuse {
		t.Counters.Refused.Add(1)
	}
	return refuse
}

// crashes returns the number of targets that a request has crashed recently;
// t.mu must be held.
func (t *CrashTracker) crashes(request uint64) int {
	crashes := 0
	for _, f := range t.failures[request] {
		if f.crashed && t.clock.Since(f.failedAt) <= crashRetention {
			crashes++
		}
	}
	return crashes
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
		if f := t.failures[c.Request][c.Target]; f != nil && f.crashed {
			continue
		}
		t.record(c.Request, c.Target, true)
		t.Counters.Learned.Add(1)
		t.logChange("crash learned from peer", c.Request, c.Target)
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
