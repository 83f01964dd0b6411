package quarantine

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// runParts is the number of independently locked parts of runs.
const runParts = 64

// runs counts the requests under way by target and fingerprint, in parts by
// target, so that requests to different targets seldom share a lock.
type runs struct {
	parts [runParts]runsPart
}

// runsPart holds the targets that hash to it.
type runsPart struct {
	// mu guards targets.
	mu      sync.Mutex
	targets map[string]map[Fingerprint]int
}

func (r *runs) part(target string) *runsPart {
	return &r.parts[xxhash.Sum64String(target)%runParts]
}

// add notes that a request runs on a target.
func (r *runs) add(fp Fingerprint, target string) {
	part := r.part(target)
	part.mu.Lock()
	defer part.mu.Unlock()
	if part.targets == nil {
		part.targets = make(map[string]map[Fingerprint]int)
	}
	on := part.targets[target]
	if on == nil {
		on = make(map[Fingerprint]int)
		part.targets[target] = on
	}
	on[fp]++
}

// remove takes one running request back; one that does not run is no error.
func (r *runs) remove(fp Fingerprint, target string) {
	part := r.part(target)
	part.mu.Lock()
	defer part.mu.Unlock()
	on := part.targets[target]
	if on[fp] > 1 {
		on[fp]--
		return
	}
	delete(on, fp)
	if len(on) == 0 {
		delete(part.targets, target)
	}
}

// on returns the requests that run on a target.
func (r *runs) on(target string) []Fingerprint {
	part := r.part(target)
	part.mu.Lock()
	defer part.mu.Unlock()
	var all []Fingerprint
	for fp := range part.targets[target] {
		all = append(all, fp)
	}
	return all
}
