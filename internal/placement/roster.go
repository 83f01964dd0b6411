package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCoordinators bounds the coordinators, so that the list fits in one packet.
const maxCoordinators = 48

// Roster is the list of coordinators, the same at all instances but for a
// moment after a change. The coordinator of a group follows from the group's
// place and the list, so that a replacement moves only the groups of the one
// that is replaced.
type Roster struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch increases with each change.
	Epoch     uint64
	Addresses []string
}

// Digest tells lists apart.
func (r *Roster) Digest() uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.FormatUint(r.Epoch, 10))
	for _, address := range r.Addresses {
		_, _ = digest.WriteString("|" + address)
	}
	return uint32(digest.Sum64())
}

// Instance is one that may coordinate.
type Instance struct {
	Address string
	// Capacity is its processor share in hundredths of a core.
	Capacity int
}

// Supersedes reports whether the roster replaces another. Of two with the same
// epoch, as two sides of a partition may have made them, the same one wins
// everywhere.
func (r *Roster) Supersedes(other *Roster) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return slices.Compare(r.Addresses, other.Addresses) > 0
}

// Next returns the roster for so many groups and the given instances, which
// are alive; those listed already keep their places. It reports whether
// anything has changed.
func (r *Roster) Next(groups int, alive []Instance) (*Roster, bool) {
	size := min(groups, len(alive), maxCoordinators)
	candidates := slices.Clone(alive)
	slices.SortFunc(candidates, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	isAlive := make(map[string]bool, len(alive))
	for _, instance := range alive {
		isAlive[instance.Address] = true
	}
	next := &Roster{Epoch: r.Epoch + 1, Addresses: make([]string, size)}
	listed := make(map[string]bool, size)
	for i := range min(size, len(r.Addresses)) {
		if address := r.Addresses[i]; isAlive[address] && !listed[address] {
			next.Addresses[i] = address
			listed[address] = true
		}
	}
	for i, address := range next.Addresses {
		if address != "" {
			continue
		}
		for len(candidates) > 0 && listed[candidates[0].Address] {
			candidates = candidates[1:]
		}
		next.Addresses[i] = candidates[0].Address
		listed[candidates[0].Address] = true
	}
	return next, !slices.Equal(next.Addresses, r.Addresses)
}

// capacityInterval is the time between two messages of a coordinator about its room.
func (r *Roster) capacityInterval() time.Duration {
	return max(minCapacityInterval, time.Duration(len(r.Addresses))*capacityIntervalPerCoordinator)
}

// coordinator returns who coordinates the group at a place, passing over those
// that do not answer; "" when there is none left.
func (r *Roster) coordinator(position int, unavailable func(string) bool) string {
	for i := range r.Addresses {
		if address := r.Addresses[(position+i)%len(r.Addresses)]; !unavailable(address) {
			return address
		}
	}
	return ""
}
