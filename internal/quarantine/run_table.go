package quarantine

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// runShards is the number of shards of a runTable.
const runShards = 64

// runTable counts the requests in flight by target and fingerprint. It is
// sharded by target, so that requests to different targets rarely share a lock.
type runTable struct {
	shards [runShards]runShard
}

// runShard holds the targets that hash to it.
type runShard struct {
	// mu guards byTarget.
	mu       sync.Mutex
	byTarget map[string]map[Fingerprint]int
}

func (r *runTable) shardOf(target string) *runShard {
	return &r.shards[xxhash.Sum64String(target)%runShards]
}

// add counts a request that starts on a target.
func (r *runTable) add(fp Fingerprint, target string) {
	shard := r.shardOf(target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byTarget == nil {
		shard.byTarget = make(map[string]map[Fingerprint]int)
	}
	counts := shard.byTarget[target]
	if counts == nil {
		counts = make(map[Fingerprint]int)
		shard.byTarget[target] = counts
	}
	counts[fp]++
}

// remove uncounts a request that has ended; it is a no-op if none is counted.
func (r *runTable) remove(fp Fingerprint, target string) {
	shard := r.shardOf(target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	counts := shard.byTarget[target]
	if counts[fp] > 1 {
		counts[fp]--
		return
	}
	delete(counts, fp)
	if len(counts) == 0 {
		delete(shard.byTarget, target)
	}
}

// fingerprints returns the requests that run on a target.
func (r *runTable) fingerprints(target string) []Fingerprint {
	shard := r.shardOf(target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var fingerprints []Fingerprint
	for fp := range shard.byTarget[target] {
		fingerprints = append(fingerprints, fp)
	}
	return fingerprints
}
