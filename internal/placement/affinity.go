package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// minSharedTokens is the size of a shared prefix that may influence the choice of a
	// group: reading fewer tokens takes about as long as one redirection.
	minSharedTokens = 256
	// recentPrefixes is the number of requests of a service from which an instance
	// estimates how common a prefix is, minRecentPrefixes the least for an estimate.
	recentPrefixes    = 256
	minRecentPrefixes = 32
	// prefixSpread limits the load by one prefix: a group gets at most 1/prefixSpread of
	// the requests that it serves from a prefix that is confined to some groups. Common
	// prefixes stay cached in all groups without this.
	prefixSpread = 16
)

// prefixHistory holds the shared prefixes of the last requests of a service that have one.
type prefixHistory struct {
	hashes []uint64
	next   int
}

// add records a prefix and returns its share of those before; 1 if these are too few.
func (h *prefixHistory) add(hash uint64) float64 {
	seen, same := len(h.hashes), 0
	for _, other := range h.hashes {
		if other == hash {
			same++
		}
	}
	if seen < recentPrefixes {
		h.hashes = append(h.hashes, hash)
	} else {
		h.hashes[h.next] = hash
		h.next = (h.next + 1) % recentPrefixes
	}
	if seen < minRecentPrefixes {
		return 1
	}
	return float64(same) / float64(seen)
}

// sharedPrefix returns the hash of the parts of the prompt that other requests may share,
// all but the last; shared is false if they are too small to matter.
func sharedPrefix(r *schedule.Request) (hash uint64, shared bool) {
	if len(r.Prefix) < 2 {
		return 0, false
	}
	tokens := 0
	for _, part := range r.Prefix[:len(r.Prefix)-1] {
		tokens += part.Tokens
		hash = part.Hash
		if tokens >= minSharedTokens {
			return hash, true
		}
	}
	return 0, false
}

// prefixGroup returns the group for a request with a shared prefix: one of a few groups
// given by the prefix, provided that it has free slots as far as is known. ok is false if
// the prefix does not matter. The caller holds c.mu.
//
// It is made for many prefixes that are each used too rarely to stay cached on all targets.
func (c *Client) prefixGroup(groups *Groups, r *schedule.Request, now time.Time) (best groupKey, ok bool) {
	serving := groups.servingGroups[r.Service]
	hash, shared := sharedPrefix(r)
	if !shared || len(serving) < 2 || r.HasVersionConstraint() {
		return groupKey{}, false
	}
	history := c.prefixes[r.Service]
	if history == nil {
		history = &prefixHistory{}
		c.prefixes[r.Service] = history
	}
	count := 1 + int(prefixSpread*history.add(hash)*float64(len(serving)))
	if count >= len(serving) {
		return groupKey{}, false
	}
	scores := make(map[groupKey]uint64, len(serving))
	for _, group := range serving {
		scores[group] = routing.RendezvousScore(group.name(), hash)
	}
	preferred := slices.Clone(serving)
	slices.SortFunc(preferred, func(a, b groupKey) int { return cmp.Compare(scores[b], scores[a]) })
	best = preferred[c.random.IntN(count)]
	if other := preferred[c.random.IntN(count)]; c.hasMoreFreeSlots(other, best, now) {
		best = other
	}
	if c.isFull(best, now) {
		return groupKey{}, false
	}
	c.counters.PrefixGroups.Add(1)
	return best, true
}

// isFull reports whether a group had no free slots by a report that is still valid. The
// caller holds c.mu.
func (c *Client) isFull(group groupKey, now time.Time) bool {
	reported := c.capacities[group]
	return now.Sub(reported.receivedAt) <= reported.validFor && reported.FreeSlots <= 0
}
