package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runShards is the number of shards of a runTable.
const runShards = 64

// runTable holds the attempts in flight by target. It is sharded by target, so
// that requests to different targets rarely share a lock.
type runTable struct {
	shards [runShards]runShard
	// endCount is the number of orderly ends held.
	endCount atomic.Int64
}

// runShard holds the targets that hash to it.
type runShard struct {
	// mu guards byTarget, the attempts of its entries, and ends.
	mu       sync.Mutex
	byTarget map[string]*targetRuns
	// ends holds the orderly ends by target, as long as they may turn out to be
	// something else.
	ends map[string][]orderlyEnd
}

// targetRuns are the attempts in flight at one target.
type targetRuns struct {
	attempts map[*Attempt]struct{}
	// heardAt is the instant at which anything last arrived from the target; 0 if
	// nothing has since there were no attempts.
	heardAt atomic.Int64
}

func (r *runTable) shardOf(target string) *runShard {
	return &r.shards[xxhash.Sum64String(target)%runShards]
}

// add adds an attempt that starts.
func (r *runTable) add(a *Attempt) {
	shard := r.shardOf(a.target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byTarget == nil {
		shard.byTarget = make(map[string]*targetRuns)
	}
	runs := shard.byTarget[a.target]
	if runs == nil {
		runs = &targetRuns{attempts: make(map[*Attempt]struct{})}
		shard.byTarget[a.target] = runs
	}
	runs.attempts[a] = struct{}{}
	a.runs = runs
}

// remove removes an attempt that has ended; it is a no-op if it is not held.
func (r *runTable) remove(a *Attempt) {
	shard := r.shardOf(a.target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(a.runs.attempts, a)
	if len(a.runs.attempts) == 0 && shard.byTarget[a.target] == a.runs {
		delete(shard.byTarget, a.target)
	}
}

// attempts returns the attempts in flight at a target.
func (r *runTable) attempts(target string) []*Attempt {
	shard := r.shardOf(target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	runs := shard.byTarget[target]
	if runs == nil {
		return nil
	}
	attempts := make([]*Attempt, 0, len(runs.attempts))
	for a := range runs.attempts {
		attempts = append(attempts, a)
	}
	return attempts
}

// fingerprints returns the requests that run on a target, each once.
func (r *runTable) fingerprints(target string) []Fingerprint {
	seen := make(map[Fingerprint]bool)
	var fingerprints []Fingerprint
	for _, a := range r.attempts(target) {
		if !seen[a.request] {
			seen[a.request] = true
			fingerprints = append(fingerprints, a.request)
		}
	}
	return fingerprints
}

// silentAttempts returns the silent attempts at targets from which nothing has arrived
// for silenceTime.
func (r *Registry) silentAttempts(now time.Time) []*Attempt {
	var silent []*Attempt
	since := r.instant(now.Add(-silenceTime))
	for i := range r.running.shards {
		shard := &r.running.shards[i]
		shard.mu.Lock()
		r.running.endCount.Add(-int64(shard.dropEnds(now.Add(-endConfirmTime))))
		for _, runs := range shard.byTarget {
			if runs.heardAt.Load() > since {
				continue
			}
			for a := range runs.attempts {
				if a.isSilent(now) {
					silent = append(silent, a)
				}
			}
		}
		shard.mu.Unlock()
	}
	return silent
}
