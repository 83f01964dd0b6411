package measure

import (
	"sync"
	"time"
)

// configHistory records which configurations were accepted and which ones were
// current at the instances.
type configHistory struct {
	// mu guards the fields below.
	mu               sync.Mutex
	acceptances      []acceptance
	instanceLogs     map[string]*instanceLog
	markersByVersion map[uint64]map[string]struct{} // markers observed at any instance
}

// acceptance is a configuration whose acceptance an operator received.
type acceptance struct {
	version    uint64
	marker     string
	acceptedAt time.Time
}

// instanceLog holds the changes of the current version of one instance.
type instanceLog struct {
	firstObserved time.Time
	endedAt       time.Time // zero while it is live
	versions      []observedVersion
}

// observedVersion is a version and when it was first observed.
type observedVersion struct {
	version uint64
	at      time.Time
}

func newConfigHistory() *configHistory {
	return &configHistory{instanceLogs: make(map[string]*instanceLog), markersByVersion: make(map[uint64]map[string]struct{})}
}

func (h *configHistory) recordAcceptance(version uint64, marker string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptances = append(h.acceptances, acceptance{version: version, marker: marker, acceptedAt: at})
}

// recordEnd records that an instance is about to end.
func (h *configHistory) recordEnd(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if log := h.instanceLogs[instance]; log != nil {
		log.endedAt = time.Now()
	}
}

// recordObservation records the current configuration of an instance.
func (h *configHistory) recordObservation(instance string, version uint64, marker string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	log := h.instanceLogs[instance]
	if log == nil {
		log = &instanceLog{firstObserved: at}
		h.instanceLogs[instance] = log
	}
	last := len(log.versions) - 1
	if last < 0 || log.versions[last].version != version {
		log.versions = append(log.versions, observedVersion{version: version, at: at})
	}
	if h.markersByVersion[version] == nil {
		h.markersByVersion[version] = make(map[string]struct{})
	}
	h.markersByVersion[version][marker] = struct{}{}
}

// revertCount returns how often an instance changed to a lower version.
func (h *configHistory) revertCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, log := range h.instanceLogs {
		for i := 1; i < len(log.versions); i++ {
			if log.versions[i].version < log.versions[i-1].version {
				count++
			}
		}
	}
	return count
}

// lostCount returns the number of acceptances that were lost: the version had another
// marker at some instance or in another acceptance, or some live instance has not
// reached it.
func (h *configHistory) lostCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, a := range h.acceptances {
		if h.isLost(a) {
			count++
		}
	}
	return count
}

// isLost reports whether an acceptance was lost. The caller holds h.mu.
func (h *configHistory) isLost(a acceptance) bool {
	for marker := range h.markersByVersion[a.version] {
		if marker != a.marker {
			return true
		}
	}
	for _, other := range h.acceptances {
		if other.version == a.version && other.marker != a.marker {
			return true
		}
	}
	for _, log := range h.instanceLogs {
		if log.endedAt.IsZero() && log.reachedAt(a.version).IsZero() {
			return true
		}
	}
	return false
}

// reachedAt returns when the instance was first observed with the version or a higher
// one; zero if it was not.
func (l *instanceLog) reachedAt(version uint64) time.Time {
	for _, observed := range l.versions {
		if observed.version >= version {
			return observed.at
		}
	}
	return time.Time{}
}

// allReached reports whether all live instances have reached all accepted versions.
func (h *configHistory) allReached() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acceptances {
		for _, log := range h.instanceLogs {
			if log.endedAt.IsZero() && log.reachedAt(a.version).IsZero() {
				return false
			}
		}
	}
	return true
}

// maxPropagationTime returns the longest time from an acceptance until an instance
// that was live then and is still live was observed with it; an instance that never
// was counts up to its last observation.
func (h *configHistory) maxPropagationTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := time.Duration(0)
	for _, a := range h.acceptances {
		for _, log := range h.instanceLogs {
			if !log.endedAt.IsZero() || log.firstObserved.After(a.acceptedAt) {
				continue
			}
			reachedAt := log.reachedAt(a.version)
			if reachedAt.IsZero() {
				reachedAt = time.Now()
			}
			longest = max(longest, reachedAt.Sub(a.acceptedAt))
		}
	}
	return longest
}
