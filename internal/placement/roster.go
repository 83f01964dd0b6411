package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCoordinators limits the coordinators, so that the roster fits in one packet.
const maxCoordinators = 48

// Roster is the list of coordinators. It is the same at all instances except
// briefly after a change. The coordinator of a group follows from the group's
// position and the list, so that replacing an instance moves only that instance's
// groups.
type Roster struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch increases with each change.
	Epoch     uint64
	Addresses []string
}

// Digest returns a hash by which rosters are compared.
func (r *Roster) Digest() uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.FormatUint(r.Epoch, 10))
	for _, address := range r.Addresses {
		_, _ = digest.WriteString("|" + address)
	}
	return uint32(digest.Sum64())
}

// Instance is an instance that may coordinate.
type Instance struct {
	Address string
	// Capacity is its CPU share in hundredths of a core.
	Capacity int
}

// Supersedes reports whether the roster replaces another. Of two rosters with the
// same epoch, as both sides of a partition may create them, the same one wins at
// all instances.
func (r *Roster) Supersedes(other *Roster) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return slices.Compare(r.Addresses, other.Addresses) > 0
}

// Next returns the roster for a number of groups and the instances that are
// alive. Listed instances that are alive keep their positions. The second result
// reports whether the addresses have changed.
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

// capacityInterval is the time between two capacity reports of a coordinator.
func (r *Roster) capacityInterval() time.Duration {
	return max(minCapacityInterval, time.Duration(len(r.Addresses))*capacityIntervalPerCoordinator)
}

// coordinator returns the coordinator of the group at a position, skipping
// unavailable instances; "" if none is left.
func (r *Roster) coordinator(position int, unavailable func(string) bool) string {
	for i := range r.Addresses {
		if address := r.Addresses[(position+i)%len(r.Addresses)]; !unavailable(address) {
			return address
		}
	}
	return ""
}
